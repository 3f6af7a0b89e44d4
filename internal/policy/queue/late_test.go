package queue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
)

// TestLongPromptsAreNotLate serves ten requests with short prompts a second, each for
// a second, and then pushes requests whose prompts are a thousand times as long but
// that run no longer. Twenty of them are two seconds of work and fit into a target of
// four seconds; a hundred do not. A queue that estimated work by tokens would refuse
// nearly all.
func TestLongPromptsAreNotLate(t *testing.T) {
	const interval = 100 * time.Millisecond
	q := &queue.Queue{}
	now := start
	var running []*chicoryrock.Request
	for id := range 200 {
		short := newRequest(id, "w", "short", 1, time.Hour)
		short.PromptTokens = 10
		q.Push(now, short)
		if id < 2 {
			continue
		}
		next, _ := q.Pop(now)
		running = append(running, next)
		if len(running) > 10 {
			q.Charge(now, running[0], 10)
			q.Finish(now, running[0])
			running = running[1:]
		}
		now = now.Add(interval)
	}
	admitted := 0
	for id := range 100 {
		long := newRequest(1000+id, "w", "long", 2, 0)
		long.PromptTokens = 10_000
		long.Arrived = now
		long.Deadline = now.Add(4 * time.Second)
		if _, reason := q.Push(now, long); reason == chicoryrock.ReasonNone {
			admitted++
		}
	}
	assert.GreaterOrEqual(t, admitted, 15)
	assert.Less(t, admitted, 60)
}
