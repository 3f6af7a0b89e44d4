package store

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/fault"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// pageItems and pageBytes bound one page of a range.
	pageItems = 500
	pageBytes = 1 << 20
)

// Switches are the failures that the store can be put into.
type Switches = fault.Switches

// Server serves a Core over HTTP, by the platform's published protocol. The
// exported fields are set before Start.
type Server struct {
	Listen netip.AddrPort

	fault.Gate
	mutex   sync.Mutex
	core    Core
	copied  Core
	era     uint64        // how often it has come back from a copy
	changed chan struct{} // closed and replaced at each write
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.changed = make(chan struct{})
	return s.Open(s.Listen,
		rest.Route{Method: http.MethodGet, Path: platform.PathKey, Handler: s.inEra(s.get)},
		rest.Route{Method: http.MethodGet, Path: platform.PathRange, Handler: s.inEra(s.list)},
		rest.Route{Method: http.MethodGet, Path: platform.PathWatch, Handler: s.watch},
		rest.Route{Method: http.MethodPost, Path: platform.PathTxn, Handler: s.inEra(s.commit)},
		rest.Route{Method: http.MethodPost, Path: platform.PathLease, Handler: s.inEra(s.grant)},
		rest.Route{Method: http.MethodPost, Path: platform.PathKeep + ":id", Handler: s.inEra(s.keep)},
		rest.Route{Method: http.MethodDelete, Path: platform.PathLeaseEnd + ":id", Handler: s.inEra(s.end)},
	)
}

// Copy keeps a copy of what the store holds.
func (s *Server) Copy() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.copied = s.core.clone()
}

// Restore brings the store back as it was at the last Copy. What was written since is gone,
// and its revisions are given out again.
func (s *Server) Restore() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core = s.copied.clone()
	s.era++
	s.wake(nil)
}

// inEra states the era in the answers of a call that does not wait.
func (s *Server) inEra(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.stateEra(w)
		s.mutex.Unlock()
		handle(w, r)
	}
}

// stateEra states the era. The lock is held.
func (s *Server) stateEra(w http.ResponseWriter) {
	w.Header().Set(sample.Era, strconv.FormatUint(s.era+1, 10))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.Enter(w, r, nil) {
		return
	}
	now := time.Now()
	s.mutex.Lock()
	entry, err := s.core.Get(now, r.URL.Query().Get("key"))
	answer := platform.KeyAnswer{Item: s.item(entry), AsOf: s.core.Revision(now)}
	s.mutex.Unlock()
	s.Answer(w, answer, err)
}

// item is an entry as the wire has it. The lock is held.
func (s *Server) item(entry chicoryrock.KeyValue) platform.Item {
	known := s.core.items[entry.Key]
	return platform.Item{
		Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Creation: known.creation, Lease: known.lease, Deleted: entry.Deleted,
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !s.Enter(w, r, nil) {
		return
	}
	now := time.Now()
	query := r.URL.Query()
	answer := platform.RangeAnswer{Items: []platform.Item{}}
	size := 0
	s.mutex.Lock()
	for _, entry := range s.core.List(now, query.Get(platform.PrefixParameter)) {
		if entry.Key <= query.Get("after") {
			continue
		}
		if len(answer.Items) == pageItems || size+len(entry.Value) > pageBytes && len(answer.Items) > 0 {
			answer.HasMore = true
			break
		}
		size += len(entry.Value)
		answer.Items = append(answer.Items, s.item(entry))
	}
	answer.AsOf = s.core.Revision(now)
	s.mutex.Unlock()
	s.Answer(w, answer, nil)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var request platform.TxnRequest
	if !s.Enter(w, r, &request) {
		return
	}
	expect := make(map[string]uint64, len(request.Expect))
	for _, row := range request.Expect {
		expect[row.Key] = row.Revision
	}
	writes := make([]Write, 0, len(request.Puts))
	for _, put := range request.Puts {
		writes = append(writes, Write(put))
	}
	s.mutex.Lock()
	revision, err := s.core.Commit(time.Now(), expect, writes, request.Remove)
	s.wake(err)
	s.mutex.Unlock()
	if err == nil {
		s.Written()
	}
	if errors.Is(err, chicoryrock.ErrConflict) {
		host.WriteError(w, http.StatusPreconditionFailed, err.Error())
		return
	}
	s.Answer(w, platform.TxnAnswer{Revision: revision}, err)
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var request platform.Lease
	if !s.Enter(w, r, &request) {
		return
	}
	s.mutex.Lock()
	request.Lease = s.core.Grant(time.Now(), time.Duration(request.TTLMs)*time.Millisecond)
	s.mutex.Unlock()
	s.Answer(w, request, nil)
}

func (s *Server) keep(w http.ResponseWriter, r *http.Request) {
	if !s.Enter(w, r, nil) {
		return
	}
	s.mutex.Lock()
	ttl, err := s.core.Keep(time.Now(), leaseOf(r.URL.Path))
	s.mutex.Unlock()
	s.Answer(w, platform.Lease{TTLMs: ttl.Milliseconds()}, err)
}

func (s *Server) end(w http.ResponseWriter, r *http.Request) {
	if !s.Enter(w, r, nil) {
		return
	}
	s.mutex.Lock()
	err := s.core.End(time.Now(), leaseOf(r.URL.Path))
	s.wake(err)
	s.mutex.Unlock()
	s.Answer(w, struct{}{}, err)
}

// leaseOf returns the number of a lease at the end of a path; zero, which no lease
// has, when there is none.
func leaseOf(path string) uint64 {
	id, err := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return id
}

// watched is what a watch asks for.
type watched struct {
	prefix string
	after  uint64
	end    time.Time
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.Enter(w, r, nil) {
		return
	}
	query := r.URL.Query()
	after, failed := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err := strconv.Atoi(query.Get("waitMs"))
	if failed != nil || err != nil {
		host.WriteError(w, http.StatusBadRequest, "after and waitMs are whole numbers")
		return
	}
	asked := watched{query.Get(platform.PrefixParameter), after, time.Now().Add(time.Duration(wait) * time.Millisecond)}
	for s.sleep(r, asked) {
	}
	if s.Out(w) {
		return
	}
	now := time.Now()
	answer := platform.WatchAnswer{Events: []platform.Item{}}
	s.mutex.Lock()
	s.stateEra(w)
	changes, err := s.core.Changes(now, asked.prefix, asked.after)
	for _, change := range changes {
		answer.Events = append(answer.Events, s.item(change))
	}
	answer.AsOf = s.core.Revision(now)
	s.mutex.Unlock()
	if errors.Is(err, chicoryrock.ErrCompacted) {
		host.WriteError(w, http.StatusGone, err.Error())
		return
	}
	s.Answer(w, answer, err)
}

// sleep waits for the next write, the end of a lease or the end of the watch. It
// returns false when the watch is over.
func (s *Server) sleep(r *http.Request, asked watched) bool {
	now := time.Now()
	s.mutex.Lock()
	changes, err := s.core.Changes(now, asked.prefix, asked.after)
	over := err != nil || len(changes) > 0 || !now.Before(asked.end)
	wake := asked.end
	if expiry := s.core.NextExpiry(); !expiry.IsZero() && expiry.Before(wake) {
		wake = expiry
	}
	changed := s.changed
	s.mutex.Unlock()
	if over {
		return false
	}
	timer := time.NewTimer(wake.Sub(now))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// wake ends the waits of the watches after a write that took effect. It runs
// with the mutex held.
func (s *Server) wake(err error) {
	if err == nil {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
