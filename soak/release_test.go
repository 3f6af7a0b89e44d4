package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	model = "m"
	// weightsVersions is how many versions of the model's weights there are.
	weightsVersions = 3
	// firstNewer is the index of the first version that comes by a release.
	firstNewer = 3
	// spares are the engines that don't run, so that newer ones can start in their place.
	spares = 3
	// goneKept is how many of the IDs that a server had are still removed from the store, which
	// may have come back from a copy that has them.
	goneKept = 4
	ready    = "ready"
	draining = "draining"
)

// softwareVersions are those that engines may have; releases go from one to the next.
var softwareVersions = []string{"v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v9", "v10", "v11", "v12"}

// builds are the names of all software with all weights, as events have them.
var builds = func() (all []string) {
	for _, version := range softwareVersions {
		for weights := 1; weights <= weightsVersions; weights++ {
			all = append(all, running{version: version, weights: weights}.build())
		}
	}
	return all
}()

// running is what a backend server is at present.
type running struct {
	id      string // empty for an engine that doesn't run
	version string
	weights int // of its model; zero for none
}

func (r running) build() string { return r.version + " " + strconv.Itoa(r.weights) }

// software is a backend server whose next start may have another ID, version and weights.
type software struct {
	mutex sync.Mutex
	running
	name     string
	service  string
	listed   int    // the weights in its entry
	state    string // in its entry; empty for none
	gone     []string
	released bool // it is about to leave
	starts   int
	copies   map[string]bool // the requests of whose runs it has a copy
	proxy    *proxy
	// entering is held while its entry is written.
	entering   sync.Mutex
	statements statements
	// faultyUntil is a time in Unix nanoseconds.
	faultyUntil atomic.Int64
}

func (s *software) get() running {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running
}

// mayChange says whether an engine runs and stays.
func (s *software) mayChange() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.id != "" && !s.released
}

func (w *world) newSoftware(name, service string) *software {
	s := &software{running: running{id: name, version: "v1"}, name: name, service: service, state: ready, copies: map[string]bool{}}
	w.servers = append(w.servers, s)
	if service == "llm" {
		s.version, s.weights, s.listed = fmt.Sprintf("v%d", 1+len(w.engines)%2), 1, 1
		if w.engines = append(w.engines, s); len(w.engines) > engines {
			s.id = ""
		}
	}
	return s
}

// start gives a server another ID, as that of a new process.
func (s *software) start(version string, weights int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gone = append(s.gone, s.id)
	s.gone = s.gone[max(0, len(s.gone)-goneKept):]
	s.starts++
	s.running = running{fmt.Sprintf("%s+%d", s.name, s.starts), version, weights}
	s.listed, s.state, s.released, s.copies = weights, ready, false, map[string]bool{}
	s.statements = statements{broken: s.statements.broken}
}

// change changes a server while nothing reads it.
func (s *software) change(how func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	how()
}

// changes returns what a server writes to the store.
func (s *software) changes() []chicoryrock.Change {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []chicoryrock.Change
	remove := func(id string) {
		if id != "" {
			list = append(list, chicoryrock.Change{Key: platform.ServerPrefix + id, Delete: true, Unconditional: true})
		}
	}
	for _, id := range s.gone {
		remove(id)
	}
	if s.id == "" || s.state == "" {
		remove(s.id)
		return list
	}
	entry := sample.EntryOf(s.service, s.proxy.address(), s.state, s.version)
	entry = strings.Replace(entry, `"born":5`, fmt.Sprintf(`"born":%d`, 5+s.starts), 1)
	if s.weights > 0 {
		entry = sample.WeightedOf(entry, model, s.listed)
	}
	if s.id == evacuable {
		entry = sample.In(entry, otherCentre)
	}
	return append(list, chicoryrock.Change{Key: platform.ServerPrefix + s.id, Value: []byte(entry), Unconditional: true})
}

