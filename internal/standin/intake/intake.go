// Package intake is the stand-in for the platform's intake of usage reports. It
// remembers every report, so that a test can look for differences and repeats.
package intake

import (
	"net/http"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/fault"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/platform"
)

// Core is the intake without sockets. It is not safe for concurrent use.
type Core struct {
	taken map[string]chicoryrock.UsageReport
	all   []chicoryrock.UsageReport
}

// Report takes a report. The same figures may come again, also from another
// lease holder. Error: ErrConflict when other figures are on file for the ID.
func (c *Core) Report(report chicoryrock.UsageReport) error {
	c.all = append(c.all, report)
	prior, found := c.taken[report.ID]
	if found && !same(prior, report) {
		return errors.WithStack(chicoryrock.ErrConflict)
	}
	if c.taken == nil {
		c.taken = make(map[string]chicoryrock.UsageReport)
	}
	if !found {
		c.taken[report.ID] = report
	}
	return nil
}

// same compares the figures; the fencing number is the sender's, not a figure.
func same(a, b chicoryrock.UsageReport) bool {
	started := a.Start.Equal(b.Start)
	a.Start, a.Fence = b.Start, b.Fence
	return started && a == b
}

// Server serves a Core over HTTP. The exported fields are set before Start.
type Server struct {
	Listen netip.AddrPort

	fault.Gate
	mutex sync.Mutex
	core  Core
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	return s.Open(s.Listen,
		rest.Route{Method: http.MethodPost, Path: platform.PathReport, Handler: s.report},
		rest.Route{Method: http.MethodGet, Path: "/reports", Handler: s.list},
	)
}

// Received returns every report that came, repeats and refused ones included.
func (s *Server) Received() []chicoryrock.UsageReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]chicoryrock.UsageReport(nil), s.core.all...)
}

// Taken returns the report on file for each ID.
func (s *Server) Taken() map[string]chicoryrock.UsageReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := make(map[string]chicoryrock.UsageReport, len(s.core.taken))
	for id, report := range s.core.taken {
		taken[id] = report
	}
	return taken
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	var report chicoryrock.UsageReport
	if !s.Enter(w, r, &report) {
		return
	}
	s.mutex.Lock()
	err := s.core.Report(report)
	s.mutex.Unlock()
	if err == nil {
		s.Written()
	}
	s.Answer(w, struct{}{}, err)
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Received())
}
