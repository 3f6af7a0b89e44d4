package publish

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

func workspaces(shares ...float64) *object.Set {
	set := &object.Set{}
	for i, share := range shares {
		set.Workspaces = append(set.Workspaces, object.Workspace{Name: fmt.Sprintf("w%d", i), Share: share})
	}
	return set
}

func mustPublish(t *testing.T, store *fakeStore, id string, set *object.Set) Head {
	t.Helper()
	head, err := (&Publisher{Store: store}).Publish(background, clock, Publication{ID: id, Author: id}, set)
	require.NoError(t, err)
	return head
}

// expectClash publishes mine with base revision 1 after theirs has become revision 2,
// and expects a conflict over the wanted objects.
func expectClash(t *testing.T, base, mine, theirs *object.Set, want ...string) {
	t.Helper()
	store := newFakeStore()
	mustPublish(t, store, "first", base)
	mustPublish(t, store, "theirs", theirs)
	_, err := (&Publisher{Store: store}).Publish(background, clock, Publication{ID: "mine", Base: 1}, mine)
	require.ErrorIs(t, err, chicoryrock.ErrConflict)
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "theirs", conflict.Head.ID)
	var names []string
	for _, ref := range conflict.Clashes {
		names = append(names, ref.String())
	}
	require.Equal(t, want, names)
}

func TestClashes(t *testing.T) {
	expectClash(t, workspaces(1, 1), workspaces(2, 1), workspaces(3, 1), "workspace/w0")
	expectClash(t, workspaces(1, 1), workspaces(2, 1), workspaces(1, 3))
	expectClash(t, workspaces(1, 1), workspaces(2, 3), workspaces(2, 4), "workspace/w1")
	expectClash(t, workspaces(1, 1), workspaces(1), workspaces(1, 2), "workspace/w1")
	expectClash(t, workspaces(1), workspaces(1, 2), workspaces(1, 3), "workspace/w1")
}

func TestPublishFromUnknownRevision(t *testing.T) {
	store := newFakeStore()
	mustPublish(t, store, "first", workspaces(1))
	_, err := (&Publisher{Store: store}).Publish(background, clock, Publication{ID: "x", Base: 2}, workspaces(2))
	require.ErrorIs(t, err, chicoryrock.ErrStale)
}

func TestPublishUnchangedSet(t *testing.T) {
	store := newFakeStore()
	first := mustPublish(t, store, "first", workspaces(1, 2))
	require.Equal(t, first, mustPublish(t, store, "second", workspaces(1, 2)))
}

func TestPublishRejectsFaults(t *testing.T) {
	_, err := (&Publisher{Store: newFakeStore()}).Publish(background, clock, Publication{ID: "x"}, workspaces(-1))
	require.ErrorIs(t, err, chicoryrock.ErrInvalid)
	_, err = (&Publisher{Store: newFakeStore()}).Publish(background, clock, Publication{}, workspaces(1))
	require.ErrorIs(t, err, chicoryrock.ErrInvalid)
}

// TestWithdrawnKeyStaysWithdrawn tries to restore a withdrawn key in every way.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	store := newFakeStore()
	publisher := &Publisher{Store: store}
	set := workspaces(1)
	set.Keys = []object.Key{{Name: "desk", Workspace: "w0", Digest: object.Digest("invented")}}
	mustPublish(t, store, "first", set)
	head, err := publisher.Withdraw(background, clock, Publication{ID: "away"}, "desk")
	require.NoError(t, err)
	require.Equal(t, uint64(2), head.Revision)

	again, err := publisher.Withdraw(background, clock, Publication{ID: "twice"}, "desk")
	require.NoError(t, err)
	require.Equal(t, head, again)
	_, err = publisher.Withdraw(background, clock, Publication{ID: "other"}, "nobody")
	require.ErrorIs(t, err, chicoryrock.ErrNotFound)
	_, err = publisher.Publish(background, clock, Publication{ID: "back"}, set)
	require.ErrorIs(t, err, chicoryrock.ErrInvalid)
	mustPublish(t, store, "third", workspaces(2))
	_, stillWithdrawn, err := publisher.Rollback(background, clock, Publication{ID: "rollback"}, 1)
	require.NoError(t, err)
	require.Equal(t, []string{"desk"}, stillWithdrawn)
	current, _, err := Read(background, store, head)
	require.NoError(t, err)
	require.Empty(t, current.Keys)
	require.Len(t, current.Withdrawn, 1)
	require.True(t, object.NewTable(1, current).Withdrawn(object.Digest("invented")))
}

// expectDamageRejected damages the store and expects that both a reader and a
// publisher return an error.
func expectDamageRejected(t *testing.T, want error, damage func(store *fakeStore, head Head)) {
	t.Helper()
	store := newFakeStore()
	mustPublish(t, store, "first", workspaces(1))
	head := mustPublish(t, store, "second", workspaces(2))
	damage(store, head)
	_, _, err := Read(background, store, head)
	require.ErrorIs(t, err, want)
	_, err = (&Publisher{Store: store}).Publish(background, clock, Publication{ID: "x", Base: 2}, workspaces(3))
	require.Error(t, err)
}

