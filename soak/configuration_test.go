package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// manyRoutes are some hundred kilobytes of routes.
	manyRoutes = 1500
	// inForce is from when on each front has a configuration: the time without trouble after
	// which a VM is held to the rules, and the one to put it in force, by default.
	inForce = 5500 * time.Millisecond
)

// configuration returns a version of the configuration, with a route that only this one has.
func configuration(version, routes int) string {
	more := []string{sample.PublicRoute("newest", sample.Host, fmt.Sprintf("/newest-%d/", version))}
	for i := range routes {
		more = append(more, sample.PublicRoute(fmt.Sprintf("r-%d", i), fmt.Sprintf("h%d.example", i%7), fmt.Sprintf("/%x/", i*7919)))
	}
	return sample.WithRoutes(roomy(sample.Copied(sample.Config(version, key))), more...)
}

// grow writes another large configuration, if the store takes it.
func (w *world) grow() bool {
	w.version++
	change := chicoryrock.Change{Key: platform.ConfigKey, Value: []byte(configuration(w.version, manyRoutes)), Unconditional: true}
	_, err := w.client.Commit(context.Background(), []chicoryrock.Change{change})
	return err == nil
}

// reconfigure guards against a front that has lost its way to newer configurations.
func (w *world) reconfigure(seed uint64) {
	begin := time.Now()
	require.Eventually(w.t, w.grow, inForce, 10*time.Millisecond)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
	for front := range w.fronts {
		id := 0
		require.Eventually(w.t, func() bool {
			id++
			status := w.ask(client, front, fmt.Sprintf("newest-%d", w.version), fmt.Sprintf("read-newest-%d-%d", front, id)).status
			return status != 0 && status != http.StatusNotFound
		}, max(inForce-time.Since(begin), time.Second), 20*time.Millisecond, "seed %d: front %d lacks version %d", seed, front, w.version)
	}
}
