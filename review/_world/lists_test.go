package world

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["lists"] = lists }

const (
	listedServers = 40
	eventNew      = 405
	eventGone     = 407
)

// lists starts three fronts, again and again, while servers enter themselves one after the
// other, and compares by their logs which servers each front knows. It is no case of its own:
// no rule names it.
func lists(record string) (*world, error) {
	w, err := newWorld(record)
	if err != nil {
		return nil, err
	}
	w.configure(1, routes(), callerKey)
	for range listedServers {
		if _, err := w.addReplica("app"); err != nil {
			return w, err
		}
	}
	for range 3 {
		if _, err := w.addFront(""); err != nil {
			return w, err
		}
	}
	rounds := 0
	for begin := time.Now(); time.Since(begin) < 80*time.Second; rounds++ {
		for _, f := range w.fronts {
			f.kill()
			_ = os.Remove(f.log)
		}
		for _, r := range w.replicas {
			w.store.put("servers/"+r.id, nil)
		}
		var group sync.WaitGroup
		for _, f := range w.fronts {
			group.Go(func() { _ = f.run() })
		}
		for _, r := range w.replicas {
			if w.trouble {
				r.enter(r.address)
			}
			time.Sleep(time.Duration(rounds%6) * time.Millisecond)
		}
		group.Wait()
		time.Sleep(900 * time.Millisecond)
		for _, f := range w.fronts {
			if known := f.servers(); w.trouble && known != listedServers {
				w.fault("start %d: %s knows %d of %d servers", rounds, f.name, known, listedServers)
			}
		}
	}
	w.note("%d starts of three fronts", rounds)
	fmt.Println(rounds, "starts of three fronts,", len(w.broken), "lists that lack servers")
	return w, nil
}

// servers returns how many servers a front knows by its log.
func (f *front) servers() int {
	data, _ := os.ReadFile(f.log)
	known := map[string]bool{}
	for line := range strings.Lines(string(data)) {
		var entry struct {
			Event  int    `json:"event"`
			Server string `json:"server"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil {
			continue
		}
		switch entry.Event {
		case eventNew:
			known[entry.Server] = true
		case eventGone:
			delete(known, entry.Server)
		}
	}
	return len(known)
}
