// Package limit keeps workspaces to their limits over all entries, without a
// message for each request.
//
// Each entry keeps a bucket for each workspace that holds what the workspace may
// still use: it fills at the workspace's rate up to its burst. Own use is taken
// out at once. Every ExchangeInterval each entry states to its peers what the workspaces
// have used there, and takes out of its own buckets what the peers state; in
// between it assumes that they go on as before. So the entries act on one bucket
// that they see a little late, and a workspace whose callers all come to one entry
// has its whole limit there.
//
// # How far a limit can be exceeded
//
// Let R be the rate, B the burst, N the number of entries, M the most tokens of
// one request with its answer, and E the longest time from a use until all peers
// have heard of it (ExchangeInterval and the delivery). While the entries hear each
// other, a workspace uses in any stretch of length t no more than
//
//	B + R·t + (N-1)·(B + R·E) + N·M
//
// as each entry admits only while what it knows of leaves something in the
// bucket, and no peer can have used more than a full bucket and its filling in the
// time E of which it doesn't know. What was used beyond B + R·t is paid back: the
// buckets stay empty until it is made up for.
//
// Entries that have not heard a peer for PeerTimeout count as cut off from it. Each group
// of entries that still hear each other then fills its buckets at the part of the
// rate that the workspace has used there of late, and no less than the group's
// part of all entries. These parts sum to no more than 2, and a little for views
// that differ in time. So each time that entries are cut off from each other, for
// a time c, the bound grows by no more than
//
//	1.25·R·c + (N-1)·(B + R·(E + PeerTimeout))
//
// and that is not paid back, because a lockout after a long cut would punish a
// workspace for a fault that is not its own. A workspace whose callers all came to
// one entry before a cut keeps its whole limit there; one that first comes during a
// cut has the group's part. Both promises can't be kept to such a newcomer.
package limit

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

const (
	// ExchangeInterval is how often an entry states its use to its peers.
	ExchangeInterval = 2 * time.Second
	// PeerTimeout is how long a peer may be silent before it counts as cut off.
	PeerTimeout = restated * ExchangeInterval
	// restated is how many statements repeat a use, in case some are lost.
	restated = 3
	// minBurst is the least size of a bucket, as time at the workspace's rate.
	minBurst = time.Second
	// minSpread and maxSpread bound over how long refused callers are spread out.
	minSpread = time.Second
	maxSpread = time.Minute
)

// Limit is what a workspace may use over all entries.
type Limit struct {
	Rate  float64 // tokens a second
	Burst float64 // tokens at once
}

// Limiter keeps the limits at one entry. Set the exported fields, SetPeers and
// SetLimits before use. It is not safe for concurrent use.
type Limiter struct {
	Name  string    // of this entry
	Start time.Time // of this process; tells it from an earlier one of that name

	limits   map[string]Limit
	accounts map[string]*account
	peers    map[string]*peer
	cut      bool // some peer is not heard
	view     int  // counts the changes of who is heard
	exchange int  // counts the exchanges in which all were heard
}

// SetLimits puts the workspaces' limits in force. One that is missing, or has no
// rate, has no limit.
func (l *Limiter) SetLimits(now time.Time, limits map[string]Limit) {
	l.limits = limits
	for name, a := range l.accounts {
		limit, found := limits[name]
		if !found || limit.Rate <= 0 {
			delete(l.accounts, name)
			continue
		}
		l.refill(now, a)
		a.limit = limit
		a.level = min(a.level, limit.size())
	}
}

// Allow says whether a request may run, and takes its prompt out of the bucket.
// One that may not is told after what time to come back; requests refused
// together are told different times.
func (l *Limiter) Allow(now time.Time, request *chicoryrock.Request) (time.Duration, bool) {
	a := l.account(now, request.Workspace)
	if a == nil {
		return 0, true
	}
	l.refill(now, a)
	if a.level > 0 {
		a.use(float64(request.PromptTokens))
		return 0, true
	}
	rate := a.limit.Rate * l.part(a)
	a.refused.Add(now, float64(request.PromptTokens)+1)
	wait := time.Duration(-a.level / rate * float64(time.Second))
	over := a.refused.DrainTime(now, rate, minSpread, maxSpread)
	return wait + time.Duration(jitter.Fraction(request.ID)*float64(over)), false
}

// Charge takes tokens of an answer out of the bucket as they are produced.
func (l *Limiter) Charge(now time.Time, workspace string, tokens int) {
	if a := l.account(now, workspace); a != nil && tokens > 0 {
		l.refill(now, a)
		a.use(float64(tokens))
	}
}

// account returns the account of a workspace, or nil if it has no limit.
func (l *Limiter) account(now time.Time, workspace string) *account {
	if a, found := l.accounts[workspace]; found {
		return a
	}
	limit, found := l.limits[workspace]
	if !found || limit.Rate <= 0 {
		return nil
	}
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	a := &account{limit: limit, level: limit.size(), at: now, cells: make(map[string]*cell)}
	l.accounts[workspace] = a
	return a
}

func (l *Limiter) refill(now time.Time, a *account) {
	a.refill(now, a.limit.Rate*l.part(a))
}

// part returns the part of a workspace's rate that this entry's group has.
func (l *Limiter) part(a *account) float64 {
	if !l.cut {
		return 1
	}
	if a.view == l.view {
		return a.part
	}
	group := 1
	ours := a.recent.sum(l.exchange)
	all := ours
	for name, p := range l.peers {
		used := 0.0
		if c, found := a.cells[name]; found {
			used = c.recent.sum(l.exchange)
		}
		all += used
		if p.heard {
			group++
			ours += used
		}
	}
	a.view = l.view
	a.part = float64(group) / float64(len(l.peers)+1)
	if all > 0 {
		a.part = max(a.part, ours/all)
	}
	return a.part
}
