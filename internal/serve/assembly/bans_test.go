package assembly

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// badPart is the ID of crashPart.
const badPart = 0xbad

// bannedFor returns evidence that bans the bad part, of crashes that ended so long ago.
func bannedFor(ago time.Duration) suspect.Evidence {
	var evidence suspect.Evidence
	for i := range crashesKnown {
		evidence.Failures = append(evidence.Failures, suspect.Failure{
			ID: fmt.Sprint("crash-", i), Server: fmt.Sprint("gone-", i), Workspace: "w1", Crash: true,
			Parts: []suspect.Fingerprint{suspect.PartFingerprint("llm", badPart)},
			Age:   suspect.Age(ago + time.Duration(i)*time.Second),
		})
	}
	return evidence
}

// bad asks for an answer to a prompt with the bad part.
func (d *deployment) bad(id string) answered {
	request := d.request(d.t.Context(), http.MethodPost, "/short/x", id, "k1", id)
	request.Header.Set(sample.Parts, "a1:200,"+crashPart+":100,c3:400")
	return d.do(request)
}

func requireHeldBack(t *testing.T, got answered) {
	t.Helper()
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, chicoryrock.ReasonCrashPart.Sentence())
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// A ban ends what has been sent and has not begun, and leaves alone what has begun.
func TestBanEndsWhatHasNotBegun(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	arrived, goOn := make(chan string, 2), make(chan struct{})
	d.add("i-1", "llm", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(sample.ID)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(sample.Seal, "s")
		if id == "begun" {
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		arrived <- id
		select {
		case <-goOn:
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	})
	d.settle(1, 1)
	begun, sent := make(chan answered, 1), make(chan answered, 1)
	go func() { begun <- d.bad("begun") }()
	<-arrived
	go func() { sent <- d.bad("sent") }()
	<-arrived
	require.Eventually(t, func() bool {
		d.front.front.Told(time.Now(), bannedFor(time.Second))
		select {
		case got := <-sent:
			require.Equal(t, http.StatusBadGateway, got.status, "it may have run")
			require.Contains(t, got.body, chicoryrock.ReasonCrashPart.Sentence())
			return true
		default:
			return false
		}
	}, waitTime, 10*time.Millisecond, "its final answer comes at once, and not at the end of its time")
	requireHeldBack(t, d.bad("later"))
	close(goOn)
	got := <-begun
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got.body)
}

// A part that is banned while a request with it waits for a backend server holds for it.
func TestBanHoldsForWhatWaits(t *testing.T) {
	log := &lines{}
	d := deployWith(t, func(front *Front) { front.Log = event.New(zapcore.InfoLevel, log) })
	d.configure(1, "k1")
	b := d.add("i-1", "llm", stream(2, 0))
	d.settle(1, 1)
	answers := make(chan answered, 1)
	d.front.front.Gate.Change(func() {
		go func() { answers <- d.bad("waits") }()
		require.Eventually(t, func() bool { return log.tells(event.Accepted.Text, `"waits"`) }, waitTime, time.Millisecond)
		d.front.front.Told(time.Now(), bannedFor(time.Second))
	})
	requireHeldBack(t, <-answers)
	require.Zero(t, b.ran("waits"))
}

// A front that was not told of the crashes, as it was cut off or frozen, learns of the ban
// from any front that knows it.
func TestFrontThatMissedABanLearnsOfIt(t *testing.T) {
	// Longer ago than a process compares what it knows after its start.
	all := deployStarted(t, 3, time.Now().Add(-2*compareTime))
	all[0].configure(2, "k1")
	b := all[0].add("i-1", "llm", stream(2, 0))
	for _, d := range all {
		d.settle(2, 1)
	}
	all[0].front.front.Told(time.Now(), bannedFor(time.Second))
	for _, d := range all {
		require.Eventually(t, func() bool { return d.front.front.EvidenceDigest(time.Now()) != 0 }, waitTime, 10*time.Millisecond)
		requireHeldBack(t, d.bad("held"))
	}
	require.Zero(t, b.ran("held"))
}

// What bans rest on outlives all fronts.
func TestBanOutlivesAllFronts(t *testing.T) {
	first := deploy(t)
	first.configure(1, "k1")
	b := first.add("i-1", "llm", stream(2, 0))
	first.settle(1, 1)
	first.front.front.Told(time.Now(), bannedFor(time.Second))
	require.Eventually(t, func() bool {
		_, err := first.store.Get(t.Context(), bansKey)
		return err == nil
	}, waitTime, 10*time.Millisecond)
	first.stop()
	next := first.apart("front-a-2")
	next.settle(1, 1)
	require.Eventually(t, func() bool { return next.front.front.EvidenceDigest(time.Now()) != 0 }, waitTime, 10*time.Millisecond)
	requireHeldBack(t, next.bad("held"))
	require.Zero(t, b.ran("held"))
}

// apart starts another front that doesn't talk to the others.
func (d *deployment) apart(name string) *deployment {
	node := *d.node
	node.Name, node.Callers, node.Ready = name, host.Own(), host.Own()
	return d.startAnother(&node)
}

// Fronts that can't reach each other, each of which takes itself for the one that grants
// trials, let through one request together. Trials that were refused don't count: a ban that
// has had several pauses for up to a day.
func TestOneTrialForFrontsThatDoNotReachEachOther(t *testing.T) {
	const fronts = 4
	all := []*deployment{deploy(t)}
	all[0].configure(1, "k1")
	b := all[0].add("i-1", "llm", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for i := 1; i < fronts; i++ {
		all = append(all, all[0].apart(fmt.Sprint("front-a-", i+1)))
	}
	for _, d := range all {
		d.settle(1, 1)
		d.front.front.Told(time.Now(), bannedFor(time.Minute))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var group sync.WaitGroup
	for i, d := range all {
		for n := range 3 {
			group.Go(func() {
				request := d.request(ctx, http.MethodPost, "/short/x", fmt.Sprint("trial-", i, "-", n), "k1", "x")
				request.Header.Set(sample.Parts, "a1:200,"+crashPart+":100,c3:400")
				d.do(request)
			})
		}
	}
	group.Wait()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	require.Len(t, b.runs, 1)
	for _, d := range all {
		known, _ := d.front.front.Evidence(time.Now())
		require.LessOrEqual(t, len(known.Trials), 1)
	}
}
