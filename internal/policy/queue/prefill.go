package queue

import "time"

const (
	// prefillMemory is the weight that older samples keep with each new one.
	prefillMemory = 0.98
	// prefillTrust is the least weight of samples from which a time is predicted.
	prefillTrust = 8
	// prefillChunk is the most tokens in a first piece of a stream. A larger first
	// piece is a whole answer, which says nothing of the prefill.
	prefillChunk = 4
)

// prefill learns how long a request takes from its turn to its first token, as a
// straight line over the prompt's length: a fixed part and a part for each token.
// It is a least-squares fit over decaying samples.
type prefill struct {
	weight, x, y, xx, xy float64
}

func (p *prefill) learn(prompt int, took time.Duration) {
	x := float64(prompt)
	y := took.Seconds()
	p.weight = p.weight*prefillMemory + 1
	p.x = p.x*prefillMemory + x
	p.y = p.y*prefillMemory + y
	p.xx = p.xx*prefillMemory + x*x
	p.xy = p.xy*prefillMemory + x*y
}

// predict returns the time to the first token; zero while too little is known.
func (p *prefill) predict(prompt int) time.Duration {
	if p.weight < prefillTrust {
		return 0
	}
	meanX := p.x / p.weight
	meanY := p.y / p.weight
	slope := 0.0
	if spread := p.xx/p.weight - meanX*meanX; spread > 1 {
		slope = max(0, (p.xy/p.weight-meanX*meanY)/spread)
	}
	seconds := meanY + slope*(float64(prompt)-meanX)
	return time.Duration(max(0, seconds) * float64(time.Second))
}
