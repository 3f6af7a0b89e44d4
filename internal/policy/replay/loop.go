package replay

import (
	"container/heap"
	"time"
)

// eventLoop runs events in virtual time. Events of the same time run in the order in
// which they were scheduled.
type eventLoop struct {
	now       time.Duration // since the start of the trace
	scheduled int           // events so far
	events    eventHeap
}

type event struct {
	at       time.Duration
	sequence int // order of scheduling
	run      func()
}

// after schedules run for the time wait from now.
func (l *eventLoop) after(wait time.Duration, run func()) {
	l.scheduled++
	heap.Push(&l.events, event{at: l.now + wait, sequence: l.scheduled, run: run})
}

// run runs events until none is left.
func (l *eventLoop) run() {
	for len(l.events) > 0 {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.run()
	}
}

// eventHeap implements heap.Interface; the next event is its minimum.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(item any) { *h = append(*h, item.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}
