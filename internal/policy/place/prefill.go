package place

import (
	"math"

	"github.com/chicoryrock/chicoryrock"
)

// prefillModel predicts the time to first token of a pool's engines: a base time plus a
// time for each token to prefill, fitted by weighted least squares to the recent times
// of this process and blended with the estimates of its peers.
type prefillModel struct {
	// Weighted sums over the samples, with the prompt tokens as x and milliseconds as y.
	sumWeight, sumTokens, sumMs, sumTokensSquared, sumTokensMs float64

	observedWeight             float64 // of all samples so far, without the prior
	peerMsPerToken, peerBaseMs peerEstimate
}

const (
	// priorBaseMs is the base time assumed before any observation, milliseconds. Both
	// priors are those of a common engine with a large model: to take a fast engine for
	// a slow one does less harm than the reverse.
	priorBaseMs = 70
	// priorMsPerToken is the time per token assumed before any observation, milliseconds.
	priorMsPerToken = 1.0 / 25
	// minMsPerToken is the lower bound of the fitted time per token, milliseconds.
	minMsPerToken = 1.0 / 400
	// maxMsPerToken is the upper bound of the fitted time per token, milliseconds.
	maxMsPerToken = 1.0 / 8
	// minBaseMs is the lower bound of the fitted base time, milliseconds.
	minBaseMs = 3
	// maxBaseMs is the upper bound of the fitted base time, milliseconds.
	maxBaseMs = 250
	// sampleDecay is the factor on the weight of all earlier samples with each new one.
	sampleDecay = 0.995
	// lateSampleWeight is the weight of a sample above the model's prediction. One below
	// it has the rest to 1.
	lateSampleWeight = 0.12
	// maxLateRatio bounds a sample, as a multiple of the model's prediction.
	maxLateRatio = 1.6
	// priorSamples is how many samples the prior counts for.
	priorSamples = 3
	// streamCostShare is the cost of each open request on a replica, as a share of the
	// base time: each step of the engine takes longer with it.
	streamCostShare = 0.004
)

// newPrefillModel returns a model with the prior only.
func newPrefillModel() prefillModel {
	var m prefillModel
	m.setPrior(priorBaseMs, priorMsPerToken, priorSamples)
	return m
}

// setPrior resets the model to a base time and a time per token, as if from a number of
// samples spread over two prompt lengths.
func (m *prefillModel) setPrior(baseMs, msPerToken, samples float64) {
	*m = prefillModel{}
	for _, tokens := range []float64{500, 5000} {
		m.add(tokens, baseMs+tokens*msPerToken, samples/2)
	}
}

// add adds a weighted sample to the sums.
func (m *prefillModel) add(tokens, ms, weight float64) {
	m.sumWeight += weight
	m.sumTokens += weight * tokens
	m.sumMs += weight * ms
	m.sumTokensSquared += weight * tokens * tokens
	m.sumTokensMs += weight * tokens * ms
}

// observe adds the time to first token of a prompt with a number of tokens to prefill.
// Late samples weigh less: many of them waited behind requests that this process
// didn't know of, which says nothing about the engine's speed.
func (m *prefillModel) observe(tokens, tookMs float64) {
	expectedMs := m.localBaseMs() + tokens*m.localMsPerToken()
	weight := 1 - lateSampleWeight
	if tookMs > expectedMs {
		weight = lateSampleWeight
		tookMs = min(tookMs, maxLateRatio*expectedMs)
	}
	m.sumWeight *= sampleDecay
	m.sumTokens *= sampleDecay
	m.sumMs *= sampleDecay
	m.sumTokensSquared *= sampleDecay
	m.sumTokensMs *= sampleDecay
	m.add(tokens, tookMs, weight)
	m.observedWeight += weight
}

// localWeight is the weight of this process's estimates among those of its peers.
func (m *prefillModel) localWeight() float64 { return min(m.observedWeight, maxEstimateWeight) }

// msPerToken returns the prefill time of a prompt token, milliseconds.
func (m *prefillModel) msPerToken() float64 {
	return m.peerMsPerToken.blend(m.localMsPerToken(), m.localWeight())
}

