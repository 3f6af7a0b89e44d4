// Package duty runs what processes share through the platform's store: the loops
// and timers round the cores below internal/state.
package duty

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/state/claim"
)

const (
	// claimWindow is how long a claim waits for others that share its write.
	claimWindow = 4 * time.Millisecond
	// claimTimeout bounds one group's reading and writing, and with it the wait of
	// a call during an outage of the store.
	claimTimeout = 2 * time.Second
	// parkInterval is the pause before notes that the store did not take are tried
	// again.
	parkInterval = time.Second
	// maxGroup is how many operations share a write.
	maxGroup = 256
	// maxParked bounds the notes kept for a store that is out. A note that is lost
	// leaves its claim open, which after claim.RunLimit reads as unknown.
	maxParked = 1 << 16
)

// Claims groups the claims of this process's calls by shard, so that many of them
// share one write. Set the exported fields, then call Run.
type Claims struct {
	Store chicoryrock.Store
	Log   *event.Log

	mu      sync.Mutex
	queues  map[string][]waiting // by shard; present while a worker serves it
	parked  []claim.Op
	workers sync.WaitGroup
}

// waiting is one operation. Nobody waits for a note: its answer is nil.
type waiting struct {
	op     claim.Op
	answer chan claimAnswer
}

type claimAnswer struct {
	result claim.Result
	err    error
}

// Take claims a key for a call, which may run only on claim.OutcomeOK. Errors:
// those of claim.Commit, and the context's; after any of them the call must not
// run, and what may have been claimed is given up in the background.
func (c *Claims) Take(ctx context.Context, op claim.Op) (claim.Result, error) {
	answer := make(chan claimAnswer, 1)
	c.add(waiting{op: op, answer: answer})
	select {
	case got := <-answer:
		return got.result, got.err
	case <-ctx.Done():
		go c.abandon(op, answer)
		return claim.Result{}, ctx.Err()
	}
}

// abandon gives up what a call claimed after its caller had gone.
func (c *Claims) abandon(op claim.Op, answer chan claimAnswer) {
	if got := <-answer; got.err == nil && got.result.Outcome == claim.OutcomeOK {
		c.Note(release(op))
	}
}

// Note writes in the background how a claimed call ended. It is tried again until
// the store takes it.
func (c *Claims) Note(op claim.Op) { c.add(waiting{op: op}) }

// Run tries notes that the store did not take again until the context ends, then
// writes what is left as far as the store answers.
func (c *Claims) Run(ctx context.Context) error {
	ticker := time.NewTicker(parkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		c.unpark()
	}
	c.workers.Wait()
	return nil
}

func (c *Claims) unpark() {
	c.mu.Lock()
	parked := c.parked
	c.parked = nil
	c.mu.Unlock()
	for _, op := range parked {
		c.Note(op)
	}
}

func (c *Claims) add(one waiting) {
	shard := claim.ShardKey(one.op.Key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queues == nil {
		c.queues = make(map[string][]waiting)
	}
	queue, served := c.queues[shard]
	c.queues[shard] = append(queue, one)
	if !served {
		c.workers.Add(1)
		go c.work(shard)
	}
}

// work serves one shard until nothing waits for it. While one group is written
// the next one gathers.
func (c *Claims) work(shard string) {
	defer c.workers.Done()
	for {
		time.Sleep(claimWindow)
		group := c.next(shard)
		if group == nil {
			return
		}
		c.commit(shard, group)
	}
}

func (c *Claims) next(shard string) []waiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queues[shard]
	if len(queue) == 0 {
		delete(c.queues, shard)
		return nil
	}
	size := min(len(queue), maxGroup)
	c.queues[shard] = queue[size:]
	return queue[:size]
}

func (c *Claims) commit(shard string, group []waiting) {
	ops := make([]claim.Op, len(group))
	for i := range group {
		ops[i] = group[i].op
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	results, err := claim.Commit(ctx, time.Now(), c.Store, shard, ops)
	if err != nil {
		c.Log.Write(event.ClaimFailed, zap.Int("claims", len(ops)), zap.Error(err))
		c.fail(group, err)
		return
	}
	for i := range group {
		if group[i].answer != nil {
			group[i].answer <- claimAnswer{result: results[i]}
		}
	}
}

// fail answers the calls of a group that was not written, gives up what they may
// have claimed all the same, and keeps the notes.
func (c *Claims) fail(group []waiting, err error) {
	for i := range group {
		op := group[i].op
		if group[i].answer != nil {
			group[i].answer <- claimAnswer{err: err}
			op = release(op)
		}
		c.park(op)
	}
}

func (c *Claims) park(op claim.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parked) < maxParked {
		c.parked = append(c.parked, op)
	}
}

func release(op claim.Op) claim.Op {
	return claim.Op{Action: claim.ActionRelease, Key: op.Key, RequestID: op.RequestID}
}
