package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// OpenLoads returns this process's open requests by replica, its demand and its
// estimates, to be sent to the peers.
func (p *Placer) OpenLoads(now time.Time) []chicoryrock.OpenLoad {
	var loads []chicoryrock.OpenLoad
	for _, ps := range p.pools {
		if ps.slots == 0 {
			continue
		}
		for _, r := range ps.replicas {
			if r.open > 0 {
				loads = append(loads, chicoryrock.OpenLoad{
					KeyHash: r.keyHash, Open: r.open, GapSensitive: r.gapSensitive, UnreadTokens: int(r.backlogTokens(now, ps)),
				})
			}
		}
		loads = append(loads, ps.partition.loads(now, ps)...)
		loads = append(loads, ps.reservations.loads(now)...)
		loads = append(loads,
			encodeEstimate(ps.name+msPerTokenKey, ps.prefill.localMsPerToken(), msPerTokenScale, ps.prefill.localWeight()),
			encodeEstimate(ps.name+baseMsKey, ps.prefill.localBaseMs(), baseMsScale, ps.prefill.localWeight()),
			encodeEstimate(ps.name+pauseMsKey, ps.localPauseMs(), pauseMsScale, float64(min(ps.partition.pauseCount, maxEstimateWeight))))
		if !ps.partitioned() {
			stats := &ps.partition.unpartitioned
			loads = append(loads, encodeEstimate(ps.name+unpartitionedLateKey, stats.lateShare, unpartitionedLateScale, stats.weight()))
		}
	}
	return loads
}

// SetPeerLoads sets the sum of the OpenLoads of the other processes, by KeyHash, and
// the number of processes.
func (p *Placer) SetPeerLoads(now time.Time, peerLoads map[uint32]chicoryrock.OpenLoad, processes int) {
	p.peerLoadsAt = now
	p.processes = processes
	for _, ps := range p.pools {
		for _, r := range ps.replicas {
			r.peerLoad = peerLoads[r.keyHash]
		}
		ps.partition.setPeerLoads(ps, peerLoads)
		ps.reservations.setPeerDemand(peerLoads)
		ps.prefill.peerMsPerToken = decodeEstimate(peerLoads, ps.name+msPerTokenKey, msPerTokenScale)
		ps.prefill.peerBaseMs = decodeEstimate(peerLoads, ps.name+baseMsKey, baseMsScale)
		ps.partition.peerPauseMs = decodeEstimate(peerLoads, ps.name+pauseMsKey, pauseMsScale)
		ps.partition.unpartitioned.peers = decodeEstimate(peerLoads, ps.name+unpartitionedLateKey, unpartitionedLateScale)
	}
}

// Calibration holds the estimates of a pool's engines that outlive a restart.
type Calibration struct {
	BaseMs         float64 `json:"base"`  // time to first token of an empty prompt
	MsPerToken     float64 `json:"token"` // prefill time of a prompt token
	LongestPauseMs float64 `json:"pause"` // usual longest pause of a stream beside long prompts
	Partitioned    bool    `json:"apart"` // long prompts and streams of short ones run on different replicas
}

// calibrationSamples is how many samples a restored calibration counts for, and how
// many a pool needs for its estimates to be stored.
const calibrationSamples = 20

// Calibrations returns the estimates of the pools with enough samples, by pool.
func (p *Placer) Calibrations() map[string]Calibration {
	calibrations := make(map[string]Calibration)
	for name, ps := range p.pools {
		if ps.slots > 0 && ps.prefill.observedWeight >= calibrationSamples && ps.partition.pauseCount >= calibrationSamples {
			calibrations[name] = Calibration{ps.prefill.baseMs(), ps.prefill.msPerToken(), ps.longestPauseMs(), ps.partitioned()}
		}
	}
	return calibrations
}

// Restore uses stored calibrations as priors for the pools without samples.
func (p *Placer) Restore(calibrations map[string]Calibration) {
	for name, calibration := range calibrations {
		ps := p.pool(name)
		if ps.prefill.observedWeight > 0 || ps.partition.pauseCount > 0 || calibration.BaseMs <= 0 || calibration.MsPerToken <= 0 {
			continue
		}
		ps.prefill.setPrior(calibration.BaseMs, calibration.MsPerToken, calibrationSamples)
		ps.partition.pauseMs, ps.partition.pauseCount, ps.partition.active = calibration.LongestPauseMs, calibrationSamples, calibration.Partitioned
	}
}

// PoolEstimates holds the present estimates of a pool, for logs and metrics.
type PoolEstimates struct {
	Pool                     string
	Replicas                 int
	LongPromptReplicas       int           // replicas for long prompts
	WantedLongPromptReplicas int           // how many of these the load requires
	Partitioned              bool          // long prompts and streams of short ones run on different replicas
	MixedLateShare           float64       // share of streams of short prompts with too long a pause while not partitioned
	LongestPause             time.Duration // usual longest pause of a stream beside long prompts
	BaseTime                 time.Duration // time to first token of an empty prompt
	TimePerToken             time.Duration // prefill time of a prompt token
	LongPromptLoad           float64       // prefill of long prompts by all processes, seconds per second
	OpenRequests             int           // of all processes
}

// Estimates returns the present estimates of each pool with engines.
func (p *Placer) Estimates(now time.Time) []PoolEstimates {
	var estimates []PoolEstimates
	for _, ps := range p.pools {
		if ps.slots == 0 {
			continue
		}
		ps.partition.decay(now)
		estimates = append(estimates, PoolEstimates{
			Pool:                     ps.name,
			Replicas:                 len(ps.partition.order),
			LongPromptReplicas:       ps.partition.longReplicas,
			WantedLongPromptReplicas: ps.partition.wantedLongReplicas(ps),
			Partitioned:              ps.partitioned(),
			MixedLateShare:           ps.partition.unpartitioned.blendedLateShare(),
			LongestPause:             duration(ps.longestPauseMs()),
			BaseTime:                 duration(ps.prefill.baseMs()),
			TimePerToken:             duration(ps.prefill.msPerToken()),
			LongPromptLoad:           ps.partition.longLoad + ps.partition.peerLongLoad,
			OpenRequests:             len(ps.jobs) + ps.partition.peerLongJobs + ps.partition.peerShortJobs,
		})
	}
	return estimates
}
