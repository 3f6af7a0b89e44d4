package world

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["denied"] = denied }

// denied has callers look up one price while all servers reset a part of their requests.
func denied(record string) (*world, error) {
	const (
		callers = 24
		pause   = 2 * time.Second // between two requests of a caller: 12 a second in all
		share   = 0.45            // of the requests are reset
		begin   = 5 * time.Second
		length  = 6500 * time.Millisecond
		end     = 36 * time.Second
	)
	w, err := small(record, 2)
	if err != nil {
		return w, err
	}
	for range 4 { // six in all
		if _, err := w.addReplica("app"); err != nil {
			return w, err
		}
	}
	time.Sleep(time.Second)
	start := time.Now()
	if w.trouble {
		for _, r := range w.replicas {
			rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
			r.handle = func(rw http.ResponseWriter, _ *http.Request, _ []byte) bool {
				if since := time.Since(start); since < begin || since > begin+length {
					return false
				}
				r.mutex.Lock()
				lost := rnd.Float64() < share
				r.mutex.Unlock()
				if lost {
					reset(rw)
				}
				return lost
			}
		}
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	sent, denials, calm := 0, 0, 0
	for c := range callers {
		group.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second}
			time.Sleep(pause * time.Duration(c) / callers)
			for n := 0; time.Since(start) < end; n++ {
				at := time.Since(start)
				one := w.ask(client, w.fronts[(c+n)%2], "read", fmt.Sprintf("price-%d-%d", c, n), nil, 800)
				mutex.Lock()
				sent++
				if one.status >= 300 && one.status < 500 && one.seal == "" && one.status != 408 && one.status != 421 && one.status != 429 {
					denials++
					if at > begin+length {
						calm++
					}
				}
				mutex.Unlock()
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	w.note("%d requests, %d ended with a 4xx of the system's own, %d of these sent after the servers were sound again", sent, denials, calm)
	if limit := 5 + float64(sent)/500; float64(denials) > limit {
		w.fault("DENIED: %d of %d proper requests, more than %.1f", denials, sent, limit)
	}
	return w, nil
}

// reset breaks the connection of a request off without an answer.
func reset(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
