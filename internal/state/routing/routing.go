// Package routing holds the configuration that an operator of the platform
// writes: which requests go to which service, whose keys are valid, and what
// callers may send. A Table is read-only once built; a newer version replaces it
// whole.
package routing

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of requests.
const (
	// AtMostOnce may run at most once for each attempt of its caller.
	AtMostOnce Kind = iota
	// Idempotent is idempotent.
	Idempotent
	// Stream is answered event by event.
	Stream
)

// Route ties requests by host and path to services.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // of the path, begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration     // longest time that a caller is kept waiting
	TargetLatency time.Duration     // within which an answer has its full worth
	MaxTokenGap   time.Duration     // longest pause between events within the target; streams
	Priority      int               // 0 is the most urgent
	MaxAttempts   int               // most backend servers that one request is sent to
	Public        bool              // needs no key
	Resumable     bool              // a stream may go on at another backend server
	Services      []WeightedService // at least one
}

// WeightedService is a service with its part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Retryable says whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// HasService says whether the route leads to a service.
func (r *Route) HasService(service string) bool {
	return slices.ContainsFunc(r.Services, func(share WeightedService) bool { return share.Service == service })
}

// PickService returns the service for a number from 0 to below 1.
func (r *Route) PickService(at float64) string {
	total := 0.0
	for _, share := range r.Services {
		total += share.Weight
	}
	at *= total
	for _, share := range r.Services {
		if at -= share.Weight; at < 0 {
			return share.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is a group of like backend servers.
type Service struct {
	Name     string
	MaxConns int // connections that one backend server takes from all callers
	Engine   *Engine
	Scaling  *Scaling // nil where the count is not the router's to order
}

// Engine is what is known of a service whose backend servers are model engines.
type Engine struct {
	Slots          int // requests in a batch
	TokensPerEvent int // tokens in an event of a stream
	// FetchTimePerToken is how long it takes to fetch a token of a prompt from another engine's
	// memory; zero where engines can't.
	FetchTimePerToken time.Duration
}

// Scaling bounds the count of backend servers in each data centre.
type Scaling struct {
	Min, Max int
	BootTime time.Duration // from the order until a new one serves
}

// Limits bound what a caller may send. A limit of zero is none.
type Limits struct {
	MaxHeaderBytes int           // bytes
	MaxBodyBytes   int64         // bytes
	HeaderTimeout  time.Duration // to send the header
	IdleTimeout    time.Duration // between requests on a connection
}

// Workspace is whom a request is billed to.
type Workspace struct {
	Name     string
	Priority int // 0 is the most urgent; below zero, the route's rank holds
}

// Table is one version of the configuration. Set the exported fields, then call
// Build.
type Table struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Limits     Limits
	RequireKey bool // requests need a key, except on public routes
	Keys       map[KeyDigest]*Workspace
	Raw        []byte // as the operator wrote it, for peers

	hosts    map[string][]*Route
	services map[string]*Service
	ranks    map[string][]int // of the routes to each service, ascending
	levels   []int            // ranks of workspaces, ascending
}

// KeyDigest stands for a key, which is not kept.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Build makes the lookups. It is called once, before the table is shared.
func (t *Table) Build() {
	t.hosts = make(map[string][]*Route)
	for i := range t.Routes {
		route := &t.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	t.services = make(map[string]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	t.rank()
}

// Match returns the route of a request: of its host, the one with the longest
// prefix of the path. It returns nil when there is none.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, found := t.hosts[host]
	if !found {
		if at := strings.LastIndexByte(host, ':'); at >= 0 {
			routes = t.hosts[host[:at]]
		}
	}
	var best *Route
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

// EffectivePriority returns how urgent a request is among those for its service; 0 is the
// most urgent. A workspace's rank goes before the route's, and among workspaces of
// one rank the route's decides.
func (t *Table) EffectivePriority(route *Route, workspace *Workspace, service string) int {
	ranks := t.ranks[service]
	at, _ := slices.BinarySearch(ranks, route.Priority)
	level := 0
	if workspace != nil && workspace.Priority >= 0 {
		level, _ = slices.BinarySearch(t.levels, workspace.Priority)
	}
	return level*len(ranks) + at
}

// rank collects the ranks that Urgency compares.
func (t *Table) rank() {
	t.ranks = make(map[string][]int)
	for i := range t.Routes {
		for _, share := range t.Routes[i].Services {
			t.ranks[share.Service] = append(t.ranks[share.Service], t.Routes[i].Priority)
		}
	}
	for name, ranks := range t.ranks {
		slices.Sort(ranks)
		t.ranks[name] = slices.Compact(ranks)
	}
	for _, workspace := range t.Keys {
		if workspace.Priority >= 0 {
			t.levels = append(t.levels, workspace.Priority)
		}
	}
	slices.Sort(t.levels)
	t.levels = slices.Compact(t.levels)
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns whose key this is, or nil.
func (t *Table) Workspace(key KeyDigest) *Workspace { return t.Keys[key] }

// Newer says whether a table is to replace another, which may be nil.
func (t *Table) Newer(than *Table) bool { return than == nil || t.Version > than.Version }
