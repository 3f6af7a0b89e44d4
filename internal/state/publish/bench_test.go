package publish

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// syntheticSet returns a set of count workspaces with two keys each, 19 models with
// a class and a pool each, and a route of its own for every tenth workspace.
func syntheticSet(count int) *object.Set {
	const models = 19
	set := &object.Set{}
	for i := range models {
		name := fmt.Sprintf("model-%d", i)
		set.Classes = append(set.Classes, object.Class{Name: name, Tier: 1 + i%7, First: 4e8, Token: 5e7, Goal: 0.95, File: "classes.yaml"})
		set.Pools = append(set.Pools, object.Pool{Name: name, Model: name, Slots: 148, Max: 40, Start: 9e10, Cost: 7, File: "pools.yaml"})
		set.Routes = append(set.Routes, object.Route{Name: name, Model: name, Class: name, Pools: []string{name}, Repeat: true, File: "routes.yaml"})
	}
	for i := range count {
		name := fmt.Sprintf("workspace-%d", i)
		file := fmt.Sprintf("%s.yaml", name)
		set.Workspaces = append(set.Workspaces, object.Workspace{Name: name, Share: 1, Rate: 1000, Burst: 9000, File: file})
		for j := range 2 {
			key := fmt.Sprintf("%s-%d", name, j)
			set.Keys = append(set.Keys, object.Key{Name: key, Workspace: name, Digest: object.Digest(key), File: file})
		}
		if i%10 == 0 {
			model := fmt.Sprintf("model-%d", i%models)
			set.Routes = append(set.Routes, object.Route{Name: name, Model: model, Class: model, Pools: []string{model}, Workspaces: []string{name}, File: file})
		}
	}
	return set
}

// BenchmarkDelta measures the cost of one change to a process: the encoded size of
// the delta and of the whole set, and the time to apply and verify the delta.
func BenchmarkDelta(b *testing.B) {
	for _, count := range []int{10, 100, 570} {
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			store := newFakeStore()
			publisher := &Publisher{Store: store}
			old := syntheticSet(count)
			first, err := publisher.Publish(background, clock, Publication{ID: "first"}, old)
			require.NoError(b, err)
			next := old.Sorted()
			next.Workspaces[5].Rate = 2000
			second, err := publisher.Publish(background, clock, Publication{ID: "second"}, next)
			require.NoError(b, err)
			delta, err := NewDelta(first, old, second, next)
			require.NoError(b, err)
			encodedDelta, err := json.Marshal(delta)
			require.NoError(b, err)
			encodedSet, err := json.Marshal(old)
			require.NoError(b, err)
			for b.Loop() {
				if _, _, err := delta.Apply(first, old); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encodedDelta)), "delta-B")
			b.ReportMetric(float64(len(encodedSet)), "set-B")
			b.ReportMetric(float64(len(second.Chunks)), "chunks")
		})
	}
}

// BenchmarkRead measures the read at process start: all chunks, verified and checked.
func BenchmarkRead(b *testing.B) {
	store := newFakeStore()
	_, err := (&Publisher{Store: store}).Publish(background, clock, Publication{ID: "first"}, syntheticSet(570))
	require.NoError(b, err)
	for b.Loop() {
		if _, _, err := Read(background, store, Head{}); err != nil {
			b.Fatal(err)
		}
	}
}
