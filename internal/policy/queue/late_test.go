package queue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
)

// TestLongPromptsAreNotLate works off ten short questions a second, each for a
// second, and offers sheets whose prompts are a thousand times as long and which run
// no longer. Twenty of them are two seconds of work: they fit into four, and a
// hundred of them do not. A queue that counts their tokens refuses nearly all.
func TestLongPromptsAreNotLate(t *testing.T) {
	const interval = 100 * time.Millisecond
	q := &queue.Queue{}
	now := start
	var running []*chicoryrock.Request
	for id := range 200 {
		question := newRequest(id, "w", "questions", 1, time.Hour)
		question.PromptTokens = 10
		q.Push(now, question)
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
	taken := 0
	for id := range 100 {
		sheet := newRequest(1000+id, "w", "sheets", 2, 0)
		sheet.PromptTokens = 10_000
		sheet.Arrived = now
		sheet.Deadline = now.Add(4 * time.Second)
		if _, reason := q.Push(now, sheet); reason == chicoryrock.ReasonNone {
			taken++
		}
	}
	assert.GreaterOrEqual(t, taken, 15)
	assert.Less(t, taken, 60)
}
