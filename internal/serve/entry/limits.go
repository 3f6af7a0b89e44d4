package entry

import (
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/limit"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// Limits keeps the workspaces' limits at this entry. It is safe for concurrent use.
type Limits struct {
	mu   sync.Mutex
	core limit.Limiter
}

// NewLimits returns the limits of the entry with the given name, whose process
// started now.
func NewLimits(now time.Time, name string) *Limits {
	return &Limits{core: limit.Limiter{Name: name, Start: now}}
}

// SetPeers replaces the names of the other entries.
func (l *Limits) SetPeers(now time.Time, names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.SetPeers(now, names)
}

// State returns what to tell the other entries.
func (l *Limits) State(now time.Time) limit.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.NextReport(now)
}

// Hear takes in what another entry told.
func (l *Limits) Hear(now time.Time, statement limit.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.Merge(now, statement)
}

// update takes over the limits of a configuration.
func (l *Limits) update(now time.Time, table *object.Table) {
	limits := make(map[string]limit.Limit)
	for i := range table.Set.Workspaces {
		workspace := &table.Set.Workspaces[i]
		if workspace.Rate > 0 {
			limits[workspace.Name] = limit.Limit{Rate: workspace.Rate, Burst: workspace.Burst}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.SetLimits(now, limits)
}

// allow says whether a request is within its workspace's limit. Error:
// *refusedError with the time to come back.
func (l *Limits) allow(now time.Time, request *chicoryrock.Request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	after, allowed := l.core.Allow(now, request)
	if allowed {
		return nil
	}
	return &refusedError{reason: chicoryrock.ReasonLimit, after: after}
}

func (l *Limits) charge(now time.Time, workspace string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.Charge(now, workspace, tokens)
}
