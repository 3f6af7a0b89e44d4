package soak

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// got is what one caller got.
type got struct {
	id, kind string
	status   int // zero without an answer
	body     string
	whole    bool
	began    time.Time // when it got the first bytes
	pieces   []piece   // its answers
}

// TestSoak disturbs for SOAK_SECONDS with SOAK_SEED and so many SOAK_FRONTS; without
// these, three fronts for a few seconds with a fixed seed.
func TestSoak(t *testing.T) {
	seed, seconds, fronts := uint64(number(t, "SOAK_SEED", 1)), number(t, "SOAK_SECONDS", 6), number(t, "SOAK_FRONTS", 3)
	w := newWorld(t, seed, fronts)
	log.SetOutput(w)
	w.t.Cleanup(func() { log.SetOutput(os.Stderr) })
	w.untilServing("begin")
	w.limitSome()
	results := w.play(time.Duration(seconds) * time.Second)
	w.untilServing("end")
	w.reconfigure(seed)
	w.evacuate(seed)
	w.check(seed, results)
}

// number reads a setting of the run.
func number(t *testing.T, variable string, otherwise int) int {
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

// play has callers ask while faults come and go, and returns what they got.
func (w *world) play(length time.Duration) []got {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	w.enableFaults(true)
	defer w.enableFaults(false)
	var results []got
	var mutex sync.Mutex
	var group sync.WaitGroup
	for caller := range max(12, len(w.fronts)) {
		group.Add(1)
		go func() {
			defer group.Done()
			client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
			for n := 0; ctx.Err() == nil; n++ {
				kind := []string{"book", "read", "long", "short"}[(caller+n)%4]
				asked := time.Now()
				one := w.ask(client, caller%len(w.fronts), kind, fmt.Sprintf("%s-%d-%d", kind, caller, n))
				if kind == "long" && versions() {
					w.taken.begins(asked, one.status == http.StatusOK)
					w.takeUp(client, caller%len(w.fronts), &one)
				}
				mutex.Lock()
				results = append(results, one)
				mutex.Unlock()
			}
		}()
	}
	if limits() {
		group.Go(func() {
			w.sendBad(ctx, func(one got) {
				mutex.Lock()
				defer mutex.Unlock()
				results = append(results, one)
			})
		})
	}
	for ctx.Err() == nil {
		w.disturb()
		time.Sleep(time.Duration(100+w.random.IntN(500)) * time.Millisecond)
	}
	w.calm()
	group.Wait()
	return results
}

// ask sends one request on whatever connection its caller has.
func (w *world) ask(client *http.Client, front int, kind, id string) got {
	one := got{id: id, kind: kind}
	path, parts, tokens := kind, "a1:200,b2:400", "600,40"
	if kind == "short" {
		tokens = "600,300" // enough of an answer to be copied
	}
	if kind == "bad" {
		path, parts = "short", fmt.Sprintf("a1:200,%s:50,%x:400", badPart, len(id)<<32+rand.IntN(1<<30))
	}
	upload := []byte("body")
	if (kind == "read" || kind == "book") && uploads(id) {
		upload = make([]byte, uploadBytes)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+w.fronts[front].callers.String()+"/"+path+"/", bytes.NewReader(upload))
	if err != nil {
		return one
	}
	// The caller's own library must not send it twice either.
	request.GetBody = nil
	request.Host = sample.Host
	for name, value := range map[string]string{
		sample.ID: id, "Authorization": "Bearer " + key, sample.Patience: "4000", sample.Tokens: tokens, sample.Parts: parts, sample.Model: model,
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return one
	}
	defer func() { _ = response.Body.Close() }()
	one.began = time.Now()
	body, err := readSome(response, kind, id)
	w.checkAnswer(response, id)
	one.status, one.body, one.whole = response.StatusCode, body, err == nil
	one.pieces = []piece{{id, 0, response.StatusCode, body, one.whole, time.Now()}}
	return one
}

// disturb begins one fault that ends by itself.
func (w *world) disturb() {
	last := time.Duration(200+w.random.IntN(2000)) * time.Millisecond
	switch p := w.fronts[w.random.IntN(len(w.fronts))]; w.random.IntN(33) {
	case 0:
		p.signal(syscall.SIGSTOP)
		time.AfterFunc(last, func() { p.signal(syscall.SIGCONT) })
	case 1, 31:
		w.killFronts(killsOne, p)
	case 2:
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
		p.wait()
		p.start(w.t)
	case 3:
		p.signal(syscall.SIGHUP)
	case 4:
		w.store.Switch(store.Switches{Outage: w.random.IntN(2) == 0, Slow: 30 * time.Millisecond, Lose: w.random.IntN(3)})
		time.AfterFunc(last, func() { w.store.Switch(store.Switches{}) })
	case 5:
		w.proxies[w.random.IntN(len(w.proxies))].reset()
	case 6, 7:
		w.limitAnother()
	case 8:
		if limits() {
			w.store.Copy()
			w.restores.Add(1)
			time.AfterFunc(last, func() {
				defer w.restores.Done()
				w.store.Restore()
				for _, s := range w.engines {
					w.pending.Go(func() { w.enter(s) })
				}
			})
		}
	case 9, 10:
		w.renew()
	case 12:
		w.stateAnother(last)
	case 13:
		w.grow()
	case 18, 19, 20:
		w.makeFaulty(2 * last)
	case 21, 22, 23:
		w.release()
	case 24, 25:
		w.replaceWeights(last)
	case 26, 27:
		w.crashEngine(last / 2)
	case 11, 32:
		w.killFronts(killsAll, w.fronts...)
	case 29, 30:
		w.killHalf(w.random.IntN(len(w.fronts)))
	default:
		one := w.proxies[w.random.IntN(len(w.proxies))]
		one.feel(mood(1 + w.random.IntN(int(moods)-1)))
		time.AfterFunc(last, func() { one.feel(calm) })
	}
}

// calm ends all faults. A copy that the store still has to come back from would undo what is
// written later.
func (w *world) calm() {
	w.calming.Store(true)
	w.restores.Wait()
	for _, one := range w.proxies {
		one.feel(calm)
	}
	w.store.Switch(store.Switches{})
	for _, p := range w.fronts {
		p.signal(syscall.SIGCONT)
	}
	w.pending.Wait()
}

// untilServing waits until each front serves each kind.
func (w *world) untilServing(when string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
	n := 0
	for front := range w.fronts {
		for _, kind := range []string{"book", "read", "long", "short"} {
			require.Eventually(w.t, func() bool {
				n++
				return w.ask(client, front, kind, fmt.Sprintf("%s-%s-%d-%d", kind, when, front, n)).status == http.StatusOK
			}, time.Minute, 50*time.Millisecond, "front %d serves no %s at the %s", front, kind, when)
		}
	}
}

// check holds what was seen against the promises.
func (w *world) check(seed uint64, results []got) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	served := 0
	for _, one := range results {
		runs := w.runs[one.id]
		repeats := one.kind == "read" || one.kind == "long"
		where := fmt.Sprintf("seed %d: %s answered %d, ran %d times", seed, one.id, one.status, runs)
		if !repeats {
			require.LessOrEqual(w.t, runs, 1, where)
			if one.status == http.StatusServiceUnavailable || one.status == http.StatusTooManyRequests {
				require.Zero(w.t, runs, "%s: a refusal says that it has not run", where)
			}
		}
		if one.status != http.StatusOK {
			w.checkFailure(one.id, one.status, one.body)
			continue
		}
		require.Positive(w.t, runs, where)
		w.checkBody(one, where)
		if one.whole {
			served++
		}
	}
	require.Positive(w.t, served, "nothing was served at all")
	w.logFaults()
	assert.Empty(w.t, w.odd)
	w.checkLimits(seed)
	w.checkCrashes(seed)
	w.checkStatements(seed)
	w.t.Logf("seed %d: %v", seed, &w.taken)
	w.t.Logf("seed %d: %d of %d served, %d windows reported", seed, served, len(results), len(w.sheet))
}

func (w *world) checkBody(one got, where string) {
	if one.kind == "book" || one.kind == "read" {
		if one.whole && one.body != one.id || !strings.HasPrefix(one.id, one.body) {
			w.t.Errorf("%s: not the right body:\n%s", where, w.story(one))
		}
		return
	}
	if versions() {
		w.checkStream(one, where)
		return
	}
	want := ""
	for i := 1; i <= events; i++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	body := splitVersions(wholeEvents(one.body))
	if one.whole {
		require.Equal(w.t, want, body, where)
	} else {
		require.True(w.t, strings.HasPrefix(want, body), "%s: a broken stream has a gap: %q", where, one.body)
	}
}
