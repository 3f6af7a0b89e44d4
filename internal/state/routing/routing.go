// Package routing holds the configuration that an operator of the platform
// writes: which requests go to which service, which keys are valid, and the limits
// of what callers may send. A Table is read-only once built; a newer version
// replaces it as a whole.
package routing

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route's requests, which decides whether they may be retried.
type Kind int

// Kinds of requests.
const (
	// AtMostOnce requests may run at most once for each attempt of the caller.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered event by event.
	Stream
)

// Route maps requests to services by host and path.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration     // longest time that a caller is kept waiting
	TargetLatency time.Duration     // up to which an answer has its full value
	MaxTokenGap   time.Duration     // longest pause between the events of a stream that counts as on time
	Priority      int               // 0 is the highest
	MaxAttempts   int               // most backend servers that a request is sent to
	Public        bool              // needs no key
	Resumable     bool              // a broken stream may resume on another backend server
	Services      []WeightedService // at least one
	// AllowedRegions are the regions whose backend servers may serve its requests; nil for all.
	AllowedRegions []string
}

// WeightedService is a service and its weight among a route's services.
type WeightedService struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// HasService reports whether the route leads to a service.
func (r *Route) HasService(service string) bool {
	return slices.ContainsFunc(r.Services, func(weighted WeightedService) bool { return weighted.Service == service })
}

// PickService returns the service for a fraction in [0, 1), in proportion to the
// weights.
func (r *Route) PickService(fraction float64) string {
	total := 0.0
	for _, weighted := range r.Services {
		total += weighted.Weight
	}
	fraction *= total
	for _, weighted := range r.Services {
		if fraction -= weighted.Weight; fraction < 0 {
			return weighted.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// AllowedRegions returns the regions whose backend servers may serve a workspace's requests
// on a route, or nil for all regions. It is empty where the two have no region in common.
func AllowedRegions(route *Route, workspace *Workspace) []string {
	if workspace == nil || workspace.AllowedRegions == nil {
		return route.AllowedRegions
	}
	if route.AllowedRegions == nil {
		return workspace.AllowedRegions
	}
	common := []string{}
	for _, region := range route.AllowedRegions {
		if slices.Contains(workspace.AllowedRegions, region) {
			common = append(common, region)
		}
	}
	return common
}

// Service is a group of equivalent backend servers.
type Service struct {
	Name     string
	ColdRate float64 // requests a second that a backend server bears while it is cold; zero for no limit
	MaxConns int     // connections that a backend server accepts from all callers together
	Engine   *Engine
	Scaling  *Scaling // nil if the router does not order backend servers
}

// Engine describes the backend servers of a service that are model engines.
type Engine struct {
	Slots          int // largest number of requests in a batch
	TokensPerEvent int // in a stream
	// FetchTimePerToken is the time to fetch the cache of one prompt token from
	// another engine; zero if engines can't.
	FetchTimePerToken time.Duration
	// CopyTimePerToken is the time to copy the memory of one token of a running request to
	// another engine that keeps it; zero if engines keep no copies.
	CopyTimePerToken time.Duration
}

// Scaling bounds the number of backend servers in each data centre.
type Scaling struct {
	Min, Max int
	BootTime time.Duration // from the order until a new backend server serves
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // to send the header
	IdleTimeout    time.Duration // between requests on a connection
}

// Workspace is the account that a request is billed to.
type Workspace struct {
	Name     string
	Priority int // 0 is the highest; if negative, only the route's priority counts
	// AllowedRegions are the regions whose backend servers may serve its requests; nil for all.
	AllowedRegions []string
}

// Table is one version of the configuration. Set the exported fields, then call
// Build.
type Table struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Limits     Limits
	RequireKey bool // for requests, except on public routes
	Keys       map[KeyDigest]*Workspace
	Raw        []byte // as the operator wrote it
	Parts      []Part // of Raw; sent to peers

	hosts               map[string][]*Route
	services            map[string]*Service
	routePriorities     map[string][]int // by service, the distinct priorities of its routes, ascending
	workspacePriorities []int            // distinct priorities of the workspaces, ascending
}

// KeyDigest is the SHA-256 of a key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Build fills the lookup maps. It is called once, before the table is shared.
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
	t.collectPriorities()
}

// Match returns the route of a request: among the routes of its host, the one with
// the longest matching path prefix. It returns nil if there is none.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, found := t.hosts[host]
	if !found {
		if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
			routes = t.hosts[host[:colon]]
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

// EffectivePriority returns the priority of a request among those for its service;
// 0 is the highest. The priority of the workspace takes precedence; that of the
// route decides between workspaces of equal priority.
func (t *Table) EffectivePriority(route *Route, workspace *Workspace, service string) int {
	priorities := t.routePriorities[service]
	byRoute, _ := slices.BinarySearch(priorities, route.Priority)
	byWorkspace := 0
	if workspace != nil && workspace.Priority >= 0 {
		byWorkspace, _ = slices.BinarySearch(t.workspacePriorities, workspace.Priority)
	}
	return byWorkspace*len(priorities) + byRoute
}

// Priorities returns how many values EffectivePriority has for a service.
func (t *Table) Priorities(service string) int {
	return max(len(t.workspacePriorities), 1) * len(t.routePriorities[service])
}

// collectPriorities collects the priorities that EffectivePriority compares.
func (t *Table) collectPriorities() {
	t.routePriorities = make(map[string][]int)
	for i := range t.Routes {
		for _, weighted := range t.Routes[i].Services {
			t.routePriorities[weighted.Service] = append(t.routePriorities[weighted.Service], t.Routes[i].Priority)
		}
	}
	for name, priorities := range t.routePriorities {
		slices.Sort(priorities)
		t.routePriorities[name] = slices.Compact(priorities)
	}
	for _, workspace := range t.Keys {
		if workspace.Priority >= 0 {
			t.workspacePriorities = append(t.workspacePriorities, workspace.Priority)
		}
	}
	slices.Sort(t.workspacePriorities)
	t.workspacePriorities = slices.Compact(t.workspacePriorities)
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that a key belongs to, or nil.
func (t *Table) Workspace(key KeyDigest) *Workspace { return t.Keys[key] }

// Newer reports whether the table replaces another one, which may be nil.
func (t *Table) Newer(other *Table) bool { return other == nil || t.Version > other.Version }
