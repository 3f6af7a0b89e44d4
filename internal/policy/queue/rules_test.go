package queue_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
)

// TestMain fixes the seed, so that every run tries the same cases, and makes the
// runs long enough to fill the queue. RAPID_SEED and RAPID_STEPS try others.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("RAPID_STEPS") == "" {
		_ = flag.Set("rapid.steps", "150")
	}
	if os.Getenv("RAPID_SEED") == "" {
		_ = flag.Set("rapid.seed", "4")
	}
	os.Exit(m.Run())
}

// TestQueueKeepsTheRules plays random traffic against the oracle.
func TestQueueKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			queue:  &queue.Queue{Limit: limit, Floors: floors, Shares: map[string]float64{"a": 3}},
			now:    time.Unix(1_000_000, 0),
			owed:   map[string]float64{},
			extra:  map[string]float64{},
			flood:  rapid.SampledFrom([]string{"top", "mid", "none", "low", "last"}).Draw(t, "flood"),
			target: rapid.SampledFrom([]int{50, 1000, 60_000}).Draw(t, "longest target"),
			slots:  rapid.IntRange(1, 20).Draw(t, "slots"),
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": o.pushOne, "push again": o.pushOne, "burst": o.burst,
			"pop": o.pop, "pop again": o.pop, "finish": o.finish, "finish again": o.finish,
			"churn": o.churn, "churn again": o.churn, "return": o.putBack, "remove": o.remove, "pass": o.pass, "": o.check,
		})
	})
}
