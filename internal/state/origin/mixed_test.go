package origin_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/state/origin"
)

// Guards against a mark that a process which doesn't know of it writes over, once the store has come back.
func TestMarkOutlivesAReturnOfTheStore(t *testing.T) {
	w := newWorld(3)
	w.serving[v2] = true
	for _, p := range w.processes {
		w.list(p)
		w.complete(p, func() {}, false)
	}
	first, second, third := w.processes[0], w.processes[1], w.processes[2]
	key := origin.KeyOf("w", "r")
	first.book.Send(w.now, key, v1, origin.Software{}, origin.Attempt{Server: "a"})
	first.book.Begin(w.now, key, v1, origin.Attempt{Server: "a"})
	w.save(first, false, false)
	_, goes := w.lookup(second, key, "s", func() {})
	require.True(t, goes)
	w.write([]origin.Record{second.book.Mix(w.now, key, v1)}) // as the stream is taken up there
	clear(w.records)
	for _, p := range []*process{second, first} {
		p.book.Restored(w.now)
		w.save(p, false, false)
	}
	_, goes = w.lookup(third, key, "s", func() {})
	require.False(t, goes)
}

// Guards against a build that one process has by answers only, and that others drop from the register.
func TestStatedBuildStaysInTheRegister(t *testing.T) {
	listed, stated := origin.Software{Service: "s", Version: "v1 m=1"}, origin.Software{Service: "s", Version: "v1 m=2"}
	w := newWorld(2)
	w.serving = map[origin.Software]bool{listed: true}
	told, other := w.processes[0], w.processes[1]
	for _, p := range w.processes {
		w.list(p)
		w.complete(p, func() {}, false)
	}
	told.book.SetListed(w.now, []origin.Software{listed, stated})
	w.complete(told, func() {}, false)
	other.book.SetRegister(w.now, w.stored(), 0)
	w.now = w.now.Add(origin.Retention + time.Second) // the entry is still late
	w.complete(other, func() {}, false)
	stored := w.stored()
	require.True(t, !told.book.MayBegin(stated) || stored.Has(stated), "streams begin at a build that the register lacks")
}
