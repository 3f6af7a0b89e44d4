package feed

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

// set returns a configuration with so many workspaces.
func set(workspaces int) *object.Set {
	made := &object.Set{
		Classes: []object.Class{{Name: "questions", Tier: 1, First: time.Second, Token: time.Second, Goal: 0.9}},
		Routes:  []object.Route{{Name: "questions", Model: "garland", Class: "questions", Pools: []string{"garland"}}},
		Pools:   []object.Pool{{Name: "garland", Model: "garland", Slots: 4, Max: 4}},
	}
	for i := range workspaces {
		made.Workspaces = append(made.Workspaces, object.Workspace{Name: "workspace-" + string(rune('a'+i))})
	}
	return made
}

func mustPublish(t *testing.T, store *memory.Store, id string, workspaces int) {
	t.Helper()
	publisher := publish.Publisher{Store: store}
	_, err := publisher.Publish(context.Background(), time.Unix(0, 0), publish.Publication{ID: id}, set(workspaces))
	require.NoError(t, err)
}

// newFeed returns a feed as Run sets it up, for steps by hand.
func newFeed(store chicoryrock.Store, home bool, sources ...netip.AddrPort) *Feed {
	feed := &Feed{
		Store:   store,
		Holder:  &object.Holder{},
		Log:     event.NewNop(),
		Home:    home,
		Reader:  func() bool { return store != nil },
		Sources: func() []netip.AddrPort { return sources },
		peers:   make(map[netip.AddrPort]*peer.Client),
	}
	feed.reader.Store = store
	return feed
}

// serve lets a feed answer peers and returns its address.
func serve(t *testing.T, feed *Feed) netip.AddrPort {
	t.Helper()
	server := &peer.Server{
		Listen:   host.Loopback(),
		Log:      event.NewNop(),
		Handlers: map[string]peer.Handler{MethodWatch: peer.Typed(feed.HandleWatch)},
	}
	return run(t, server)
}

// run runs a server until the test ends, and returns its address.
func run(t *testing.T, server *peer.Server) netip.AddrPort {
	t.Helper()
	address, err := server.Open()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return address
}

func expectRevision(t *testing.T, feed *Feed, want uint64) {
	t.Helper()
	require.Equal(t, want, feed.Holder.Revision())
}

// later is a time at which all that was heard by now has grown too old.
func later() time.Time { return time.Now().Add(StaleLimit + time.Second) }

func TestFeedThroughPeers(t *testing.T) {
	store := &memory.Store{}
	mustPublish(t, store, "one", 1)
	reader := newFeed(store, true)
	require.NoError(t, reader.step(t.Context()))
	follower := newFeed(nil, false, serve(t, reader))
	require.NoError(t, follower.step(t.Context()))
	expectRevision(t, follower, 1)

	mustPublish(t, store, "two", 2)
	require.NoError(t, reader.step(t.Context()))
	require.NoError(t, follower.step(t.Context()))
	expectRevision(t, follower, 2)
	require.Len(t, follower.Holder.Table().Set.Workspaces, 2)
	require.Len(t, follower.deltas, 1, "a change came, not the whole set")
}

// TestOutageOrCut tells an outage of the store, in which serving on is safe, from
// being cut off from a store that may still accept a withdrawal.
func TestOutageOrCut(t *testing.T) {
	store := &memory.Store{}
	mustPublish(t, store, "one", 1)
	beside := newFeed(store, true)
	require.NoError(t, beside.step(t.Context()))
	address := serve(t, beside)
	linked := newFeed(nil, false, address)
	require.NoError(t, linked.step(t.Context()))
	require.True(t, linked.Safe(time.Now()))
	require.False(t, linked.Safe(later()), "nothing heard for too long: cut off")

	store.Lock()
	store.Down = true
	store.Unlock()
	require.ErrorIs(t, beside.step(t.Context()), chicoryrock.ErrUnavailable)
	require.NoError(t, linked.step(t.Context()))
	beside.mu.Lock()
	beside.confirmed = time.Now().Add(-time.Hour)
	beside.mu.Unlock()
	linked.mu.Lock()
	linked.confirmed = time.Now().Add(-time.Hour)
	linked.mu.Unlock()
	require.True(t, beside.Safe(time.Now()), "beside the store it is an outage")
	require.True(t, linked.Safe(time.Now()), "and its peers hear so")
	require.False(t, linked.Safe(later()), "unless they are cut off as well")

	far := newFeed(store, false)
	far.set, far.confirmed = set(1), time.Now().Add(-time.Hour)
	require.Error(t, far.step(t.Context()))
	require.False(t, far.Safe(time.Now()), "out of reach of the store is no outage when far from it")
}

// TestNeverBack takes neither an older head from the store nor from a peer.
func TestNeverBack(t *testing.T) {
	store := &memory.Store{}
	mustPublish(t, store, "one", 1)
	old := store.Entries[publish.HeadKey]
	behind := newFeed(store, true)
	require.NoError(t, behind.step(t.Context()))
	mustPublish(t, store, "two", 2)
	ahead := newFeed(store, true, serve(t, behind))
	require.NoError(t, ahead.step(t.Context()))
	expectRevision(t, ahead, 2)

	store.Lock()
	store.Revision++
	old.Revision = store.Revision
	store.Entries[publish.HeadKey] = old
	store.Unlock()
	require.ErrorIs(t, ahead.readStore(t.Context()), chicoryrock.ErrStale)
	require.NoError(t, ahead.askPeers(t.Context()))
	expectRevision(t, ahead, 2)
}

// TestForgedSet takes no set from a peer that is not the published one.
func TestForgedSet(t *testing.T) {
	store := &memory.Store{}
	mustPublish(t, store, "one", 1)
	forger := newFeed(store, true)
	require.NoError(t, forger.step(t.Context()))
	forger.mu.Lock()
	forger.set = set(3)
	forger.mu.Unlock()
	follower := newFeed(nil, false, serve(t, forger))
	require.ErrorIs(t, follower.step(t.Context()), chicoryrock.ErrInvalid)
	expectRevision(t, follower, 0)
}

// Guards against a peer's answer that states no ages and passes for one of just now.
func TestReplyWithoutAgesConfirmsNothing(t *testing.T) {
	server := &peer.Server{
		Listen:   host.Loopback(),
		Log:      event.NewNop(),
		Handlers: map[string]peer.Handler{MethodWatch: func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil }},
	}
	follower := newFeed(nil, false, run(t, server))
	follower.set = set(1)
	require.NoError(t, follower.step(t.Context()))
	require.False(t, follower.Safe(time.Now()))
}
