package world

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Creation uint64 `json:"creation,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// metadata is the platform's metadata store: a revision counter, leases, and long-poll
// watches over its whole history.
type metadata struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{}
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newMetadata() *metadata {
	return &metadata{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// put writes a key as the operator or a server does. An empty value removes it.
func (m *metadata) put(key string, value []byte) uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.revision++
	m.write(key, value, 0, value == nil)
	m.wake()
	return m.revision
}

// write applies one row at the present revision. The lock is held.
func (m *metadata) write(key string, value []byte, leaseID uint64, remove bool) {
	old, found := m.items[key]
	if remove {
		if !found {
			return
		}
		delete(m.items, key)
		m.history = append(m.history, item{Key: key, Revision: m.revision, Deleted: true})
		return
	}
	creation := m.revision
	if found {
		creation = old.Creation
	}
	next := item{Key: key, Value: value, Revision: m.revision, Creation: creation, Lease: leaseID}
	m.items[key] = next
	m.history = append(m.history, next)
}

func (m *metadata) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// expire ends leases that have run out. The lock is held.
func (m *metadata) expire(now time.Time) {
	for id, l := range m.leases {
		if now.After(l.end) {
			m.endLease(id)
		}
	}
}

func (m *metadata) endLease(id uint64) {
	delete(m.leases, id)
	var gone []string
	for key, it := range m.items {
		if it.Lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) > 0 {
		m.revision++
		for _, key := range gone {
			m.write(key, nil, 0, true)
		}
		m.wake()
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ServeHTTP implements http.Handler.
func (m *metadata) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/chicoryrock/")
	switch {
	case r.Method == http.MethodGet && path == "kv-key":
		m.key(w, r)
	case r.Method == http.MethodGet && path == "kv-range":
		m.list(w, r)
	case r.Method == http.MethodGet && path == "kv-watch":
		m.watch(w, r)
	case r.Method == http.MethodPost && path == "kv-txn":
		m.txn(w, r)
	case r.Method == http.MethodPost && path == "kv-lease":
		m.grant(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "kv-keep/"):
		m.keep(w, strings.TrimPrefix(path, "kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "kv-lease-end/"):
		m.end(w, strings.TrimPrefix(path, "kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *metadata) key(w http.ResponseWriter, r *http.Request) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(time.Now())
	found, ok := m.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": m.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{found, m.revision})
}

const pageItems = 500

func (m *metadata) list(w http.ResponseWriter, r *http.Request) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(time.Now())
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, it := range m.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": m.revision})
}

func (m *metadata) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		m.mutex.Lock()
		m.expire(time.Now())
		events := []item{}
		for _, it := range m.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		changed, asOf := m.changed, m.revision
		m.mutex.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (m *metadata) txn(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(time.Now())
	holds := true
	present := []item{}
	for _, row := range request.Expect {
		if m.items[row.Key].Revision != row.Revision {
			holds = false
		}
		if it, found := m.items[row.Key]; found {
			present = append(present, it)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, put := range request.Puts {
		if put.Lease != 0 && m.leases[put.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	m.revision++
	for _, put := range request.Puts {
		m.write(put.Key, put.Value, put.Lease, false)
	}
	for _, key := range request.Remove {
		m.write(key, nil, 0, true)
	}
	m.wake()
	reply(w, http.StatusOK, map[string]any{"revision": m.revision})
}

func (m *metadata) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	ttl := time.Duration(max(request.TTLMs, 1000)) * time.Millisecond
	m.revision++
	m.leases[m.revision] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": m.revision, "ttlMs": ttl.Milliseconds()})
}

func (m *metadata) keep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(time.Now())
	l := m.leases[n]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": n, "ttlMs": l.ttl.Milliseconds()})
}

func (m *metadata) end(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.endLease(n)
	reply(w, http.StatusOK, map[string]any{})
}
