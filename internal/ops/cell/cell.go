// Package cell keeps counts per five minutes in bounded memory.
package cell

import (
	"iter"
	"maps"
	"time"
)

// Span is the length of time that one cell counts.
const Span = 5 * time.Minute

// Starter is a key that knows when its cell begins.
type Starter interface {
	comparable
	Begins() time.Time
}

// Key names the cell of a class and workspace.
type Key struct {
	Start     int64 // Unix time of its beginning, in seconds
	Class     string
	Workspace string
}

// KeyAt returns the key of the cell in which a moment lies.
func KeyAt(moment time.Time, class, workspace string) Key {
	return Key{Start: moment.Truncate(Span).Unix(), Class: class, Workspace: workspace}
}

// Begins returns the beginning of the cell.
func (k Key) Begins() time.Time { return time.Unix(k.Start, 0).UTC() }

// Table keeps the newest cells. Set the exported field before the first call. It
// is not safe for concurrent use.
type Table[K Starter, V any] struct {
	// Limit is how many cells are kept; at least 1.
	Limit int

	values map[K]*V
	order  []K // in the order of their making
	whole  time.Time
}

// At returns the value of a key, a zero one for a new key. The oldest cell makes
// room when there are too many.
func (t *Table[K, V]) At(key K) *V {
	if found := t.values[key]; found != nil {
		return found
	}
	if t.values == nil {
		t.values = make(map[K]*V)
	}
	if len(t.order) == t.Limit {
		t.drop()
	}
	fresh := new(V)
	t.values[key] = fresh
	t.order = append(t.order, key)
	return fresh
}

// All returns every cell, in no order.
func (t *Table[K, V]) All() iter.Seq2[K, *V] { return maps.All(t.values) }

// Whole returns the time from which on nothing has been dropped, or the zero time
// when nothing ever was.
func (t *Table[K, V]) Whole() time.Time { return t.whole }

func (t *Table[K, V]) drop() {
	oldest := t.order[0]
	t.order = t.order[1:]
	delete(t.values, oldest)
	if end := oldest.Begins().Add(Span); end.After(t.whole) {
		t.whole = end
	}
}
