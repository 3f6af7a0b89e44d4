// Package feed keeps a process's configuration up to date from the platform's
// store.
package feed

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// HeadKey is the store's key of the configuration in force.
	HeadKey = "config/head"
	// watchWait is how long one watch waits; the store counts it as a call.
	watchWait = 10 * time.Second
	// retryWait is the pause after a failed read.
	retryWait = 500 * time.Millisecond
)

// Follower reads each new revision and puts it in force.
type Follower struct {
	Store  chicoryrock.Store
	Tables *object.Holder
	Log    *event.Log

	confirmed atomic.Int64 // nanoseconds since the epoch
}

// Age returns how long ago the store last confirmed the revision in force.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.confirmed.Load()))
}

// Run follows the head until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	var known uint64
	for ctx.Err() == nil {
		revision, err := f.step(ctx, known)
		if err == nil {
			known = revision
			continue
		}
		if ctx.Err() == nil {
			f.Log.Write(event.ConfigFailed, zap.Error(err))
			sleep(ctx, retryWait)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context, known uint64) (uint64, error) {
	head, err := f.Store.Watch(ctx, HeadKey, known, watchWait)
	if err != nil {
		return known, errors.Wrap(err, "watch the head")
	}
	f.confirmed.Store(time.Now().UnixNano())
	if head.Revision <= known {
		return known, nil
	}
	set := &object.Set{}
	if err := json.Unmarshal(head.Value, set); err != nil {
		return known, errors.Wrap(chicoryrock.ErrInvalid, err.Error())
	}
	if err := f.Tables.Take(object.NewTable(head.Revision, set)); err != nil {
		return known, err
	}
	f.Log.Write(event.ConfigTaken, zap.Uint64("revision", head.Revision))
	return head.Revision, nil
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