// enter writes what the store is to have of a server now. The store may be out for a while.
func (w *world) enter(s *software) {
	s.entering.Lock()
	defer s.entering.Unlock()
	for range 100 {
		failed := false
		for _, change := range s.changes() {
			_, err := w.client.Commit(context.Background(), []chicoryrock.Change{change})
			failed = failed || err != nil
		}
		if !failed {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// release replaces a few engines by a newer build, one after the other: the new one is there
// before the old one leaves. Releases may overlap. The first two engines stay.
func (w *world) release() {
	if !versions() {
		return
	}
	count, from, silent := 1+w.random.IntN(3), w.random.IntN(len(w.engines)), w.random.IntN(3) == 0
	overlap, last := time.Duration(50+w.random.IntN(500))*time.Millisecond, time.Duration(200+w.random.IntN(1300))*time.Millisecond
	weights := 1 + w.random.IntN(weightsVersions)
	w.newest = min(w.newest+1, len(softwareVersions)-1)
	version := softwareVersions[w.newest]
	w.pending.Go(func() {
		for range count {
			before, next := w.claim(from, version)
			if next == nil || w.calming.Load() {
				return
			}
			next.start(version, weights)
			w.enter(next)
			time.Sleep(overlap)
			w.pending.Go(func() { w.leave(before, last, silent) })
		}
	})
}

// claim returns an engine of another version that runs and is to leave, and a spare, or nil.
func (w *world) claim(from int, version string) (before, next *software) {
	w.claiming.Lock()
	defer w.claiming.Unlock()
	for i := range w.engines {
		s := w.engines[(from+i)%len(w.engines)]
		s.mutex.Lock()
		switch {
		case s.released:
		case s.id == "" && next == nil:
			next = s
		case s.id != "" && before == nil && s.version != version && !slices.Contains(w.engines[:2], s):
			before = s
		}
		s.mutex.Unlock()
	}
	if before == nil || next == nil {
		return nil, nil
	}
	before.change(func() { before.released = true })
	next.change(func() { next.released = true })
	return before, next
}

// leave ends an engine after it has served on for a time, which it announces unless silent.
func (w *world) leave(s *software, last time.Duration, silent bool) {
	s.change(func() {
		if s.state = draining; silent {
			s.state = ""
		}
	})
	w.enter(s)
	time.Sleep(last)
	s.change(func() {
		s.gone = append(s.gone, s.id)
		s.id, s.state, s.released = "", "", false
	})
	s.proxy.down(last)
	w.enter(s)
}

// replaceWeights gives an engine other weights in place, which its entry says late.
func (w *world) replaceWeights(late time.Duration) {
	s, weights := w.engines[2+w.random.IntN(len(w.engines)-2)], 1+w.random.IntN(weightsVersions)
	if !versions() || !s.mayChange() {
		return
	}
	s.change(func() { s.weights = weights })
	w.listWeights(s, late)
}

func (w *world) listWeights(s *software, late time.Duration) {
	w.pending.Go(func() {
		time.Sleep(late)
		s.change(func() { s.listed = s.weights })
		w.enter(s)
	})
}

// crashEngine ends an engine for a time; it starts again under its ID, at times with other weights.
func (w *world) crashEngine(last time.Duration) {
	i, weights := w.random.IntN(len(w.engines)), 1+w.random.IntN(2*weightsVersions)
	s := w.engines[i]
	if !versions() || s.get().id == "" {
		return
	}
	s.proxy.down(last)
	s.change(func() {
		s.starts++
		s.copies = map[string]bool{}
		s.statements = statements{broken: s.statements.broken}
		if i >= 2 && weights <= weightsVersions {
			s.weights = weights
		}
	})
	w.listWeights(s, 2*last)
}

// misdirected says whether a server turns a request away as one for another server or weights.
func (r running) misdirected(request *http.Request) bool {
	expected := request.Header.Get(sample.ExpectWeights)
	return request.Header.Get(sample.Server) != r.id || r.weights > 0 && expected != "" && expected != strconv.Itoa(r.weights)
}

// keepCopy has the server that a request names keep a copy of its run.
func (w *world) keepCopy(request *http.Request) {
	address := request.Header.Get(sample.Backup)
	for _, s := range w.engines {
		if address != "" && s.proxy.address().String() == address {
			s.change(func() { s.copies[request.Header.Get(sample.ID)] = true })
		}
	}
}

// lacksCopy says whether a request is to go on from a copy that a server doesn't have.
func (s *software) lacksCopy(request *http.Request) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return request.Header.Get(sample.FromCopy) != "" && !s.copies[request.Header.Get(sample.ID)]
}
