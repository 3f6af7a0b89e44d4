// Package limit enforces the workspaces' token limits across all entries, without a
// message for each request.
//
// Each entry keeps a token bucket for each workspace, filled at the workspace's rate
// up to its burst. It subtracts the usage of its own requests at once. Every
// ExchangeInterval each entry sends a report of the workspaces' usage to its peers
// and subtracts the usage that they report from its own buckets. Between reports it
// assumes that the peers' usage continues at the same rate. So all entries share one
// bucket, seen with a short delay, and a workspace that sends all its requests to one
// entry gets its whole limit there.
//
// # How far a limit can be exceeded
//
// Let R be the rate, B the burst, N the number of entries, M the most tokens of
// one request with its answer, and E the longest time from a usage until all peers
// have received it (ExchangeInterval and the delivery). While all entries can reach
// each other, the usage of a workspace in any stretch of length t is at most
//
//	B + R·t + (N-1)·(B + R·E) + N·M
//
// because each entry admits requests only while the usage that it has received
// leaves something in the bucket, and the usage of a peer that it has not received
// is at most a full bucket and its filling in the time E. Usage beyond B + R·t is
// paid back: the buckets stay empty until it is made up for.
//
// A peer that has sent no report for PeerTimeout counts as unreachable. Each group of
// entries that can still reach each other then fills its buckets at a fraction of the
// rate: the fraction of the workspace's recent usage that was in the group, or the
// group's fraction of all entries if that is larger. These fractions sum to at most
// 2, plus a little because entries detect the network partition at different times.
// So each partition of duration c raises the bound by at most
//
//	1.25·R·c + (N-1)·(B + R·(E + PeerTimeout))
//
// and this excess is not paid back, because a lockout after a long partition would
// punish a workspace for a fault that is not its own. A workspace that sent all its
// requests to one entry before a partition keeps its whole limit there. One that
// sends its first requests during a partition gets only the group's fraction, because
// giving it the whole limit in each group would break the bound.
package limit

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

const (
	// ExchangeInterval is how often an entry reports its usage to its peers.
	ExchangeInterval = 2 * time.Second
	// PeerTimeout is how long a peer may be silent before it counts as unreachable.
	PeerTimeout = reportsPerUsage * ExchangeInterval
	// reportsPerUsage is how many reports include the same usage, in case some are lost.
	reportsPerUsage = 3
	// minBurst is the least capacity of a bucket, as time at the workspace's rate.
	minBurst = time.Second
	// minSpread is the least time over which the retries of refused callers are
	// spread.
	minSpread = time.Second
	// maxSpread is the most time over which they are spread.
	maxSpread = time.Minute
)

// Limit is the token limit of a workspace across all entries.
type Limit struct {
	Rate  float64 // tokens a second
	Burst float64 // tokens
}

// Limiter enforces the limits at one entry. Set the exported fields and call SetPeers
// and SetLimits before use. It is not safe for concurrent use.
type Limiter struct {
	Name  string    // of this entry
	Start time.Time // of this process; distinguishes it from an earlier one of that name

	limits              map[string]Limit
	accounts            map[string]*account
	peers               map[string]*peer
	partitioned         bool // a peer is unreachable
	reachabilityVersion int  // number of changes in which peers are reachable
	exchanges           int  // number of exchanges with all peers reachable
}

// SetLimits sets the limits by workspace. A workspace that is missing or whose rate
// is not positive has no limit.
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
		a.level = min(a.level, limit.bucketSize())
	}
}

// Allow reports whether a request may run, and if so subtracts its prompt from the
// bucket. If not, it returns the delay before a retry, which differs between requests
// refused together.
func (l *Limiter) Allow(now time.Time, request *chicoryrock.Request) (time.Duration, bool) {
	a := l.account(now, request.Workspace)
	if a == nil {
		return 0, true
	}
	l.refill(now, a)
	if a.level > 0 {
		a.consume(float64(request.PromptTokens))
		return 0, true
	}
	rate := a.limit.Rate * l.rateFraction(a)
	a.refused.Add(now, float64(request.PromptTokens)+1)
	wait := time.Duration(-a.level / rate * float64(time.Second))
	drainTime := a.refused.DrainTime(now, rate, minSpread, maxSpread)
	return wait + time.Duration(jitter.Fraction(request.ID)*float64(drainTime)), false
}

// Charge subtracts tokens of an answer from the bucket as they are produced.
func (l *Limiter) Charge(now time.Time, workspace string, tokens int) {
	if a := l.account(now, workspace); a != nil && tokens > 0 {
		l.refill(now, a)
		a.consume(float64(tokens))
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
	a := &account{limit: limit, level: limit.bucketSize(), refilledAt: now, peerUsages: make(map[string]*peerUsage)}
	l.accounts[workspace] = a
	return a
}

func (l *Limiter) refill(now time.Time, a *account) {
	a.refill(now, a.limit.Rate*l.rateFraction(a))
}

// rateFraction returns the fraction of a workspace's rate at which this entry fills
// the bucket: 1 unless some peer is unreachable.
func (l *Limiter) rateFraction(a *account) float64 {
	if !l.partitioned {
		return 1
	}
	if a.fractionVersion == l.reachabilityVersion {
		return a.rateFraction
	}
	groupSize := 1
	groupUsed := a.recent.sum(l.exchanges)
	totalUsed := groupUsed
	for name, p := range l.peers {
		used := 0.0
		if u, found := a.peerUsages[name]; found {
			used = u.recent.sum(l.exchanges)
		}
		totalUsed += used
		if p.reachable {
			groupSize++
			groupUsed += used
		}
	}
	a.fractionVersion = l.reachabilityVersion
	a.rateFraction = float64(groupSize) / float64(len(l.peers)+1)
	if totalUsed > 0 {
		a.rateFraction = max(a.rateFraction, groupUsed/totalUsed)
	}
	return a.rateFraction
}
