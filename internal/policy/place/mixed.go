package place

import "time"

const (
	// maxMixedLateShare is the share of streams of short prompts with too long a pause
	// above which an unpartitioned pool is partitioned.
	maxMixedLateShare = 0.15
	// minMixedStreams is how many streams that share has to come from.
	minMixedStreams = 20
	// minMixedStep is the least weight of a new observation; the first ones weigh more.
	minMixedStep = 0.04
	// firstPartitionTime is how long a pool stays partitioned at least after mixing has
	// made too many streams late. Each further time it is twice as long, as each new
	// attempt at mixing makes some streams late.
	firstPartitionTime = 30 * time.Second
	// maxPartitionTime bounds the doubling of firstPartitionTime.
	maxPartitionTime = 5 * time.Minute
)

// mixedStats tracks how many streams of short prompts are late while the pool is not
// partitioned, so that long prompts run on all replicas. The pauses of streams with
// long prompts don't show it: most of these are short and have fewer pauses.
type mixedStats struct {
	lateShare     float64       // share with too long a pause, moving average
	streams       int           // observed
	peers         peerEstimate  // lateShare of the other processes
	partitionTime time.Duration // set by the last backOff
	retryAt       time.Time     // when the pool may be unpartitioned again
}

// add adds a stream of a short prompt, late if one of its pauses was too long.
func (m *mixedStats) add(late bool) {
	m.streams++
	step := max(minMixedStep, 1/float64(m.streams))
	if late {
		m.lateShare += step * (1 - m.lateShare)
	} else {
		m.lateShare -= step * m.lateShare
	}
}

// weight is the weight of this process's lateShare among those of its peers.
func (m *mixedStats) weight() float64 { return float64(min(m.streams, maxEstimateWeight)) }

// blendedLateShare is the share of late streams over all processes.
func (m *mixedStats) blendedLateShare() float64 { return m.peers.blend(m.lateShare, m.weight()) }

// tooManyLate reports whether enough streams were observed, and too many of them late.
func (m *mixedStats) tooManyLate() bool {
	return m.weight()+m.peers.weight >= minMixedStreams && m.blendedLateShare() > maxMixedLateShare
}

// backOff sets how long the pool stays partitioned after mixing made streams late.
func (m *mixedStats) backOff(now time.Time) {
	m.partitionTime = min(max(2*m.partitionTime, firstPartitionTime), maxPartitionTime)
	m.retryAt = now.Add(m.partitionTime)
}

// reset drops the observations when the pool is unpartitioned.
func (m *mixedStats) reset() { m.lateShare, m.streams, m.peers = 0, 0, peerEstimate{} }
