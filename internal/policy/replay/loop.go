package replay

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their times, those of one time in the order
// in which they were planned.
type loop struct {
	now    time.Duration
	count  int
	events events
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

// after plans an event.
func (l *loop) after(wait time.Duration, run func()) {
	l.count++
	heap.Push(&l.events, event{at: l.now + wait, order: l.count, run: run})
}

// run handles events until none is left.
func (l *loop) run() {
	for len(l.events) > 0 {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.run()
	}
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(item any) { *e = append(*e, item.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	item := (*e)[last]
	*e = (*e)[:last]
	return item
}
