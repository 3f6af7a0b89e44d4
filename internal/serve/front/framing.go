package front

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
	"github.com/chicoryrock/chicoryrock/internal/policy/framing"
	"github.com/chicoryrock/chicoryrock/internal/serve/inbound"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
)

// Bounds of callers where the settings state none.
const (
	// headSlack is what a head may have above the configuration's maxHeaderBytes: its first
	// line's version and the ends of lines were never counted.
	headSlack = 512
	// defaultUnread is how long a caller may take to read a piece of 64 kB of its answer.
	defaultUnread = 10 * time.Second
	// defaultHeavyLines is far above what client libraries send.
	defaultHeavyLines = 200
	// defaultHeavy bounds heavy requests: a legal head of as many lines as possible took 0.3 MB
	// in the crowd tests.
	defaultHeavy = 8
)

// accept returns the listener of callers.
func (f *Front) accept(listener net.Listener) net.Listener {
	heavy := defaultHeavy
	if f.Node.Heavy > 0 {
		heavy = f.Node.Heavy
	}
	return inbound.Listener{Listener: listener, Bounds: f.callerBounds, Heavy: heavy, Account: reserve.Heads{}, Ended: f.ended.add}.Wrap()
}

// callerBounds returns what a caller may use of a connection, by the configuration in force
// and the settings.
func (f *Front) callerBounds() inbound.Bounds {
	bounds := inbound.Bounds{
		Limits:     framing.Limits{HeadBytes: maxHeader},
		HeaderTime: headerTimeout,
		IdleTime:   idleTimeout,
		UnreadTime: defaultUnread,
		HeavyLines: defaultHeavyLines,
	}
	if f.Node.Unread > 0 {
		bounds.UnreadTime = f.Node.Unread
	}
	if f.Node.HeavyLines > 0 {
		bounds.HeavyLines = f.Node.HeavyLines
	}
	if table := f.Table(); table != nil {
		if limit := table.Limits.MaxHeaderBytes; limit > 0 {
			bounds.HeadBytes = min(limit+headSlack, maxHeader)
		}
		if limit := table.Limits.HeaderTimeout; limit > 0 {
			bounds.HeaderTime = limit
		}
		if limit := table.Limits.IdleTimeout; limit > 0 {
			bounds.IdleTime = limit
		}
	}
	return bounds
}

// endings are the connections of callers that were ended by a rule, since the last lines
// about them.
type endings struct {
	mutex sync.Mutex
	kinds map[string]*ending
}

// ending is one reason for that. There are as many as package framing and inbound state.
type ending struct {
	why    error
	count  int
	caller netip.Addr // the last one
}

func (e *endings) add(_ time.Time, caller netip.AddrPort, why error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.kinds == nil {
		e.kinds = make(map[string]*ending)
	}
	kind := e.kinds[why.Error()]
	if kind == nil {
		kind = &ending{why: why}
		e.kinds[why.Error()] = kind
	}
	kind.count++
	kind.caller = caller.Addr()
}

// write writes a line for each reason.
func (e *endings) write(log *event.Log, into *metrics.Metrics) {
	e.mutex.Lock()
	kinds := e.kinds
	e.kinds = nil
	e.mutex.Unlock()
	for text, kind := range kinds {
		log.Write(event.CallerEnded, zap.String("why", text), zap.Int("count", kind.count), zap.Stringer("caller", kind.caller))
		if status, reason := inbound.Answer(kind.why); status != 0 {
			for range kind.count {
				into.Request(metrics.Ended{Outcome: chicoryrock.OutcomeRefused, Reason: reason})
			}
		}
	}
}
