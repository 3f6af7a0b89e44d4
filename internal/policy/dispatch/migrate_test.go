package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/baseline"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/policy/pick"
)

// A stream migrates off a straggler if another replica has room, and only then. The
// entry has observed two replicas of a pool of four.
func TestStreamMigratesOffStraggler(t *testing.T) {
	tests := []struct {
		name          string
		tokenInterval time.Duration // of the stream's replica; the other's is 40 ms
		full          bool          // all other replicas are full
		idempotent    bool
		suspect       bool
		migrates      bool
	}{
		{name: "straggler", tokenInterval: 160 * time.Millisecond, idempotent: true, migrates: true},
		{name: "as fast as the others", tokenInterval: 40 * time.Millisecond, idempotent: true},
		{name: "others are full", tokenInterval: 160 * time.Millisecond, idempotent: true, full: true},
		{name: "may not be repeated", tokenInterval: 160 * time.Millisecond},
		{name: "suspect", tokenInterval: 160 * time.Millisecond, idempotent: true, suspect: true},
	}
	for _, test := range tests {
		d := &dispatch.Dispatcher{
			NewQueue: func(string) chicoryrock.Queue { return &baseline.Queue{} },
			Picker:   &pick.Picker{Centre: "c", Region: "r", Random: rand.New(rand.NewPCG(1, 1))},
		}
		var replicas []chicoryrock.Replica
		for _, name := range []string{"one", "two", "three", "four"} {
			replicas = append(replicas, chicoryrock.Replica{Name: name, Pool: "p", Centre: "c", Region: "r", Slots: 2})
		}
		d.SetReplicas("p", replicas)
		stream := request("a", 2)
		stream.Idempotent = test.idempotent
		enqueue(t, d, stream)
		grants := d.Dispatch(start)
		require.Len(t, grants, 1, test.name)
		own := grants[0].Replica.Name
		stream.Suspect = test.suspect
		other := replicas[0].Name
		if other == own {
			other = replicas[1].Name
		}
		for step := range 8 {
			now := start.Add(time.Duration(step) * 160 * time.Millisecond)
			d.Observe(now, "p", other, chicoryrock.Observation{TokenInterval: 40 * time.Millisecond})
			d.Observe(now, "p", own, chicoryrock.Observation{TokenInterval: test.tokenInterval})
		}
		now := start.Add(8 * 160 * time.Millisecond)
		for i := range replicas {
			if test.full && replicas[i].Name != own {
				d.UpdateLoad(now, "p", replicas[i].Name, chicoryrock.Load{Slots: 2, Running: 2})
			}
		}
		assert.Equal(t, test.migrates, d.ShouldMigrate(now, stream, own), test.name)
	}
}
