package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/standin/store"
)

// The store comes back without the seal of a window that was reported, and without one front's
// counts of it, and all fronts end before they can write anything again: those that start then
// report no window with another sum, and go on with later ones.
func TestLostSealsAreNotMadeAnewByNewFronts(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.untilServing("begin")
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for caller := range 12 {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
			for n := 0; ctx.Err() == nil; n++ {
				w.ask(client, caller%3, "book", fmt.Sprintf("book-%d-%d", caller, n))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	reported := func() int {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		return len(w.sheet)
	}
	require.Eventually(t, func() bool { return reported() >= 3 }, time.Minute, 50*time.Millisecond)
	now := time.Now()
	time.Sleep(now.Truncate(time.Second).Add(time.Second - 20*time.Millisecond).Sub(now))
	// The window ends, and one front writes its counts later than the others.
	w.fronts[2].signal(syscall.SIGSTOP)
	time.Sleep(450 * time.Millisecond)
	w.store.Copy()
	w.fronts[2].signal(syscall.SIGCONT)
	time.Sleep(1400 * time.Millisecond)
	w.store.Switch(store.Switches{Outage: true})
	w.store.Restore()
	for _, p := range w.fronts {
		p.kill()
	}
	before := reported()
	for _, p := range w.fronts {
		p.start(t)
	}
	w.store.Switch(store.Switches{})
	require.Eventually(t, func() bool { return reported() >= before+3 }, time.Minute, 50*time.Millisecond)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	require.Empty(t, w.odd)
}
