package limit

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

// recentUsageDecay is the time constant of the moving average that shows which entries
// receive a workspace's requests. It is long compared with PeerTimeout, so that
// entries which lose contact agree on the average even if they detect it a few
// seconds apart.
const recentUsageDecay = 5 * time.Minute

// assumedRateDecay is the time in which the assumed usage rate of a silent peer
// falls to about a third (1/e).
const assumedRateDecay = 4 * ExchangeInterval

// account is the usage of one workspace as seen by this entry.
type account struct {
	limit       Limit
	level       float64 // tokens left in the bucket; negative when overdrawn
	refilledAt  time.Time
	peersRate   float64                  // sum of the peers' assumed rates, tokens a second
	used        float64                  // tokens used at this entry since the start of the process
	usedHistory [reportsPerUsage]float64 // used at the end of the latest exchanges, newest first
	recent      recentUsage              // at this entry
	peerUsages  map[string]*peerUsage
	refused     jitter.RefusedWork

	fractionVersion int     // Limiter.reachabilityVersion for which rateFraction was computed
	rateFraction    float64 // of the limit's rate, for this entry's group while partitioned
}

// peerUsage is the usage of one workspace that one peer has reported.
type peerUsage struct {
	used        float64   // tokens since the start of the peer's process
	reportedAt  time.Time // time of its last report
	assumedRate float64   // assumed usage rate at reportedAt, tokens a second
	recent      recentUsage
}

// recentUsage is a sum of recently used tokens with exponential decay. It decays
// with each exchange in which all peers are reachable. While one is not, nothing is
// added and nothing decays, so that rateFraction keeps using the split from before the
// network partition. The decay is computed only when the sum is read or added to.
type recentUsage struct {
	tokens   float64
	exchange int // Limiter.exchanges up to which the decay was computed
}

// sum returns the sum decayed up to the given exchange.
func (r *recentUsage) sum(exchange int) float64 {
	passed := time.Duration(exchange-r.exchange) * ExchangeInterval
	r.exchange = exchange
	if passed > 0 {
		r.tokens *= math.Exp(-passed.Seconds() / recentUsageDecay.Seconds())
	}
	return r.tokens
}

func (r *recentUsage) add(exchange int, tokens float64) { r.tokens = r.sum(exchange) + tokens }

// bucketSize returns the capacity of the bucket in tokens.
func (l Limit) bucketSize() float64 { return max(l.Burst, l.Rate*minBurst.Seconds()) }

func (a *account) consume(tokens float64) {
	a.level -= tokens
	a.used += tokens
}

// needsReport reports whether the next report has to list the workspace, because
// some of its usage is in fewer than reportsPerUsage reports.
func (a *account) needsReport() bool { return a.used > a.usedHistory[reportsPerUsage-1] }

// refill updates the bucket's level to the present time: it adds the rate, in tokens a
// second, times the elapsed time, and subtracts the assumed usage of the peers.
func (a *account) refill(now time.Time, rate float64) {
	elapsed := now.Sub(a.refilledAt)
	if elapsed <= 0 {
		return
	}
	a.refilledAt = now
	assumed, rateLeft := assumedUsage(a.peersRate, elapsed)
	a.peersRate = rateLeft
	a.level = min(a.level+rate*elapsed.Seconds()-assumed, a.limit.bucketSize())
}

// assumedUsage returns the tokens that a silent peer is assumed to use in a time,
// given its rate in tokens a second at the start, and its rate at the end. All
// assumed rates decay alike, so an account can keep their sum without updating each.
// The assumed usage of a peer that has ended or is cut off decays by itself.
func assumedUsage(rate float64, elapsed time.Duration) (used, rateLeft float64) {
	kept := math.Exp(-elapsed.Seconds() / assumedRateDecay.Seconds())
	return rate * assumedRateDecay.Seconds() * (1 - kept), rate * kept
}

// mergeUsage replaces the assumed usage of a peer by the reported one, and returns
// the newly reported tokens. The bucket must have been refilled up to now.
func (a *account) mergeUsage(now time.Time, u *peerUsage, usage Usage) float64 {
	elapsed := now.Sub(u.reportedAt)
	used := max(0, usage.Used-max(u.used, usage.UsedBefore))
	rateLeft := a.revertAssumed(now, u)
	a.level = min(a.level-used, a.limit.bucketSize())
	u.used = max(u.used, usage.Used)
	u.assumedRate = rateLeft
	// A report soon after another one is a late or a repeated one, and a poor
	// measure of the rate.
	if elapsed >= ExchangeInterval/2 {
		u.assumedRate = (rateLeft + used/elapsed.Seconds()) / 2
	}
	a.peersRate += u.assumedRate
	return used
}

// revertAssumed reverts the usage assumed of a peer since its last report, and
// returns the rate assumed of it at present.
func (a *account) revertAssumed(now time.Time, u *peerUsage) float64 {
	assumed, rateLeft := assumedUsage(u.assumedRate, now.Sub(u.reportedAt))
	a.level = min(a.level+assumed, a.limit.bucketSize())
	a.peersRate = max(0, a.peersRate-rateLeft)
	u.reportedAt = now
	return rateLeft
}

// endExchange ends an exchange and returns the tokens used at this entry during it.
func (a *account) endExchange() float64 {
	used := a.used - a.usedHistory[0]
	copy(a.usedHistory[1:], a.usedHistory[:reportsPerUsage-1])
	a.usedHistory[0] = a.used
	return used
}
