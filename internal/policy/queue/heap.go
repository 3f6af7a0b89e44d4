package queue

import (
	"cmp"
	"slices"
)

// heap is a binary min-heap that tells each value its place, so that a value in
// the middle can be moved or removed in logarithmic time.
type heap[K cmp.Ordered, T any] struct {
	nodes []node[K, T]
}

type node[K cmp.Ordered, T any] struct {
	key   K
	value T
	place *int // where the value keeps its own place, or absent
}

// absent is the place of a value that is in no heap.
const absent = -1

func (h *heap[K, T]) empty() bool { return len(h.nodes) == 0 }

// first returns the value with the least key. The heap is not empty.
func (h *heap[K, T]) first() T { return h.nodes[0].value }

func (h *heap[K, T]) push(key K, value T, place *int) {
	h.nodes = append(h.nodes, node[K, T]{key: key, value: value, place: place})
	h.up(len(h.nodes) - 1)
}

// set gives the value at a place a new key.
func (h *heap[K, T]) set(at int, key K) {
	h.nodes[at].key = key
	if !h.up(at) {
		h.down(at)
	}
}

// keep removes every value for which the function says false.
func (h *heap[K, T]) keep(wanted func(T) bool) {
	h.nodes = slices.DeleteFunc(h.nodes, func(n node[K, T]) bool { return !wanted(n.value) })
	for at := len(h.nodes)/2 - 1; at >= 0; at-- {
		h.down(at)
	}
}

func (h *heap[K, T]) remove(at int) {
	last := len(h.nodes) - 1
	*h.nodes[at].place = absent
	moved := h.nodes[last]
	h.nodes[last] = node[K, T]{}
	h.nodes = h.nodes[:last]
	if at == last {
		return
	}
	h.nodes[at] = moved
	if !h.up(at) {
		h.down(at)
	}
}

// up moves a node towards the root and says whether it moved.
func (h *heap[K, T]) up(at int) bool {
	start := at
	moving := h.nodes[at]
	for at > 0 {
		parent := (at - 1) / 2
		if h.nodes[parent].key <= moving.key {
			break
		}
		h.put(at, h.nodes[parent])
		at = parent
	}
	h.put(at, moving)
	return at != start
}

func (h *heap[K, T]) down(at int) {
	moving := h.nodes[at]
	for {
		child := 2*at + 1
		if child >= len(h.nodes) {
			break
		}
		if right := child + 1; right < len(h.nodes) && h.nodes[right].key < h.nodes[child].key {
			child = right
		}
		if moving.key <= h.nodes[child].key {
			break
		}
		h.put(at, h.nodes[child])
		at = child
	}
	h.put(at, moving)
}

func (h *heap[K, T]) put(at int, value node[K, T]) {
	h.nodes[at] = value
	*value.place = at
}
