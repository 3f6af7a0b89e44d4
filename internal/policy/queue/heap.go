package queue

import (
	"cmp"
	"slices"
)

// heap is a binary min-heap that stores each value's current index with the value,
// so that any value can be moved or removed in logarithmic time.
type heap[K cmp.Ordered, T any] struct {
	nodes []node[K, T]
}

type node[K cmp.Ordered, T any] struct {
	key   K
	value T
	index *int // where the value's current index is stored
}

// notInHeap is the stored index of a value that is in no heap.
const notInHeap = -1

func (h *heap[K, T]) empty() bool { return len(h.nodes) == 0 }

// min returns the value with the least key. The heap must not be empty.
func (h *heap[K, T]) min() T { return h.nodes[0].value }

func (h *heap[K, T]) push(key K, value T, index *int) {
	h.nodes = append(h.nodes, node[K, T]{key: key, value: value, index: index})
	h.siftUp(len(h.nodes) - 1)
}

// setKey changes the key of the value at an index.
func (h *heap[K, T]) setKey(at int, key K) {
	h.nodes[at].key = key
	if !h.siftUp(at) {
		h.siftDown(at)
	}
}

// retain removes every value for which keep returns false. It leaves some stored
// indices out of date, so it suits only heaps whose indices are not used.
func (h *heap[K, T]) retain(keep func(T) bool) {
	h.nodes = slices.DeleteFunc(h.nodes, func(n node[K, T]) bool { return !keep(n.value) })
	for at := len(h.nodes)/2 - 1; at >= 0; at-- {
		h.siftDown(at)
	}
}

func (h *heap[K, T]) remove(at int) {
	last := len(h.nodes) - 1
	*h.nodes[at].index = notInHeap
	moved := h.nodes[last]
	h.nodes[last] = node[K, T]{}
	h.nodes = h.nodes[:last]
	if at == last {
		return
	}
	h.nodes[at] = moved
	if !h.siftUp(at) {
		h.siftDown(at)
	}
}

// siftUp moves a node towards the root and reports whether it moved.
func (h *heap[K, T]) siftUp(at int) bool {
	start := at
	moving := h.nodes[at]
	for at > 0 {
		parent := (at - 1) / 2
		if h.nodes[parent].key <= moving.key {
			break
		}
		h.place(at, h.nodes[parent])
		at = parent
	}
	h.place(at, moving)
	return at != start
}

func (h *heap[K, T]) siftDown(at int) {
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
		h.place(at, h.nodes[child])
		at = child
	}
	h.place(at, moving)
}

func (h *heap[K, T]) place(at int, n node[K, T]) {
	h.nodes[at] = n
	*n.index = at
}
