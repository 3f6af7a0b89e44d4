package billing

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
)

// countingJournal counts the calls that write, and may refuse them.
type countingJournal struct {
	memory.Store

	mutex sync.Mutex
	calls []int // changes of each
	down  bool
}

func (j *countingJournal) Commit(ctx context.Context, changes []chicoryrock.Change) (uint64, error) {
	j.mutex.Lock()
	j.calls = append(j.calls, len(changes))
	down := j.down
	j.mutex.Unlock()
	if down {
		return 0, chicoryrock.ErrUnavailable
	}
	return j.Store.Commit(ctx, changes)
}

// The counts of a whole fleet go to the store with as many calls as there are groups of
// processes, each within what the store takes at once.
func TestCountsOfManyAreWrittenTogether(t *testing.T) {
	const processes = 103
	var alive []string
	for i := range processes {
		alive = append(alive, fmt.Sprintf("front-%03d", i))
	}
	journal := &countingJournal{}
	collectors := make(map[string]*Collector)
	for _, process := range alive {
		by := Collects(alive, process)
		require.Equal(t, by, Collects(alive, by), "who collects writes its own counts too")
		if collectors[by] == nil {
			collectors[by] = &Collector{Store: journal}
		}
	}
	var group sync.WaitGroup
	for _, process := range alive {
		group.Go(func() {
			change := chicoryrock.Change{Key: "bill/count/1/" + process, Value: []byte("{}"), Unconditional: true}
			if err := collectors[Collects(alive, process)].Write(t.Context(), []chicoryrock.Change{change}); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	entries, _, err := journal.ListWithRevision(t.Context(), "bill/count/1/")
	require.NoError(t, err)
	require.Len(t, entries, processes)
	// A process in a hurry may be seen to come too late for the others' call.
	require.LessOrEqual(t, len(journal.calls), 2*len(collectors))
	for _, changes := range journal.calls {
		require.LessOrEqual(t, changes, mostCollected)
	}
}

// A collector says truthfully that it has not written: its processes try otherwise.
func TestCollectorTellsThatTheStoreTookNothing(t *testing.T) {
	collector := &Collector{Store: &countingJournal{down: true}}
	err := collector.Write(t.Context(), []chicoryrock.Change{{Key: "a", Unconditional: true}})
	require.ErrorIs(t, err, chicoryrock.ErrUnavailable)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, collector.Write(ended, []chicoryrock.Change{{Key: "a", Unconditional: true}}), context.Canceled)
}

func TestProcessThatIsNotKnownCollectsForItself(t *testing.T) {
	require.Equal(t, "b", Collects([]string{"a"}, "b"))
	require.Equal(t, "a", Collects([]string{"a", "b"}, "b"))
}
