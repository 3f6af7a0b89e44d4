package assembly

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// A stream may be slow for as long as its caller waits. One that only drips bytes ends
// with that time, and doesn't look whole.
func TestSlowStreamsLiveAndDrippingOnesEnd(t *testing.T) {
	const pieces = 8
	cases := []struct {
		name  string
		write func(w http.ResponseWriter, i int)
		most  int // writes, a twentieth of a second apart
		whole bool
	}{
		{"an event now and then", func(w http.ResponseWriter, i int) { _, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i) }, pieces, true},
		{"a byte now and then", func(w http.ResponseWriter, _ int) { _, _ = io.WriteString(w, "x") }, 1000, false},
		{"a line now and then", func(w http.ResponseWriter, _ int) { _, _ = io.WriteString(w, "data: x\n") }, 1000, false},
		{"a comment now and then", func(w http.ResponseWriter, _ int) { _, _ = io.WriteString(w, ": x\n\n") }, 1000, false},
		{"nothing any more", func(http.ResponseWriter, int) {}, 1000, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t)
			d.configure(1, "k1")
			d.add("i-1", "llm", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set(sample.Seal, "s")
				_, _ = io.WriteString(w, "id: 0\ndata: first\n\n")
				for i := 1; i <= c.most && r.Context().Err() == nil; i++ {
					c.write(w, i)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(50 * time.Millisecond)
				}
			})
			d.settle(1, 1)
			request := d.request(t.Context(), "POST", "/short/", "s1", "k1", "x")
			// Time enough for the sound stream, and a limit for the others.
			request.Header.Set(sample.Patience, "3000")
			got := d.do(request)
			require.Equal(t, http.StatusOK, got.status)
			require.Contains(t, got.body, "first")
			if !c.whole {
				require.Error(t, got.err, "an answer that ends early must not look complete")
				return
			}
			require.NoError(t, got.err)
			require.Contains(t, got.body, fmt.Sprintf("id: %d\n", pieces))
		})
	}
}

// A server that is only silent towards the store, or gone from it, goes on with what it
// runs: its streams are neither cut nor sent elsewhere.
func TestStreamsOutliveTheirServersEntry(t *testing.T) {
	cases := []struct {
		name   string
		vanish func(d *deployment, b *backend)
	}{
		{"the entry is deleted", func(d *deployment, b *backend) {
			_, err := d.store.Commit(t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + b.id, Delete: true, Unconditional: true}})
			require.NoError(t, err)
		}},
		{"the server leaves", func(d *deployment, b *backend) { d.enter(b, "draining") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t)
			d.configure(1, "k1")
			begun, goOn := make(chan struct{}), make(chan struct{})
			answer := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set(sample.Seal, "s")
				_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
				_ = http.NewResponseController(w).Flush()
				close(begun)
				<-goOn
				_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
			}
			b := d.add("i-1", "llm", answer)
			d.settle(1, 1)
			answers := make(chan answered, 1)
			go func() { answers <- d.send("POST", "/long/", "e1", "k1", "x") }()
			<-begun
			other := d.add("i-2", "llm", stream(2, 0))
			c.vanish(d, b)
			require.Eventually(t, func() bool { return !d.front.front.Gate.Address("llm", "i-1").IsValid() }, waitTime, time.Millisecond)
			close(goOn)
			got := <-answers
			require.NoError(t, got.err)
			require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got.body)
			require.Equal(t, 1, b.ran("e1"))
			require.Zero(t, other.ran("e1"))
		})
	}
}

// An answer with neither a length nor chunks ends with its connection. Before the first
// event and within one it has broken off; after one nothing tells a break from the end.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
		whole      bool
	}{
		{"before the first event", "", http.StatusBadGateway, true},
		{"after an event", "id: 1\ndata: a\n\n", http.StatusOK, true},
		{"within the first event", "id: 1\nda", http.StatusBadGateway, true},
		{"within a later event", "id: 1\ndata: a\n\nid: 2\nda", http.StatusOK, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t)
			d.configure(1, "k1")
			d.add("i-1", "llm", func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: s\r\nConnection: close\r\n\r\n%s",
					sample.ID, r.Header.Get(sample.ID), sample.Seal, c.body)
			})
			d.settle(1, 1)
			got := d.send("POST", "/short/", "u1", "k1", "x")
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.whole, got.err == nil)
			if c.status == http.StatusOK {
				require.Contains(t, got.body, "data: a\n\n")
				require.NotContains(t, got.body, "id: 2")
			}
		})
	}
}
