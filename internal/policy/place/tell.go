package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Loads returns what this process has open, for the others.
func (p *Placer) Loads(now time.Time) []chicoryrock.OpenLoad {
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

// SetOthers takes in what the other processes have open, by the hash of the name,
// and how many processes there are.
func (p *Placer) SetOthers(now time.Time, others map[uint32]chicoryrock.OpenLoad, processes int) {
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

// Learned is what a placer has learned of a pool's engines, for the next start.
type Learned struct {
	Base  float64 `json:"base"`  // milliseconds
	Token float64 `json:"token"` // milliseconds for a token of prompt
	Pause float64 `json:"pause"` // usual longest pause beside long prompts, milliseconds
	Apart bool    `json:"apart"` // long prompts and streams are kept apart
}

// taught is how many observations what was learned before counts for.
const taught = 20

// Learned returns what was learned of the pools whose engines were observed.
func (p *Placer) Learned() map[string]Learned {
	learned := make(map[string]Learned)
	for name, t := range p.pools {
		if t.slots > 0 && t.pace.seen >= taught && t.sides.pauses >= taught {
			learned[name] = Learned{t.pace.base(), t.pace.perToken(), t.usualPause(), t.harmed()}
		}
	}
	return learned
}

// Teach starts with what was learned before, where nothing has been observed yet.
func (p *Placer) Teach(learned map[string]Learned) {
	for name, known := range learned {
		t := p.pool(name)
		if t.pace.seen > 0 || t.sides.pauses > 0 || known.Base <= 0 || known.Token <= 0 {
			continue
		}
		t.pace.assume(known.Base, known.Token, taught)
		t.sides.pause, t.sides.pauses, t.sides.apart = known.Pause, taught, known.Apart
	}
}

// View is what a placer believes of a pool, for logs and metrics.
type View struct {
	Pool     string
	Replicas int
	Readers  int           // replicas that read long prompts
	Wanted   int           // readers that the work asks for
	Apart    bool          // long prompts and streams are kept apart
	Mixed    float64       // share of streams that were late where they were not
	Pause    time.Duration // usual longest pause of a stream beside long prompts
	Base     time.Duration // to a first token without a prompt
	PerToken time.Duration // of prompt
	Reading  float64       // time for long prompts that all processes ask for, seconds a second
	Open     int           // requests of all processes
}

// Views returns what is believed of each pool with engines.
func (p *Placer) Views(now time.Time) []View {
	var views []View
	for _, t := range p.pools {
		if t.slots == 0 {
			continue
		}
		t.sides.decay(now)
		views = append(views, View{
			Pool:     t.name,
			Replicas: len(t.sides.order),
			Readers:  t.sides.readers,
			Wanted:   t.sides.wanted(t),
			Apart:    t.harmed(),
			Mixed:    t.sides.mixed.share(),
			Pause:    duration(t.usualPause()),
			Base:     duration(t.pace.base()),
			PerToken: duration(t.pace.perToken()),
			Reading:  t.sides.reading + t.sides.others,
			Open:     len(t.jobs) + t.sides.long + t.sides.short,
		})
	}
	return views
}
