package limit

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

// recentWindow is over how long use is averaged to tell where a workspace's
// callers come to. It is long against PeerTimeout, so that entries which lose each other
// agree on it even if they notice a few seconds apart.
const recentWindow = 5 * time.Minute

// fading is the time in which the use assumed of a silent peer falls to a third.
const fading = 4 * ExchangeInterval

// account is what one workspace has used, as far as this entry knows.
type account struct {
	limit   Limit
	level   float64 // tokens left in the bucket; negative when overdrawn
	at      time.Time
	drain   float64 // tokens a second that the peers are assumed to use
	used    float64 // tokens used here since the start of the process
	history [restated]float64
	recent  recent // used here
	cells   map[string]*cell
	refused jitter.RefusedWork

	view int     // of the limiter, for which part was worked out
	part float64 // of the rate, while cut off
}

// cell is what one peer has stated of one workspace.
type cell struct {
	used   float64
	at     time.Time // when it was last heard
	rate   float64   // tokens a second, assumed from then on
	recent recent
}

// recent is the tokens used lately. It loses weight with each exchange in which
// all entries heard each other, and stands still while they don't: that is when
// it is needed. It is brought up to date only when it is read or added to.
type recent struct {
	tokens   float64
	exchange int
}

func (r *recent) sum(exchange int) float64 {
	passed := time.Duration(exchange-r.exchange) * ExchangeInterval
	r.exchange = exchange
	if passed > 0 {
		r.tokens *= math.Exp(-passed.Seconds() / recentWindow.Seconds())
	}
	return r.tokens
}

func (r *recent) add(exchange int, tokens float64) { r.tokens = r.sum(exchange) + tokens }

// size returns the most tokens in the bucket.
func (l Limit) size() float64 { return max(l.Burst, l.Rate*minBurst.Seconds()) }

func (a *account) use(tokens float64) {
	a.level -= tokens
	a.used += tokens
}

// active says whether the workspace is to be stated: something was used of which
// not enough statements have told.
func (a *account) active() bool { return a.used > a.history[restated-1] }

// refill brings the bucket up to date: it has filled at a rate, and the peers are
// taken to have gone on using it.
func (a *account) refill(now time.Time, rate float64) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	a.at = now
	assumed, left := fade(a.drain, elapsed)
	a.drain = left
	a.level = min(a.level+rate*elapsed.Seconds()-assumed, a.limit.size())
}

// fade returns the tokens used in a time by one who used so many a second at its
// start and tells no more, and the tokens a second at its end. That all assumed
// rates fade alike lets an account keep their sum without looking at each, and
// a peer that has ended or is cut off fades out by itself.
func fade(rate float64, elapsed time.Duration) (used, left float64) {
	kept := math.Exp(-elapsed.Seconds() / fading.Seconds())
	return rate * fading.Seconds() * (1 - kept), rate * kept
}

// hear corrects the bucket by what a peer really used against what was assumed,
// and returns what it used. The bucket has been refilled up to now.
func (a *account) hear(now time.Time, c *cell, use Usage) float64 {
	elapsed := now.Sub(c.at)
	used := max(0, use.Used-max(c.used, use.UsedBefore))
	left := a.unassume(now, c)
	a.level = min(a.level-used, a.limit.size())
	c.used = max(c.used, use.Used)
	c.rate = left
	// A statement soon after another one is a late or a repeated one, and says
	// little of the rate.
	if elapsed >= ExchangeInterval/2 {
		c.rate = (left + used/elapsed.Seconds()) / 2
	}
	a.drain += c.rate
	return used
}

// unassume takes back what was assumed of a peer since it was last heard, and
// returns the rate that was still assumed.
func (a *account) unassume(now time.Time, c *cell) float64 {
	assumed, left := fade(c.rate, now.Sub(c.at))
	a.level = min(a.level+assumed, a.limit.size())
	a.drain = max(0, a.drain-left)
	c.at = now
	return left
}

// roll ends an exchange and returns what was used here in it.
func (a *account) roll() float64 {
	used := a.used - a.history[0]
	copy(a.history[1:], a.history[:restated-1])
	a.history[0] = a.used
	return used
}
