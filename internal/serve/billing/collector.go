package billing

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// mostCollected is how many changes the store takes in one call.
	mostCollected = 32
	// collectPause is how long a collector waits for the changes of others: counts of a
	// window come within a few hundredths of a second of each other.
	collectPause = 150 * time.Millisecond
	// groupSize is for how many processes one of them collects: as many as fit into one
	// call, with some room for those that have a window more to write.
	groupSize = 28
)

// Collects returns which of the living processes, in order, writes another one's counts.
func Collects(alive []string, process string) string {
	at := slices.Index(alive, process)
	if at < 0 {
		return process
	}
	return alive[at-at%groupSize]
}

// Collector writes the changes of several processes with one call to the store. Set the
// exported fields before use.
type Collector struct {
	Store chicoryrock.TransactionalStore

	mutex sync.Mutex
	batch *batch // that takes more changes; nil for none
}

// batch is the changes that go to the store together.
type batch struct {
	changes []chicoryrock.Change
	done    chan struct{}
	err     error // once it is done
}

// Write has changes written with those of others, and returns when the store has taken
// them. Errors: the store's; that of the context.
func (c *Collector) Write(ctx context.Context, changes []chicoryrock.Change) error {
	b := c.add(changes)
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

func (c *Collector) add(changes []chicoryrock.Change) *batch {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.batch == nil || len(c.batch.changes)+len(changes) > mostCollected {
		begun := &batch{done: make(chan struct{})}
		c.batch = begun
		time.AfterFunc(collectPause, func() { c.commit(begun) })
	}
	c.batch.changes = append(c.batch.changes, changes...)
	return c.batch
}

func (c *Collector) commit(b *batch) {
	c.mutex.Lock()
	if c.batch == b {
		c.batch = nil
	}
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, b.err = c.Store.Commit(ctx, b.changes)
	close(b.done)
}
