package place

import "time"

const (
	// mixedLate is the share of streams with short prompts that have too long a pause
	// beside long prompts above which the two are kept apart.
	mixedLate = 0.15
	// mixedSure is how many streams such a share has to come from.
	mixedSure = 20
	// mixedStep is the least weight of a new observation; the first ones weigh more.
	mixedStep = 0.04
	// firstApart is how long they are kept apart at least once mixing has done harm,
	// and each further time twice as long, up to longestApart: to try again costs some
	// streams each time.
	firstApart, longestApart = 30 * time.Second, 5 * time.Minute
)

// mixed is how streams with short prompts fare while long prompts are read on all
// replicas. Pauses beside long prompts alone don't tell: most streams with long
// prompts are short and have fewer of them.
type mixed struct {
	late   float64 // share with too long a pause, smoothed
	seen   int
	others heard         // what the others saw
	hold   time.Duration // how long the sides were kept last after harm was seen
	until  time.Time     // when mixing may be tried again
}

// add takes in a stream.
func (m *mixed) add(late bool) {
	m.seen++
	step := max(mixedStep, 1/float64(m.seen))
	if late {
		m.late += step * (1 - m.late)
	} else {
		m.late -= step * m.late
	}
}

// weight is how much this process's own observations count among those of others.
func (m *mixed) weight() float64 { return float64(min(m.seen, maxWeight)) }

// share is the share of streams with too long a pause, as all processes saw it.
func (m *mixed) share() float64 { return m.others.blend(m.late, m.weight()) }

// harms says whether mixing has been seen to make too many streams late.
func (m *mixed) harms() bool {
	return m.weight()+m.others.weight >= mixedSure && m.share() > mixedLate
}

// stop notes that the sides are kept again as mixing did harm.
func (m *mixed) stop(now time.Time) {
	m.hold = min(max(2*m.hold, firstApart), longestApart)
	m.until = now.Add(m.hold)
}

// start forgets what was seen the last time.
func (m *mixed) start() { m.late, m.seen, m.others = 0, 0, heard{} }
