package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// OpenLoads returns what this process has open, for the others.
func (p *Placer) OpenLoads(now time.Time) []chicoryrock.OpenLoad {
	var loads []chicoryrock.OpenLoad
	for _, t := range p.pools {
		if t.slots == 0 {
			continue
		}
		for _, r := range t.replicas {
			if r.open > 0 {
				loads = append(loads, chicoryrock.OpenLoad{
					KeyHash: r.hash, Running: r.open, GapSensitive: r.fragile, UnreadTokens: int(r.waiting(now, t)),
				})
			}
		}
		loads = append(loads, t.sides.loads(now, t)...)
		loads = append(loads, t.reserve.loads(now)...)
		loads = append(loads,
			tell(t.name+tokenName, t.pace.ownPerToken(), tokenScale, t.pace.weight()),
			tell(t.name+baseName, t.pace.ownBase(), baseScale, t.pace.weight()),
			tell(t.name+pauseName, t.ownPause(), pauseScale, float64(min(t.sides.pauses, maxWeight))))
		if !t.harmed() {
			m := &t.sides.mixed
			loads = append(loads, tell(t.name+mixedName, m.late, mixedScale, m.weight()))
		}
	}
	return loads
}

// SetPeerLoads takes in what the other processes have open, by the hash of the name,
// and how many processes there are.
func (p *Placer) SetPeerLoads(now time.Time, others map[uint32]chicoryrock.OpenLoad, processes int) {
	p.told = now
	p.processes = processes
	for _, t := range p.pools {
		for _, r := range t.replicas {
			r.others = others[r.hash]
		}
		t.sides.hear(t, others)
		t.reserve.hear(others)
		t.pace.token = told(others, t.name+tokenName, tokenScale)
		t.pace.start = told(others, t.name+baseName, baseScale)
		t.sides.heard = told(others, t.name+pauseName, pauseScale)
		t.sides.mixed.others = told(others, t.name+mixedName, mixedScale)
	}
}

// Calibration is what a placer has learned of a pool's engines, for the next start.
type Calibration struct {
	BaseMs         float64 `json:"base"`  // milliseconds
	MsPerToken     float64 `json:"token"` // milliseconds for a token of prompt
	LongestPauseMs float64 `json:"pause"` // usual longest pause beside long prompts, milliseconds
	Partitioned    bool    `json:"apart"` // long prompts and streams are kept apart
}

// taught is how many observations what was learned before counts for.
const taught = 20

// Calibrations returns what was learned of the pools whose engines were observed.
func (p *Placer) Calibrations() map[string]Calibration {
	learned := make(map[string]Calibration)
	for name, t := range p.pools {
		if t.slots > 0 && t.pace.seen >= taught && t.sides.pauses >= taught {
			learned[name] = Calibration{t.pace.base(), t.pace.perToken(), t.usualPause(), t.harmed()}
		}
	}
	return learned
}

// Restore starts with what was learned before, where nothing has been observed yet.
func (p *Placer) Restore(learned map[string]Calibration) {
	for name, known := range learned {
		t := p.pool(name)
		if t.pace.seen > 0 || t.sides.pauses > 0 || known.BaseMs <= 0 || known.MsPerToken <= 0 {
			continue
		}
		t.pace.assume(known.BaseMs, known.MsPerToken, taught)
		t.sides.pause, t.sides.pauses, t.sides.apart = known.LongestPauseMs, taught, known.Partitioned
	}
}

// PoolEstimates is what a placer believes of a pool, for logs and metrics.
type PoolEstimates struct {
	Pool                     string
	Replicas                 int
	LongPromptReplicas       int           // replicas that read long prompts
	WantedLongPromptReplicas int           // readers that the work asks for
	Partitioned              bool          // long prompts and streams are kept apart
	MixedLateShare           float64       // share of streams that were late where they were not
	LongestPause             time.Duration // usual longest pause of a stream beside long prompts
	BaseTime                 time.Duration // to a first token without a prompt
	TimePerToken             time.Duration // of prompt
	LongPromptLoad           float64       // time for long prompts that all processes ask for, seconds a second
	OpenRequests             int           // requests of all processes
}

// Estimates returns what is believed of each pool with engines.
func (p *Placer) Estimates(now time.Time) []PoolEstimates {
	var views []PoolEstimates
	for _, t := range p.pools {
		if t.slots == 0 {
			continue
		}
		t.sides.decay(now)
		views = append(views, PoolEstimates{
			Pool:                     t.name,
			Replicas:                 len(t.sides.order),
			LongPromptReplicas:       t.sides.readers,
			WantedLongPromptReplicas: t.sides.wanted(t),
			Partitioned:              t.harmed(),
			MixedLateShare:           t.sides.mixed.share(),
			LongestPause:             duration(t.usualPause()),
			BaseTime:                 duration(t.pace.base()),
			TimePerToken:             duration(t.pace.perToken()),
			LongPromptLoad:           t.sides.reading + t.sides.others,
			OpenRequests:             len(t.jobs) + t.sides.long + t.sides.short,
		})
	}
	return views
}
