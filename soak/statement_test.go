package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// leaveNotice is how long after an answer that says so a front may still send requests
	// to a server that leaves.
	leaveNotice = 2500 * time.Millisecond
	// restNotice is how long after an answer that asks for a rest it begins, and restExtra
	// how many requests may come in it from one front.
	restNotice = 500 * time.Millisecond
	restExtra  = 2
)

// statements is what one start of a backend server says of itself, and what came after.
type statements struct {
	leaves bool
	rest   time.Duration // it turns all requests away and asks for so long; zero for none
	told   map[int]time.Time
	rests  map[int]rest // the last one that a front was asked for
	broken []string
}

// rest is the time in which a front was asked to send nothing.
type rest struct {
	told, begin, end time.Time
	got              int
}

// states says in an answer to a front what the server has to say of itself, and whether it
// turns the request away. A wrong answer may not be heard. A front that was disturbed since it
// was told, or whose answer may have been lost, is told anew.
func (s *software) states(header http.Header, front int, disturbed time.Time, heard bool) bool {
	now := time.Now()
	if troubled := time.Unix(0, s.proxy.troubled.Load()); troubled.After(disturbed) {
		disturbed = troubled // its answer may have been lost
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	st := &s.statements
	if st.told == nil {
		st.told, st.rests = map[int]time.Time{}, map[int]rest{}
	}
	if at, told := st.told[front]; told && at.After(disturbed) && now.Sub(disturbed) > leaveNotice && now.Sub(at) > leaveNotice {
		st.broken = append(st.broken, fmt.Sprintf("%s got a request of front %d %v after it had said that it leaves", s.id, front, now.Sub(at)))
	}
	if r := st.rests[front]; r.told.After(disturbed) && now.After(r.begin) && now.Before(r.end) {
		if r.got++; r.got > restExtra {
			st.broken = append(st.broken, fmt.Sprintf("%s got %d requests of front %d in a rest until %v", s.id, r.got, front, r.end))
		}
		st.rests[front] = r
	}
	if st.leaves {
		header.Set(sample.Leaving, "1")
		if at, told := st.told[front]; heard && (!told || !at.After(disturbed)) {
			st.told[front] = now
		}
	}
	if st.rest == 0 {
		return false
	}
	header.Set("Retry-After", strconv.FormatFloat(st.rest.Seconds(), 'f', -1, 64))
	if r := st.rests[front]; now.After(r.end) || !r.told.After(disturbed) {
		st.rests[front] = rest{told: now, begin: now.Add(restNotice), end: now.Add(st.rest)}
	}
	return true
}

// stateAnother has an engine ask for rests for a time, or say that it leaves until its next
// start. The first two don't.
func (w *world) stateAnother(last time.Duration) {
	if !versions() {
		return
	}
	s := w.engines[2+w.random.IntN(len(w.engines)-2)]
	leaves, length := w.random.IntN(2) == 0, time.Duration(1000+w.random.IntN(2000))*time.Millisecond
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if leaves {
		s.statements.leaves = true
		return
	}
	s.statements.rest = length
	time.AfterFunc(last, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.statements.rest = 0
	})
}

// checkStatements holds what came against what servers had said of themselves.
func (w *world) checkStatements(seed uint64) {
	for _, s := range w.engines {
		s.mutex.Lock()
		require.Empty(w.t, s.statements.broken, "seed %d", seed)
		s.mutex.Unlock()
	}
}
