package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// maxLateShare bounds the share of late streams in an unpartitioned pool. If more
	// than this share of the streams of short prompts have a pause above their limit, the
	// pool is partitioned.
	maxLateShare = 0.15
	// minLateShareStreams is the least number of streams that must be observed before
	// that share counts.
	minLateShareStreams = 20
	// minLateShareStep is the least weight of a new observation; the first ones weigh more.
	minLateShareStep = 0.04
	// firstPartitionTime is the minimum time for which a pool stays partitioned after too
	// many streams were late in the unpartitioned pool. It doubles each time, because
	// every attempt to unpartition the pool delays some streams.
	firstPartitionTime = 30 * time.Second
	// maxPartitionTime bounds the doubling of firstPartitionTime.
	maxPartitionTime = 5 * time.Minute
)

// unpartitionedStats tracks how many streams of short prompts are late while the pool
// is not partitioned, so that long prompts run on all replicas. Streams with long
// prompts are no measure of this: most of their answers are short, so few pauses are
// observed.
type unpartitionedStats struct {
	lateShare     float64       // share with too long a pause, moving average
	streams       int           // observed
	peers         peerEstimate  // lateShare of the other processes
	partitionTime time.Duration // set by the last backOff
	retryAt       time.Time     // when the pool may be unpartitioned again
}

// add adds a stream of a short prompt, late if one of its pauses was too long.
func (u *unpartitionedStats) add(late bool) {
	u.streams++
	step := max(minLateShareStep, 1/float64(u.streams))
	if late {
		u.lateShare += step * (1 - u.lateShare)
	} else {
		u.lateShare -= step * u.lateShare
	}
}

// recordStream adds a stream of a short prompt to the observations, unless the pool is
// partitioned.
func (ps *poolState) recordStream(j *job, late bool) {
	if j.gapSensitive() > 0 && !ps.partitioned() {
		ps.partition.unpartitioned.add(late)
	}
}

// RecordLatePause records at once that a pause between two events of an open request was
// too long. Until such a stream ends, others that begin would be late as well.
func (p *Placer) RecordLatePause(request *chicoryrock.Request) {
	ps := p.pool(request.Pool)
	j := ps.jobs[request]
	if j == nil || j.late {
		return
	}
	j.late = true
	ps.recordStream(j, true)
}

// weight is the weight of this process's lateShare among those of its peers.
func (u *unpartitionedStats) weight() float64 { return float64(min(u.streams, maxEstimateWeight)) }

// blendedLateShare is the share of late streams over all processes.
func (u *unpartitionedStats) blendedLateShare() float64 {
	return u.peers.blend(u.lateShare, u.weight())
}

// tooManyLate reports whether enough streams were observed, and too many of them late.
func (u *unpartitionedStats) tooManyLate() bool {
	return u.weight()+u.peers.weight >= minLateShareStreams && u.blendedLateShare() > maxLateShare
}

// backOff sets how long the pool stays partitioned after too many streams were late.
func (u *unpartitionedStats) backOff(now time.Time) {
	u.partitionTime = min(max(2*u.partitionTime, firstPartitionTime), maxPartitionTime)
	u.retryAt = now.Add(u.partitionTime)
}

// reset drops the observations when the pool is unpartitioned.
func (u *unpartitionedStats) reset() { u.lateShare, u.streams, u.peers = 0, 0, peerEstimate{} }
