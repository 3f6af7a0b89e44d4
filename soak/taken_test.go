package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// youngAge is the age below which a stream counts as young.
	youngAge = 600 * time.Millisecond
	// afterKill is how long after a kill new streams are counted beside those taken up.
	afterKill = 1200 * time.Millisecond
)

// kill is when a front was killed, and together with how many: killsOne, killsHalf or killsAll.
type kill struct {
	at   time.Time
	with int
}

const (
	killsOne = iota
	killsHalf
	killsAll
)

var killNames = [...]string{"one", "half", "all"}

// share counts streams, and those of them that went on or began.
type share struct{ did, of int }

func (s *share) count(did bool) {
	s.of++
	if did {
		s.did++
	}
}

func (s share) String() string { return fmt.Sprintf("%d of %d", s.did, s.of) }

// taken counts streams that callers took up, and new ones beside them.
type taken struct {
	mutex sync.Mutex
	last  kill
	tries share
	// By kills: streams of killed fronts, younger and older, and new ones soon after a kill.
	young, old, begun [len(killNames)]share
}

// killFronts kills fronts and starts them again.
func (w *world) killFronts(with int, fronts ...*process) {
	now := kill{time.Now(), with}
	w.taken.mutex.Lock()
	w.taken.last = now
	w.taken.mutex.Unlock()
	for _, p := range fronts {
		p.mutex.Lock()
		p.killed = now
		p.mutex.Unlock()
		p.kill()
	}
	for _, p := range fronts {
		p.start(w.t)
	}
}

// killHalf kills half of the fronts, from one on.
func (w *world) killHalf(from int) {
	w.killFronts(killsHalf, slices.Concat(w.fronts, w.fronts)[from:from+(len(w.fronts)+1)/2]...)
}

// lastKill returns a front's last kill.
func (p *process) lastKill() kill {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.killed
}

// begins counts a new stream that was asked for at a time.
func (t *taken) begins(asked time.Time, began bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if since := asked.Sub(t.last.at); since >= 0 && since < afterKill {
		t.begun[t.last.with].count(began)
	}
}

// takenUp counts a stream that began at a front and was taken up.
func (w *world) takenUp(front int, stream got, wentOn bool) {
	killed := w.fronts[front].lastKill()
	if killed.at.Before(stream.began) || killed.at.After(stream.pieces[0].at) {
		return
	}
	t := &w.taken
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if killed.at.Sub(stream.began) < youngAge {
		t.young[killed.with].count(wentOn)
		return
	}
	t.old[killed.with].count(wentOn)
}

// tried counts one attempt to take a stream up.
func (t *taken) tried(wentOn bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.tries.count(wentOn)
}

// String lists the counts by kills.
func (t *taken) String() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	lines := []string{fmt.Sprintf("%v attempts of callers to take streams up went on", t.tries)}
	for i, name := range killNames {
		lines = append(lines, fmt.Sprintf("fronts killed: %s; taken up and went on: younger than %v %v, older %v; new streams within %v that began: %v",
			name, youngAge, t.young[i], t.old[i], afterKill, t.begun[i]))
	}
	return strings.Join(lines, "\n")
}
