package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// badPart is the part of a prompt under which each engine ends.
	badPart = "bad"
	// badPause is the mean time between two requests with it.
	badPause = 250 * time.Millisecond
	// crashNotice is how long after the fifth crash, and after a disturbance of its
	// process, a front is bound to keep such requests from engines.
	crashNotice = 3 * time.Second
	// crashesKnown prove the part, crashTrials more requests with it may come.
	crashesKnown, crashTrials = 5, 3
)

// crashed is what engines have seen of the bad part.
type crashed struct {
	mutex    sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // from fronts that were not disturbed of late
}

func isBad(r *http.Request) bool { return strings.Contains(r.Header.Get(sample.Parts), badPart+":") }

// crash ends an engine for some time.
func (w *world) crash(p *proxy, asked string) {
	now := time.Now()
	w.crashed.mutex.Lock()
	w.crashed.crashes = append(w.crashed.crashes, now)
	if front, found := w.frontOf(asked); found && now.Sub(w.fronts[front].disturbedAt()) >= crashNotice {
		w.crashed.arrivals = append(w.crashed.arrivals, now)
	}
	w.crashed.mutex.Unlock()
	p.down(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
}

// sendBad sends requests with the bad part to any front until the context ends.
func (w *world) sendBad(ctx context.Context, take func(got)) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		take(w.ask(client, n%len(w.fronts), "bad", fmt.Sprintf("bad-%d-%d", n%len(w.fronts), n)))
		time.Sleep(badPause/2 + rand.N(badPause))
	}
}

// checkCrashes holds what came with the bad part against what may come.
func (w *world) checkCrashes(seed uint64) {
	w.crashed.mutex.Lock()
	defer w.crashed.mutex.Unlock()
	w.t.Logf("seed %d: %d crashes under one part", seed, len(w.crashed.crashes))
	if len(w.crashed.crashes) < crashesKnown {
		return
	}
	known := w.crashed.crashes[crashesKnown-1].Add(crashNotice)
	later := 0
	for _, at := range w.crashed.arrivals {
		if at.After(known) {
			later++
		}
	}
	require.LessOrEqual(w.t, later, crashTrials, "seed %d: requests with the part after the notice", seed)
}

// down closes all connections and takes no new ones for a time.
func (p *proxy) down(last time.Duration) {
	p.mutex.Lock()
	address, already := p.listener.Addr().String(), p.isDown
	p.isDown = true
	_ = p.listener.Close()
	p.mutex.Unlock()
	p.reset()
	if already {
		return
	}
	time.AfterFunc(last, func() { p.up(address) })
}

// up takes connections again, unless the test has ended.
func (p *proxy) up(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended {
		return
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		time.AfterFunc(20*time.Millisecond, func() { p.up(address) })
		return
	}
	p.listener, p.isDown = listener, false
	go p.serve(listener)
}
