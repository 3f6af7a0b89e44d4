package front

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/backup"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
)

// copies is where the memory of a call's run is.
type copies struct {
	server  string         // that keeps a copy of the run under way; empty for none
	address netip.AddrPort // of server
	from    netip.AddrPort // of the server that goes on from its copy; the zero value for a run that began there
}

// nextCopy returns which backend server is to keep a copy of the attempt that begins on a
// replica, and the replica's own address if it goes on from a copy itself.
func (c *call) nextCopy(now time.Time, replica *chicoryrock.Replica) (keeper, from netip.AddrPort) {
	if c.request.Only != "" {
		from = replica.Address
	}
	c.copies = copies{from: from}
	if server := c.front.chooseCopy(now, c.request, c.request.BuildAt(replica)); server != "" {
		c.copies.server, c.copies.address = server, c.front.address(c.request.Pool, server)
	}
	return c.copies.address, from
}

// chooseCopy returns the backend server that is to keep a copy of a request's run at a server
// of a build: one of the same build, as no other may go on with the run.
func (f *Front) chooseCopy(now time.Time, request *chicoryrock.Request, version string) string {
	if version == "" || request.MaxTokenGap <= 0 || request.Resumable || f.copyTime(request.Pool) <= 0 {
		return ""
	}
	anywhere := *request
	anywhere.Only, anywhere.Version = "", version
	replicas := f.Gate.ReplicasFor(now, &anywhere)
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.ChooseBackup(now, request, replicas)
}

// copyTime returns how long the memory of a token takes to a copy; zero where a pool's
// engines keep none.
func (f *Front) copyTime(pool string) time.Duration {
	if f.Placer.CopyTimePerToken == nil {
		return 0
	}
	return f.Placer.CopyTimePerToken(pool)
}

// takeOver decides whether a call whose run has broken off goes on from its copy, and
// prepares the next attempt.
func (c *call) takeOver(now time.Time, replica *chicoryrock.Replica, failure error) bool {
	broken := errors.Is(failure, chicoryrock.ErrTruncated) || errors.Is(failure, chicoryrock.ErrUnknownOutcome)
	if c.copies.server == "" || !broken || c.mixed || !c.stream.GoesOn() {
		return false
	}
	takeover := backup.Takeover{
		Now:      now,
		Deadline: c.until,
		Sent:     c.sent - 1,
		Allowed:  c.route.MaxAttempts,
		Down:     c.front.lookAt(replica.Name, replica.Address, now) != nil,
		Closed:   errors.Is(failure, upstream.ErrClosed),
	}
	if !takeover.Allows() || !c.front.withdrawInterrupted(now, c.request.Pool) {
		return false
	}
	c.request.Only = c.copies.server
	c.request.Deadline = c.until
	c.front.served.repeated.Add(1)
	c.front.Metrics.Retry(c.route.Name)
	c.trail.Write(event.TakenOver, now, zap.String("server", c.copies.server), zap.Int("events", c.stream.Events()), zap.String("after", c.stream.Last()))
	return true
}

// withdraw takes one repeat of a service from the budget.
func (f *Front) withdraw(now time.Time, service string) (allowed bool) {
	f.retries.use(service, f.Budget, func(r *retry.Retrier) { allowed = r.Budget.TryWithdraw(now) })
	return allowed
}

// withdrawInterrupted is withdraw for a call that goes on from a copy.
func (f *Front) withdrawInterrupted(now time.Time, service string) (allowed bool) {
	f.retries.use(service, f.Budget, func(r *retry.Retrier) { allowed = r.Budget.TryWithdrawInterrupted(now) })
	return allowed
}