func TestDamagedStoreRejected(t *testing.T) {
	set := func(store *fakeStore, key, value string) {
		store.Entries[key] = chicoryrock.KeyValue{Key: key, Value: []byte(value), Revision: store.Entries[key].Revision}
	}
	expectDamageRejected(t, chicoryrock.ErrInvalid, func(store *fakeStore, _ Head) { set(store, HeadKey, "{") })
	expectDamageRejected(t, chicoryrock.ErrInvalid, func(store *fakeStore, _ Head) { set(store, HeadKey, "null") })
	expectDamageRejected(t, chicoryrock.ErrInvalid, func(store *fakeStore, _ Head) {
		set(store, HeadKey, `{"revision":3,"id":"x","prior":"y","chunks":["../head"]}`)
	})
	expectDamageRejected(t, chicoryrock.ErrInvalid, func(store *fakeStore, head Head) { set(store, ChunkPrefix+head.Chunks[0], "{}") })
	expectDamageRejected(t, chicoryrock.ErrInvalid, func(store *fakeStore, head Head) { delete(store.Entries, ChunkPrefix+head.Chunks[0]) })
	expectDamageRejected(t, chicoryrock.ErrStale, func(store *fakeStore, _ Head) { delete(store.Entries, HeadKey) })
	expectDamageRejected(t, chicoryrock.ErrStale, func(store *fakeStore, head Head) {
		set(store, HeadKey, string(store.Entries[ChunkPrefix+head.Prior].Value))
	})
}

// TestReadFork reads from a store that answers with another publication of the
// current revision, as after a lost write that another one replaced.
func TestReadFork(t *testing.T) {
	store := newFakeStore()
	head := mustPublish(t, store, "first", workspaces(1))
	head.ID = "fork"
	_, _, err := Read(background, store, head)
	require.ErrorIs(t, err, chicoryrock.ErrStale)
}

func TestDeltaRejections(t *testing.T) {
	store := newFakeStore()
	first := mustPublish(t, store, "first", workspaces(1, 1))
	second := mustPublish(t, store, "second", workspaces(2))
	delta, err := NewDelta(first, workspaces(1, 1), second, workspaces(2))
	require.NoError(t, err)
	require.Equal(t, []object.Ref{{Kind: object.KindWorkspace, Name: "w1"}}, delta.Drop)

	_, _, err = delta.Apply(second, workspaces(2))
	require.ErrorIs(t, err, chicoryrock.ErrStale)
	_, _, err = delta.Apply(Head{}, workspaces())
	require.ErrorIs(t, err, chicoryrock.ErrConflict)
	_, _, err = delta.Apply(first, workspaces(1, 1, 1))
	require.ErrorIs(t, err, chicoryrock.ErrInvalid)
	_, err = NewDelta(second, workspaces(2), first, workspaces(1, 1))
	require.ErrorIs(t, err, chicoryrock.ErrStale)

	require.NoError(t, Verify(second, workspaces(2)))
	require.ErrorIs(t, Verify(second, workspaces(1)), chicoryrock.ErrInvalid)
	content, err := json.Marshal(delta)
	require.NoError(t, err)
	var received Delta
	require.NoError(t, json.Unmarshal(content, &received))
	set, _, err := received.Apply(first, workspaces(1, 1))
	require.NoError(t, err)
	require.Equal(t, workspaces(2), set)
}

func TestDiff(t *testing.T) {
	old := &object.Set{Classes: []object.Class{{Name: "c", Tier: 2, First: 400e6}}, Pools: []object.Pool{{Name: "p"}}}
	changed := &object.Set{Classes: []object.Class{{Name: "c", Tier: 2, First: 1500e6}}, Workspaces: []object.Workspace{{Name: "w"}}}
	require.Equal(t, []Change{
		{Ref: object.Ref{Kind: object.KindWorkspace, Name: "w"}, Action: Added},
		{Ref: object.Ref{Kind: object.KindClass, Name: "c"}, Action: Changed, Fields: []Field{{Name: "first", Old: "400ms", New: "1.5s"}}},
		{Ref: object.Ref{Kind: object.KindPool, Name: "p"}, Action: Removed},
	}, Diff(old, changed))
}

// TestSmallChangeRewritesOneChunk changes one object of many and expects that one
// chunk differs, and that no chunk exceeds the target size by more than one object.
func TestSmallChangeRewritesOneChunk(t *testing.T) {
	shares := make([]float64, 2000)
	before, err := splitChunks(workspaces(shares...))
	require.NoError(t, err)
	shares[700] = 5
	after, err := splitChunks(workspaces(shares...))
	require.NoError(t, err)
	require.Greater(t, len(before), 2)
	oldDigests := map[string]bool{}
	for _, digest := range digestsOf(before) {
		oldDigests[digest] = true
	}
	rewritten := 0
	for i, digest := range digestsOf(after) {
		require.LessOrEqual(t, len(after[i]), 2*targetChunkBytes)
		if !oldDigests[digest] {
			rewritten++
		}
	}
	require.Equal(t, 1, rewritten)
}

func TestAffectedWorkspaces(t *testing.T) {
	from := workspaces(1, 1, 1)
	from.Routes = []object.Route{
		{Name: "open", Model: "garland", Class: "c", Pools: []string{"p"}},
		{Name: "own", Model: "garland", Class: "d", Pools: []string{"p"}, Workspaces: []string{"w1"}},
	}
	expect := func(kind object.Kind, name string, want ...string) {
		t.Helper()
		changes := []Change{{Ref: object.Ref{Kind: kind, Name: name}}}
		require.Equal(t, want, AffectedWorkspaces(from, workspaces(1), changes)[0])
	}
	expect(object.KindRoute, "open", "w0", "w2")
	expect(object.KindRoute, "own", "w1")
	expect(object.KindClass, "d", "w1")
	expect(object.KindPool, "p", "w0", "w1", "w2")
	expect(object.KindWorkspace, "w2", "w2")
}
