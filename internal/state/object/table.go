package object

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Table is a configuration indexed for look-ups on the way of a request. It is
// immutable: a new revision makes a new Table.
type Table struct {
	Revision   uint64
	Set        *Set
	workspaces map[string]*Workspace
	keys       map[string]*Key
	withdrawn  map[string]bool
	classes    map[string]*Class
	pools      map[string]*Pool
	models     map[string][]*Route
	services   map[string][]*Route
}

// Digest returns the digest under which a caller's key is stored.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// NewTable indexes a set that has passed its checks.
func NewTable(revision uint64, set *Set) *Table {
	table := &Table{
		Revision:   revision,
		Set:        set,
		workspaces: make(map[string]*Workspace, len(set.Workspaces)),
		keys:       make(map[string]*Key, len(set.Keys)),
		withdrawn:  make(map[string]bool, len(set.Withdrawn)),
		classes:    make(map[string]*Class, len(set.Classes)),
		pools:      make(map[string]*Pool, len(set.Pools)),
		models:     make(map[string][]*Route),
		services:   make(map[string][]*Route),
	}
	for i := range set.Workspaces {
		table.workspaces[set.Workspaces[i].Name] = &set.Workspaces[i]
	}
	for i := range set.Keys {
		table.keys[set.Keys[i].Digest] = &set.Keys[i]
	}
	for _, withdrawal := range set.Withdrawn {
		table.withdrawn[withdrawal.Digest] = true
	}
	for i := range set.Classes {
		table.classes[set.Classes[i].Name] = &set.Classes[i]
	}
	for i := range set.Pools {
		table.pools[set.Pools[i].Name] = &set.Pools[i]
	}
	for i := range set.Routes {
		route := &set.Routes[i]
		if route.Service != "" {
			table.services[route.Service] = append(table.services[route.Service], route)
			continue
		}
		table.models[route.Model] = append(table.models[route.Model], route)
	}
	return table
}

// Authenticate returns the key and workspace that a digest belongs to. Error:
// ErrUnknownKey.
func (t *Table) Authenticate(digest string) (*Key, *Workspace, error) {
	key, found := t.keys[digest]
	if !found || t.withdrawn[digest] {
		return nil, nil, errors.WithStack(chicoryrock.ErrUnknownKey)
	}
	workspace, found := t.workspaces[key.Workspace]
	if !found {
		return nil, nil, errors.WithStack(chicoryrock.ErrUnknownKey)
	}
	return key, workspace, nil
}

// Withdrawn reports whether a digest is that of a withdrawn key. It tells a
// caller whose key was taken back from one whose key never was.
func (t *Table) Withdrawn(digest string) bool { return t.withdrawn[digest] }

// Model returns the route for a model that is open to the workspace. A route
// that names the workspace goes before one that is open to all. Error: ErrNoRoute.
func (t *Table) Model(model, workspace string) (*Route, error) {
	return choose(t.models[model], workspace)
}

// Service returns the route for a plain service that is open to the workspace.
// Error: ErrNoRoute.
func (t *Table) Service(service, workspace string) (*Route, error) {
	return choose(t.services[service], workspace)
}

// Class returns a class by name, or nil.
func (t *Table) Class(name string) *Class { return t.classes[name] }

// Pool returns a pool by name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// Workspace returns a workspace by name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// Floors returns the floor of each class.
func (t *Table) Floors() map[string]float64 {
	floors := make(map[string]float64, len(t.Set.Classes))
	for i := range t.Set.Classes {
		floors[t.Set.Classes[i].Name] = t.Set.Classes[i].Floor
	}
	return floors
}

// Shares returns the share of each workspace that states one.
func (t *Table) Shares() map[string]float64 {
	shares := make(map[string]float64, len(t.Set.Workspaces))
	for i := range t.Set.Workspaces {
		if share := t.Set.Workspaces[i].Share; share > 0 {
			shares[t.Set.Workspaces[i].Name] = share
		}
	}
	return shares
}

// Models returns the names of the models open to the workspace, sorted.
func (t *Table) Models(workspace string) []string {
	var names []string
	for model := range t.models {
		if _, err := t.Model(model, workspace); err == nil {
			names = append(names, model)
		}
	}
	slices.Sort(names)
	return names
}

func choose(routes []*Route, workspace string) (*Route, error) {
	var open *Route
	for _, route := range routes {
		if slices.Contains(route.Workspaces, workspace) {
			return route, nil
		}
		if len(route.Workspaces) == 0 {
			open = route
		}
	}
	if open == nil {
		return nil, errors.WithStack(chicoryrock.ErrNoRoute)
	}
	return open, nil
}
