package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// issue is the state of a server's issuer. Permits are issued by start-time fair
// queueing, weighted by the rates at which the processes would use the server.
type issue struct {
	level     float64   // permits that can be issued
	updated   time.Time // when level was computed
	idleSince time.Time // since when a permit has been available that no process wants; zero if none
	virtual   float64   // start tag of the permit that was issued last
	users     map[string]*user
}

// user is a process that takes its permits from this issuer.
type user struct {
	part      float64   // of the limit, that it has pledged
	expiry    time.Time // of its pledge and its wants
	wanted    int       // permits that it can use and has not got
	rate      float64   // at which it would use the server, requests a second
	finish    float64   // finish tag of its last permit
	toldAt    time.Time // when it was last told of the limit
	answer    bool      // it has asked and got no answer yet
	forwarded int       // permits that were issued and not sent yet
}

// begin starts the state of an issuer at a point of the way to its first permit, 0 to 1.
func (i *issue) begin(now time.Time, fraction float64) {
	*i = issue{level: fraction, updated: now}
}

func (i *issue) user(name string) *user {
	u := i.users[name]
	if u == nil {
		if i.users == nil {
			i.users = make(map[string]*user)
		}
		u = &user{}
		i.users[name] = u
	}
	return u
}

func (u *user) live(now time.Time) bool {
	return now.Before(u.expiry)
}

// share returns the share of the limit that is pledged to this issuer.
func (i *issue) share(now time.Time) float64 {
	sum := 0.0
	for _, u := range i.users {
		if u.live(now) {
			sum += u.part
		}
	}
	return min(sum, 1)
}

// advance brings the level up to date. It is called before anything that the rate
// depends on changes.
func (i *issue) advance(now time.Time, limit float64) {
	elapsed := now.Sub(i.updated).Seconds()
	i.updated = now
	if limit == chicoryrock.Unlimited || elapsed <= 0 {
		return
	}
	share := i.share(now)
	rate := limit * share
	saved := rate * saveTime.Seconds()
	if share > majority || saved >= 1 {
		i.level = min(i.level+rate*elapsed, max(1, saved))
		i.idleSince = time.Time{}
		return
	}
	if rate > 0 {
		i.advanceMinority(now, elapsed, rate)
	}
}

// advanceMinority advances the level of an issuer that issues a permit now and then. A
// permit that no process wants is dropped after PermitLifetime, and the way to the next
// one begins.
func (i *issue) advanceMinority(now time.Time, elapsed, rate float64) {
	fill := 1 / rate
	position := min(i.level, 1) * fill
	if !i.idleSince.IsZero() {
		position += now.Sub(i.idleSince).Seconds() - elapsed
	}
	position = math.Mod(max(position, 0)+elapsed, fill+PermitLifetime.Seconds())
	i.level = min(position/fill, 1)
	i.idleSince = time.Time{}
	if idle := position - fill; idle >= 0 {
		i.idleSince = now.Add(-time.Duration(idle * float64(time.Second)))
	}
}

// distribute issues the permits that are available to the processes that want them.
func (i *issue) distribute(now time.Time) {
	for i.level >= 1 {
		next := i.next(now)
		if next == nil {
			return
		}
		start := max(i.virtual, next.finish)
		i.virtual = start
		next.finish = start + 1/max(next.rate, minUseRate)
		next.wanted--
		next.forwarded++
		i.level--
		i.idleSince = time.Time{}
	}
}

// next returns the process whose turn it is, or nil if none wants a permit.
func (i *issue) next(now time.Time) *user {
	var next *user
	for _, name := range slices.Sorted(maps.Keys(i.users)) {
		u := i.users[name]
		if u.wanted > 0 && u.live(now) && (next == nil || max(i.virtual, u.finish) < max(i.virtual, next.finish)) {
			next = u
		}
	}
	return next
}

// interval returns the mean time between two permits of a process that always wants one.
func (i *issue) interval(now time.Time, limit float64, name string) time.Duration {
	sum, own := 0.0, float64(minUseRate)
	for other, u := range i.users {
		switch {
		case other == name:
			own = max(u.rate, minUseRate)
		case u.live(now) && (u.wanted > 0 || u.rate >= minUseRate):
			sum += max(u.rate, minUseRate)
		}
	}
	rate := limit * i.share(now)
	if rate <= 0 {
		return maxInterval
	}
	return time.Duration(min((sum+own)/own/rate, maxInterval.Seconds()) * float64(time.Second))
}

// maxInterval bounds what is said of the time between permits.
const maxInterval = time.Minute

// forget drops the processes that have not been heard of for long.
func (i *issue) forget(now time.Time) {
	maps.DeleteFunc(i.users, func(_ string, u *user) bool {
		return now.Sub(u.expiry) > forgetTime && now.Sub(u.toldAt) > forgetTime
	})
}

// add returns the average with one more request, unless it was counted last.
func (r *useRate) add(now time.Time, requestID string) {
	if requestID != "" && requestID == r.lastID {
		return
	}
	r.rate = r.current(now) + 1/rateTime.Seconds()
	r.at = now
	r.lastID = requestID
}

// current returns the average now.
func (r *useRate) current(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.rate * math.Exp(-max(0, now.Sub(r.at).Seconds())/rateTime.Seconds())
}
