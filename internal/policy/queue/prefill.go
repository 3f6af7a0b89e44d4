package queue

import "time"

const (
	// prefillDecay is the factor by which each new sample reduces the weight of the
	// older ones.
	prefillDecay = 0.98
	// minPrefillWeight is the least sum of sample weights for a prediction.
	minPrefillWeight = 8
	// maxFirstChunkTokens is the largest first chunk of a stream that counts as a
	// sample. A larger one is a whole answer, whose time includes the decoding.
	maxFirstChunkTokens = 4
)

// prefillModel predicts the time from a request's turn to its first token as a
// linear function of the prompt length: a fixed part plus a part per prompt token.
// It is a least-squares fit over samples with exponentially decaying weights, with
// x in tokens and y in seconds.
type prefillModel struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

func (p *prefillModel) add(promptTokens int, timeToFirstToken time.Duration) {
	x := float64(promptTokens)
	y := timeToFirstToken.Seconds()
	p.weight = p.weight*prefillDecay + 1
	p.sumX = p.sumX*prefillDecay + x
	p.sumY = p.sumY*prefillDecay + y
	p.sumXX = p.sumXX*prefillDecay + x*x
	p.sumXY = p.sumXY*prefillDecay + x*y
}

// predict returns the expected time to the first token; zero if there are too few
// samples.
func (p *prefillModel) predict(promptTokens int) time.Duration {
	if p.weight < minPrefillWeight {
		return 0
	}
	meanX := p.sumX / p.weight
	meanY := p.sumY / p.weight
	slope := 0.0
	if varianceX := p.sumXX/p.weight - meanX*meanX; varianceX > 1 {
		slope = max(0, (p.sumXY/p.weight-meanX*meanY)/varianceX)
	}
	seconds := meanY + slope*(float64(promptTokens)-meanX)
	return time.Duration(max(0, seconds) * float64(time.Second))
}