// baseMs returns the time to first token of an empty prompt, milliseconds.
func (m *prefillModel) baseMs() float64 {
	return m.peerBaseMs.blend(m.localBaseMs(), m.localWeight())
}

// localMsPerToken is msPerToken from this process's samples only.
func (m *prefillModel) localMsPerToken() float64 {
	spread := m.sumWeight*m.sumTokensSquared - m.sumTokens*m.sumTokens
	if spread <= 0 {
		return priorMsPerToken
	}
	return min(max((m.sumWeight*m.sumTokensMs-m.sumTokens*m.sumMs)/spread, minMsPerToken), maxMsPerToken)
}

// localBaseMs is baseMs from this process's samples only.
func (m *prefillModel) localBaseMs() float64 {
	return min(max((m.sumMs-m.localMsPerToken()*m.sumTokens)/m.sumWeight, minBaseMs), maxBaseMs)
}

// msPerStream returns the cost of each open request on a replica, milliseconds.
func (m *prefillModel) msPerStream() float64 { return streamCostShare * m.baseMs() }

// peerEstimate is the weighted mean of an estimate over the other processes, and the
// sum of their weights.
type peerEstimate struct{ value, weight float64 }

// maxEstimateWeight bounds the weight of one process's estimate, in samples.
const maxEstimateWeight = 50

// blend returns the weighted mean of this process's estimate and those of its peers.
func (e peerEstimate) blend(local, weight float64) float64 {
	// The local prior counts a little even without samples.
	weight += minLocalWeight
	return (local*weight + e.value*e.weight) / (weight + e.weight)
}

// minLocalWeight is the weight of a local estimate without samples.
const minLocalWeight = 0.5

// encodeEstimate packs an estimate into a load report, so that reports of several
// processes can be summed: Open holds its weight, UnreadTokens the product of
// weight, value and scale.
func encodeEstimate(name string, value, scale, weight float64) chicoryrock.OpenLoad {
	wholeWeight := math.Floor(weight)
	return chicoryrock.OpenLoad{KeyHash: keyHash(name), Open: int(wholeWeight), UnreadTokens: int(wholeWeight * value * scale)}
}

// decodeEstimate unpacks the weighted mean from the sum of such reports.
func decodeEstimate(peerLoads map[uint32]chicoryrock.OpenLoad, name string, scale float64) peerEstimate {
	sum := peerLoads[keyHash(name)]
	if sum.Open == 0 {
		return peerEstimate{}
	}
	return peerEstimate{float64(sum.UnreadTokens) / scale / float64(sum.Open), float64(sum.Open)}
}

// Each key, behind the pool's name, stands for an estimate in load reports. Each scale
// turns its unit into whole numbers whose sum over a fleet stays within 32 bits.
const (
	msPerTokenKey          = "/token"
	msPerTokenScale        = 1e5 // parts of a millisecond
	baseMsKey              = "/base"
	baseMsScale            = 1e2 // parts of a millisecond
	pauseMsKey             = "/pause"
	pauseMsScale           = 1e2 // parts of a millisecond
	unpartitionedLateKey   = "/mixed"
	unpartitionedLateScale = 1e4 // parts of a share of 1
)

// serviceTime is the moving average of the time that requests stay on a replica.
type serviceTime struct{ smoothedMs float64 }

const (
	// initialServiceTimeMs is assumed before any observation, milliseconds.
	initialServiceTimeMs = 1500
	// serviceTimeSmoothing is the weight of a new observation.
	serviceTimeSmoothing = 0.02
)

// meanMs returns the average, milliseconds.
func (s *serviceTime) meanMs() float64 {
	if s.smoothedMs == 0 {
		return initialServiceTimeMs
	}
	return s.smoothedMs
}

// add adds the time of one request, milliseconds.
func (s *serviceTime) add(ms float64) {
	s.smoothedMs = s.meanMs() + serviceTimeSmoothing*(ms-s.meanMs())
}
