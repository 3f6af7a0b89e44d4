package world

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memory }

const (
	maxBody    = 4194304
	usualBody  = 18000
	requesters = 18 // of each front: the 36 of a zone on its two
	burst      = 9 * time.Second
	calm       = 4 * time.Second
	// period is that of one requester: 27 requests a second come to a zone, times 2.3 in a
	// burst.
	period = 36 * time.Second * 10 / (27 * 23)
)

// memory has the requesters of two fronts send bodies as large as the limits allow. The
// platform ends a process that exceeds its memory, and starts it again.
func memory(record string) (*world, error) {
	w, err := small(record, 2)
	if err != nil {
		return w, err
	}
	for _, r := range w.replicas {
		if r.service == "pool" {
			r.handle = func(rw http.ResponseWriter, q *http.Request, _ []byte) bool {
				time.Sleep(100 * time.Millisecond)
				streamEvents(rw, q, q.Header.Get("Request-Id"), 9, 20*time.Millisecond)
				return true
			}
		}
	}
	size := usualBody
	if w.trouble {
		size = maxBody
	}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	killed := make([]int, len(w.fronts))
	var group sync.WaitGroup
	for i, f := range w.fronts {
		group.Go(func() { killed[i] = w.police(ctx, f) })
		for c := range requesters {
			group.Go(func() {
				client := &http.Client{Timeout: 4 * time.Second}
				for n := 0; ctx.Err() == nil; n++ {
					next := time.Now().Add(period)
					if time.Since(w.start)%(burst+calm) > burst {
						time.Sleep(period)
						continue
					}
					w.sheet(client, f, fmt.Sprintf("sheet-%d-%d-%d", i, c, n), size)
					time.Sleep(time.Until(next))
				}
			})
		}
	}
	group.Wait()
	w.note("ended for their memory: %v times", killed)
	if killed[0] >= 3 && killed[1] >= 3 {
		w.fault("Fault: the processes of two machines exceeded their memory %v times", killed)
	}
	return w, nil
}

// police ends a front whenever it exceeds its memory, and starts it again.
func (w *world) police(ctx context.Context, f *front) int {
	killed, peak := 0, 0
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		used := residentMB(f.command.Process.Pid)
		peak = max(peak, used)
		if used <= memoryLimit {
			continue
		}
		w.note("%s uses %d MB of %d: the platform ends it", f.name, used, memoryLimit)
		f.kill()
		killed++
		time.Sleep(time.Second)
		if err := f.run(); err != nil {
			w.note("%v", err)
			return killed
		}
	}
	w.note("%s used %d MB at most", f.name, peak)
	return killed
}

// residentMB returns the resident memory of a process of this world.
func residentMB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb := 0
			_, _ = fmt.Sscan(rest, &kb)
			return kb / 1024
		}
	}
	return 0
}

// sheet sends one request with a body of a size.
func (w *world) sheet(client *http.Client, f *front, id string, size int) {
	body := append([]byte(id), bytes.Repeat([]byte("x"), size-len(id))...)
	request, err := http.NewRequest(http.MethodPost, "http://"+f.address+"/sheet/x", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.GetBody = nil
	request.Host = callerHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Deadline-Ms", "4000")
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Usage", "9190,60")
	request.Header.Set("Prefix-Hash", "5c1e07a2:2520,91bd3f06:3780,"+fmt.Sprintf("%x:2890", size))
	response, err := client.Do(request)
	if err != nil {
		w.note("caller %s at %s: %v", id, f.name, err)
		time.Sleep(200 * time.Millisecond)
		return
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	w.note("caller %s at %s: %d, %d bytes, whole=%v", id, f.name, response.StatusCode, len(answer), err == nil)
}
