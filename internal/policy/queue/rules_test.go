package queue_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{Seed: 4, Steps: 150}) }

// TestQueueKeepsTheRules runs random traffic and checks each step with the oracle.
func TestQueueKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			queue:       &queue.Queue{Limit: limit, Floors: floors, Shares: map[string]float64{"a": 3}},
			now:         time.Unix(1_000_000, 0),
			owed:        map[string]float64{},
			outOfOrder:  map[string]float64{},
			floodClass:  rapid.SampledFrom([]string{"top", "mid", "none", "low", "last"}).Draw(t, "flood"),
			maxTargetMs: rapid.SampledFrom([]int{50, 1000, 60_000}).Draw(t, "longest target"),
			slots:       rapid.IntRange(1, 20).Draw(t, "slots"),
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": o.pushRandom, "push again": o.pushRandom, "burst": o.burst,
			"pop": o.pop, "pop again": o.pop, "finish": o.finish, "finish again": o.finish,
			"churn": o.churn, "churn again": o.churn, "return": o.requeue, "remove": o.remove, "pass": o.passTime, "": o.checkLength,
		})
	})
}
