package measure

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/standin/loader"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// rounds is how many keys are withdrawn.
	rounds = 5
	// askInterval is the time between the calls that come with a key, at each entry.
	askInterval = 10 * time.Millisecond
	// askSpan bounds the calls of one round.
	askSpan = 12 * time.Second
	// warm is how many calls each entry must have served before the withdrawal.
	warm = 5
)

// caller keeps using one key at one entry.
type caller struct {
	mutex   sync.Mutex
	served  int
	last    time.Time // when a call was last served
	refused bool
	broken  time.Time // when the open stream ended
}

// measureWithdraw takes the time from the start of publishing a set without a
// key to the last call served with it, and to the end of the last stream.
func measureWithdraw(ctx context.Context, m *Measure) (*Table, error) {
	table := &Table{
		Head: []string{"round", "entries", "publishing took", "last call served after", "last stream ended after"},
		Note: "times from the start of publishing; each entry is asked every 10 ms and has one stream open",
	}
	set := newSet(m.Workspaces)
	for round := range rounds {
		if err := m.withdraw(ctx, set, round, table); err != nil {
			return nil, err
		}
	}
	return table, nil
}

// withdraw takes the second key of workspace number round out of the set.
func (m *Measure) withdraw(ctx context.Context, set *object.Set, round int, table *Table) error {
	round, entries := round+1, m.Fleet.of(member.RoleEntry)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := make([]caller, len(entries))
	var group sync.WaitGroup
	for i := range entries {
		for _, load := range callers[i].loads(&entries[i], round) {
			group.Go(func() { _, _ = load.Run(ctx) })
		}
	}
	if err := awaitAll(ctx, callers, func(c *caller) bool { return c.served >= warm }); err != nil {
		return err
	}
	name := fmt.Sprintf("%s-key-1", workspaceName(round))
	set.Keys = slices.DeleteFunc(set.Keys, func(key object.Key) bool { return key.Name == name })
	begin := time.Now()
	if _, err := m.publish(ctx, set); err != nil {
		return err
	}
	published := time.Since(begin)
	if err := awaitAll(ctx, callers, func(c *caller) bool { return c.refused && !c.broken.IsZero() }); err != nil {
		return err
	}
	var last, broken time.Duration
	for i := range callers {
		last = max(last, callers[i].last.Sub(begin))
		broken = max(broken, callers[i].broken.Sub(begin))
	}
	table.add(round, len(entries), published, last, broken)
	cancel()
	group.Wait()
	return nil
}

// loads are the calls of one caller: short ones all the time, and one stream.
func (c *caller) loads(entry *Process, round int) []*loader.Loader {
	keys := map[string]string{keyName: secretOf(round, 1)}
	call := loader.Call{Key: keyName, Model: modelName(0), Prompt: promptTokens, Output: 1, Stream: true}
	long := call
	long.Output = endless
	name := fmt.Sprintf("%s-%d", entry.Name, round)
	return []*loader.Loader{
		{Name: name + "-short", Calls: loader.Constant(call, askInterval, int(askSpan/askInterval)), Keys: keys, Target: entry.Listen, Seen: c.answered},
		{Name: name + "-long", Calls: []loader.Call{long}, Keys: keys, Target: entry.Listen, Seen: c.ended},
	}
}

func (c *caller) answered(outcome loader.Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch outcome.Status {
	case http.StatusOK:
		c.served++
		c.last = time.Now()
	case http.StatusUnauthorized:
		c.refused = true
	}
}

func (c *caller) ended(loader.Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.broken = time.Now()
}

func awaitAll(ctx context.Context, callers []caller, done func(*caller) bool) error {
	return await(ctx, askInterval, func() (bool, error) {
		for i := range callers {
			callers[i].mutex.Lock()
			over := done(&callers[i])
			callers[i].mutex.Unlock()
			if !over {
				return false, nil
			}
		}
		return true, nil
	})
}
