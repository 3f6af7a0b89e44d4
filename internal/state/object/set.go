package object

import (
	"cmp"
	"slices"
)

// Position is one object's place in a set.
type Position struct {
	Ref   Ref
	Index int // among the objects of its kind
}

// Refs names every declared object of the set, kind by kind, in the set's order.
func (s *Set) Refs() []Position {
	var all []Position
	add := func(kind Kind, index int, name string) {
		all = append(all, Position{Ref: Ref{Kind: kind, Name: name}, Index: index})
	}
	for i := range s.Workspaces {
		add(KindWorkspace, i, s.Workspaces[i].Name)
	}
	for i := range s.Keys {
		add(KindKey, i, s.Keys[i].Name)
	}
	for i := range s.Classes {
		add(KindClass, i, s.Classes[i].Name)
	}
	for i := range s.Routes {
		add(KindRoute, i, s.Routes[i].Name)
	}
	for i := range s.Pools {
		add(KindPool, i, s.Pools[i].Name)
	}
	return all
}

// Sorted returns a copy of the set with the objects of each kind in the order
// of their names. Two sets with the same objects are equal once sorted.
func (s *Set) Sorted() *Set {
	sorted := &Set{
		Workspaces: slices.Clone(s.Workspaces),
		Keys:       slices.Clone(s.Keys),
		Classes:    slices.Clone(s.Classes),
		Routes:     slices.Clone(s.Routes),
		Pools:      slices.Clone(s.Pools),
		Withdrawn:  slices.Clone(s.Withdrawn),
	}
	slices.SortFunc(sorted.Workspaces, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(sorted.Keys, func(a, b Key) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(sorted.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(sorted.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(sorted.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(sorted.Withdrawn, func(a, b Withdrawal) int { return cmp.Compare(a.Digest, b.Digest) })
	return sorted
}
