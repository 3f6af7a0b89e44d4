package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// evacuable is the backend server that stands alone in the data centre otherCentre.
	evacuable   = "app-1"
	otherCentre = "b"
	// evacuateBound is the time from which an evacuation binds, by default.
	evacuateBound = 5 * time.Second
	// crowd is how many requests at once a front spreads over both data centres: it serves a
	// few in its own.
	crowd = 100
)

// evacuate evacuates a data centre after all that has happened before, and takes that back. It
// guards against a front that has lost its way to the list of evacuations.
func (w *world) evacuate(seed uint64) {
	if !limits() {
		return // former builds do not know of evacuations
	}
	w.put(sample.EvacuationKey(otherCentre), sample.Evacuation)
	time.Sleep(evacuateBound)
	before := w.evacuable.Load()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
	for n := range 10 * len(w.fronts) {
		w.ask(client, n%len(w.fronts), "read", fmt.Sprintf("read-evacuated-%d", n))
	}
	require.Equal(w.t, before, w.evacuable.Load(), "seed %d: requests to an evacuated data centre", seed)
	_, err := w.client.Commit(context.Background(), []chicoryrock.Change{{Key: sample.EvacuationKey(otherCentre), Delete: true, Unconditional: true}})
	require.NoError(w.t, err)
	for front := range w.fronts {
		from := w.evacuable.Load()
		require.Eventually(w.t, func() bool {
			for n := range crowd {
				go w.ask(client, front, "read", fmt.Sprintf("read-back-%d-%d-%d", front, n, time.Now().UnixNano()))
			}
			return w.evacuable.Load() > from
		}, time.Minute, 50*time.Millisecond, "seed %d: front %d does not use it again", seed, front)
	}
}
