package place

import (
	"math"

	"github.com/chicoryrock/chicoryrock"
)

// pace is how fast the engines of a pool read, learned from the times to the
// first token: a base and a time for each token, by least squares over the
// observations of late.
type pace struct {
	n, x, y, xx, xy float64
	seen            float64 // weight of the observations, without what was assumed
	token, start    heard   // the others' estimates
}

const (
	// firstBase and firstPerToken are what is assumed before anything is known,
	// milliseconds: those of a common engine with a large model, as to take a fast
	// engine for a slow one does less harm than the reverse.
	firstBase, firstPerToken = 70, 1.0 / 25
	// minPerToken and maxPerToken bound what is learned, milliseconds.
	minPerToken, maxPerToken = 1.0 / 400, 1.0 / 8
	// minBase and maxBase bound the base, milliseconds.
	minBase, maxBase = 3, 250
	// paceMemory is the weight that an observation loses with each new one.
	paceMemory = 0.995
	// lateWeight is the weight of an observation that came later than expected; one
	// that came earlier has the rest.
	lateWeight = 0.12
	// mostLate bounds what one observation says, as a multiple of the expectation.
	mostLate = 1.6
	// priorWeight is how many observations the assumption counts for.
	priorWeight = 3
	// streamCost is what a running stream adds to the time to the first token, as
	// a share of a base: each step of the engine takes longer with it.
	streamCost = 0.004
)

func newPace() pace {
	var p pace
	p.assume(firstBase, firstPerToken, priorWeight)
	return p
}

// assume sets what is known to a base and a time for each token, as if from so
// many observations at two lengths of prompt.
func (p *pace) assume(base, perToken, weight float64) {
	*p = pace{}
	for _, x := range []float64{500, 5000} {
		p.add(x, base+x*perToken, weight/2)
	}
}

func (p *pace) add(x, y, weight float64) {
	p.n += weight
	p.x += weight * x
	p.y += weight * y
	p.xx += weight * x * x
	p.xy += weight * x * y
}

// learn takes in the time to a first token, milliseconds, behind so many tokens.
// Much of what comes later than expected waited for requests that this process
// didn't know of, and says nothing of the engine's pace.
func (p *pace) learn(tokens, took float64) {
	expected := p.ownBase() + tokens*p.ownPerToken()
	weight := 1 - lateWeight
	if took > expected {
		weight = lateWeight
		took = min(took, mostLate*expected)
	}
	p.n *= paceMemory
	p.x *= paceMemory
	p.y *= paceMemory
	p.xx *= paceMemory
	p.xy *= paceMemory
	p.add(tokens, took, weight)
	p.seen += weight
}

// weight is how much this process's own estimate counts among those of others.
func (p *pace) weight() float64 { return min(p.seen, maxWeight) }

func (p *pace) perToken() float64 {
	return p.token.blend(p.ownPerToken(), p.weight())
}

func (p *pace) base() float64 {
	return p.start.blend(p.ownBase(), p.weight())
}

func (p *pace) ownPerToken() float64 {
	spread := p.n*p.xx - p.x*p.x
	if spread <= 0 {
		return firstPerToken
	}
	return min(max((p.n*p.xy-p.x*p.y)/spread, minPerToken), maxPerToken)
}

func (p *pace) ownBase() float64 {
	return min(max((p.y-p.ownPerToken()*p.x)/p.n, minBase), maxBase)
}

func (p *pace) perStream() float64 { return streamCost * p.base() }

// heard is an estimate that other processes told, by its weight.
type heard struct{ value, weight float64 }

// maxWeight bounds how much the estimate of one process counts.
const maxWeight = 50

// blend returns the mean of the own estimate and those of others.
func (h heard) blend(own, weight float64) float64 {
	// The own guess counts a little although nothing was observed.
	weight += leastWeight
	return (own*weight + h.value*h.weight) / (weight + h.weight)
}

// leastWeight is what an estimate without observations counts.
const leastWeight = 0.5

// tell puts an estimate into a burden: the weight, and the value times the weight
// in thousandths of the scale.
func tell(of string, value, scale, weight float64) chicoryrock.OpenLoad {
	whole := math.Floor(weight)
	return chicoryrock.OpenLoad{KeyHash: hashOf(of), Running: int(whole), UnreadTokens: int(whole * value * scale)}
}

// told reads the sum of such burdens.
func told(others map[uint32]chicoryrock.OpenLoad, of string, scale float64) heard {
	sum := others[hashOf(of)]
	if sum.Running == 0 {
		return heard{}
	}
	return heard{float64(sum.UnreadTokens) / scale / float64(sum.Running), float64(sum.Running)}
}

// The names and scales under which processes tell their estimates: milliseconds in
// parts that keep the sum of a fleet within 32 bits.
const (
	tokenName, tokenScale = "/token", 1e5
	baseName, baseScale   = "/base", 1e2
	pauseName, pauseScale = "/pause", 1e2
	mixedName, mixedScale = "/mixed", 1e4
)

// hold is how long requests stay on a replica.
type hold struct{ value float64 }

const (
	// firstHold is what is assumed before anything is known, milliseconds.
	firstHold = 1500
	// holdSmoothing is the weight of a new observation.
	holdSmoothing = 0.02
)

func (h *hold) mean() float64 {
	if h.value == 0 {
		return firstHold
	}
	return h.value
}

func (h *hold) add(ms float64) { h.value = h.mean() + holdSmoothing*(ms-h.mean()) }
