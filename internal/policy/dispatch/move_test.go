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

// A stream leaves a straggler when another replica has room, and only then. The
// entry has seen two replicas of a pool of four.
func TestStreamLeavesStraggler(t *testing.T) {
	tests := []struct {
		name    string
		slow    time.Duration // between the tokens of its replica
		full    bool          // all others are full
		repeat  bool
		suspect bool
		moves   bool
	}{
		{name: "straggler", slow: 160 * time.Millisecond, repeat: true, moves: true},
		{name: "as fast as the others", slow: 40 * time.Millisecond, repeat: true},
		{name: "others are full", slow: 160 * time.Millisecond, repeat: true, full: true},
		{name: "may not be repeated", slow: 160 * time.Millisecond},
		{name: "suspect", slow: 160 * time.Millisecond, repeat: true, suspect: true},
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
		stream.Idempotent = test.repeat
		offer(t, d, stream)
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
			d.Observe(now, "p", own, chicoryrock.Observation{TokenInterval: test.slow})
		}
		now := start.Add(8 * 160 * time.Millisecond)
		for i := range replicas {
			if test.full && replicas[i].Name != own {
				d.UpdateLoad(now, "p", replicas[i].Name, chicoryrock.Load{Slots: 2, Running: 2})
			}
		}
		assert.Equal(t, test.moves, d.ShouldMigrate(now, stream, own), test.name)
	}
}
