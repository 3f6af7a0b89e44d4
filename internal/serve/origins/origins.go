// Package origins shares among processes, through the store, which software version began
// each stream; see package origin.
package origins

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/state/origin"
)

const (
	// registerKey is the store's key of the register.
	registerKey = "software"
	// recordPrefix begins the keys of the streams' records.
	recordPrefix = "stream/"
	// saveInterval is how often records are written at most; one that comes later than that
	// after the last write is written at once.
	saveInterval = 100 * time.Millisecond
	// savePerProcess stretches that with the number of processes, so that the calls of all
	// of them are a small part of what the store takes.
	savePerProcess = 5 * time.Millisecond
	// batch is how many records one call writes.
	batch = 32
	// recordWait is how long a lookup waits at least for records that are under way.
	recordWait = 250 * time.Millisecond
	// findTimeout bounds the time for one lookup, without the wait for records.
	findTimeout = 600 * time.Millisecond
	// checkTimeout bounds a lookup of a stream that the process knows itself.
	checkTimeout = 300 * time.Millisecond
	// findPause is kept between two tries of a read.
	findPause = 50 * time.Millisecond
	// movePause is kept between two looks at whether a record may be written anew.
	movePause = 10 * time.Millisecond
	// saveSlack is how long the write of a record takes besides the wait for it.
	saveSlack = 100 * time.Millisecond
	// longestPause bounds the wait after failures in a row.
	longestPause = time.Second
)

// ErrUnknown says that it isn't known which software version began a stream.
var ErrUnknown = errors.New("it is not known which software version began the stream")

// Store is the platform's store.
type Store interface {
	chicoryrock.TransactionalStore
	// Era returns how often the store has come back from a copy, as far as is known.
	Era() uint64
}

// Origins is what one process knows and shares. Set the exported fields, then call Run.
type Origins struct {
	Store Store
	Log   *event.Log
	// Members returns how many processes write records. It may lock what is held where other
	// methods are called.
	Members func() int
	// Changed is told that streams may begin at other versions than before.
	Changed func()
	// Ask asks other processes for the register, and calls Hear.
	Ask func(ctx context.Context)

	mutex sync.Mutex
	wake  chan struct{}
	book  origin.Book
	saved time.Time // when records were last written
	fails bool      // the last write has failed, and the next one waits
}

// New returns what a process knows at its start.
func New() *Origins { return &Origins{wake: make(chan struct{}, 1)} }

// SetServers takes in the backend servers that are known.
func (o *Origins) SetServers(now time.Time, servers []chicoryrock.Server) {
	listed := make([]origin.Software, len(servers))
	for i := range servers {
		listed[i] = origin.Software{Service: servers[i].Service, Version: servers[i].Build()}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.book.SetListed(now, listed)
	if o.book.Incomplete(now, o.Store.Era()) {
		o.signal()
	}
}

func (o *Origins) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// ListLost records that the list of backend servers may not be followed for now.
func (o *Origins) ListLost(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.book.ListLost(now)
}

// ListHeard records that the list of backend servers is followed.
func (o *Origins) ListHeard(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.book.ListHeard(now)
}

// MayBegin reports whether streams may begin at a version of a service.
func (o *Origins) MayBegin(service, version string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.book.MayBegin(origin.Software{Service: service, Version: version})
}

// Send records that a request is sent to a server of some software, which may begin its stream,
// and returns the software at which the stream may begin. Before is what Send returned for the
// attempt before.
func (o *Origins) Send(now time.Time, workspace, id string, software, before origin.Software, attempt origin.Attempt) origin.Software {
	if id == "" {
		return software
	}
	key := origin.KeyOf(workspace, id)
	o.mutex.Lock()
	software = o.book.Send(now, key, software, before, attempt)
	waits, saved := !o.fails && o.book.Waits(software.Service), o.saved
	o.mutex.Unlock()
	if waits && now.Sub(saved) >= o.interval() {
		o.signal()
	}
	return software
}

// Move has a request that was recorded for some software, and whose stream has not begun, begin
// it at other software. It returns once the store has the record. Error: ErrUnknown.
func (o *Origins) Move(ctx context.Context, workspace, id string, software origin.Software, attempt origin.Attempt) error {
	record := origin.Record{Key: origin.KeyOf(workspace, id), Software: software, Attempts: []origin.Attempt{attempt}}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	if software.Version == "" || !o.startMove(ctx, record.Key) {
		return errors.WithStack(ErrUnknown)
	}
	if err := o.commit(ctx, []origin.Record{record}); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.book.Moved(&record) {
		return errors.WithStack(ErrUnknown)
	}
	return nil
}

// startMove waits until a record may be written anew, and reports false where it may not. A
// request can be recorded while it is sent to a server that turns it away.
func (o *Origins) startMove(ctx context.Context, key origin.Key) bool {
	for {
		o.mutex.Lock()
		may, later := o.book.StartMove(key), o.book.MayMoveLater(key)
		o.mutex.Unlock()
		if may || !later || ctx.Err() != nil {
			return may
		}
		pause.For(ctx, movePause)
	}
}

// commit writes records.
func (o *Origins) commit(ctx context.Context, records []origin.Record) error {
	changes := make([]chicoryrock.Change, len(records))
	for i := range records {
		value, err := records[i].Value()
		if err != nil {
			return err
		}
		changes[i] = chicoryrock.Change{Key: recordPrefix + records[i].Key.String(), Value: value, Unconditional: true, MinTTL: origin.Retention}
	}
	_, err := o.Store.Commit(ctx, changes)
	return err
}

// Begin records that a stream has its first event.
func (o *Origins) Begin(now time.Time, workspace, id string, software origin.Software, attempt origin.Attempt) {
	if id == "" {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.book.Begin(now, origin.KeyOf(workspace, id), software, attempt)
}

// Mix records that the software which writes a stream has changed within it; the stream is known
// by the IDs of several requests where it was taken up. It returns once the store has the records,
// and the builds that servers have now, or can't be written in time; both are written again later.
func (o *Origins) Mix(ctx context.Context, workspace string, ids []string, software origin.Software) {
	if software.Version == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var records []origin.Record
	o.mutex.Lock()
	for _, id := range ids {
		if id != "" {
			records = append(records, o.book.Mix(time.Now(), origin.KeyOf(workspace, id), software))
		}
	}
	o.mutex.Unlock()
	// While the register has one build, nobody looks for a record.
	err := o.complete(ctx)
	if err == nil && len(records) > 0 {
		err = o.commit(ctx, records)
	}
	if err != nil {
		o.Log.Write(event.OriginUnsaved, zap.Int("failures", 1), zap.Error(err))
	}
}

// End records that a stream was passed on whole.
func (o *Origins) End(now time.Time, workspace, id string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.book.End(now, origin.KeyOf(workspace, id))
}

// Begins returns the versions at which this process may begin streams, for other processes.
func (o *Origins) Begins() origin.Register {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.book.Begins()
}

// Hear takes in at which versions another process may begin streams.
func (o *Origins) Hear(told origin.Register) {
	o.mutex.Lock()
	news := o.book.Hear(told)
	o.mutex.Unlock()
	if news {
		o.Changed()
	}
}

// Restored records that the store has come back from a copy.
func (o *Origins) Restored(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.book.Restored(now)
	o.signal()
}

// Began reports whether this process knows by itself which software began a stream.
func (o *Origins) Began(now time.Time, workspace, id string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, known := o.book.Find(now, origin.KeyOf(workspace, id))
	return known
}

// Find returns what began a stream of a model at a service; for an empty model, of any of them.
// Error: ErrUnknown.
func (o *Origins) Find(ctx context.Context, workspace, id, service, model string) (origin.Record, error) {
	lookup := origin.Lookup{Book: &o.book, Key: origin.KeyOf(workspace, id), Service: service, Model: model}
	for {
		step := o.next(&lookup)
		switch step {
		case origin.GoOn:
			return lookup.Record(), nil
		case origin.Refuse:
			return origin.Record{}, errors.WithStack(ErrUnknown)
		case origin.AwaitRecords:
			pause.For(ctx, max(o.interval(), recordWait)+saveSlack)
			continue
		}
		if err := o.read(ctx, step, &lookup); err != nil {
			o.Log.Write(event.OriginUnread, zap.String("ref", id), zap.Error(err))
			lookup.Failed()
		}
	}
}

func (o *Origins) next(lookup *origin.Lookup) origin.Step {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return lookup.Next(time.Now())
}

// read takes a step of a lookup that reads the store. It tries again while the store can't
// be read.
func (o *Origins) read(ctx context.Context, step origin.Step, lookup *origin.Lookup) error {
	o.mutex.Lock()
	timeout := findTimeout
	if lookup.Knows(time.Now()) {
		timeout = checkTimeout
	}
	o.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		var err error
		if step == origin.ReadRegister {
			if _, _, err = o.readRegister(ctx); err == nil {
				lookup.Read()
			}
		} else {
			err = o.readRecord(ctx, lookup)
		}
		if err == nil {
			return nil
		}
		pause.For(ctx, findPause)
		if ctx.Err() != nil {
			return err
		}
	}
}

func (o *Origins) readRecord(ctx context.Context, lookup *origin.Lookup) error {
	entry, err := o.Store.Get(ctx, recordPrefix+lookup.Key.String())
	if errors.Is(err, chicoryrock.ErrNotFound) {
		lookup.Missed()
		return nil
	}
	if err != nil {
		return err
	}
	record, err := origin.ParseValue(lookup.Key, entry.Value)
	if err != nil {
		o.Log.Write(event.OriginUnread, zap.String("key", entry.Key), zap.Error(err))
		lookup.Missed()
		return nil
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	lookup.Found(time.Now(), record)
	return nil
}

// readRegister takes in the register, and returns it with its revision as the store has it.
func (o *Origins) readRegister(ctx context.Context) (origin.Register, uint64, error) {
	var register origin.Register
	entry, err := o.Store.Get(ctx, registerKey)
	era := chicoryrock.RevisionEra(entry.Revision)
	switch {
	case errors.Is(err, chicoryrock.ErrNotFound):
		era = o.Store.Era()
	case err != nil:
		return register, 0, err
	default:
		if register, err = origin.ParseRegister(entry.Value); err != nil {
			// What nobody can read is written over, as if versions were missing in it.
			o.Log.Write(event.OriginUnread, zap.String("key", entry.Key), zap.Error(err))
			register = origin.Unreadable()
		}
		register.Revision = entry.Revision
	}
	o.take(register, era)
	return register, entry.Revision, nil
}

// take takes in the register as the store has it in an era.
func (o *Origins) take(register origin.Register, era uint64) {
	o.mutex.Lock()
	news := o.book.SetRegister(time.Now(), register, era)
	o.mutex.Unlock()
	if news {
		o.Changed()
	}
}

// interval returns how often records are written.
func (o *Origins) interval() time.Duration {
	return max(saveInterval, time.Duration(o.Members())*savePerProcess)
}

// Run keeps the register complete and writes records until the context ends.
func (o *Origins) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		o.await(ctx, min(o.interval()<<min(failures, 2), longestPause))
		err := o.Write(ctx)
		o.mutex.Lock()
		o.fails = err != nil
		o.mutex.Unlock()
		if err != nil {
			failures++
			if ctx.Err() == nil {
				o.Log.Write(event.OriginUnsaved, zap.Int("failures", failures), zap.Error(err))
			}
			if o.incomplete() {
				o.Ask(ctx)
			}
			// A change of the servers alone is no reason to try at once again.
			pause.For(ctx, findPause)
			continue
		}
		failures = 0
	}
	return nil
}

// await waits until records are to be written, or the register is to be completed.
func (o *Origins) await(ctx context.Context, longest time.Duration) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-o.wake:
	}
}

// Write completes the register and writes the records that the store lacks.
func (o *Origins) Write(ctx context.Context) error {
	if err := o.complete(ctx); err != nil {
		return err
	}
	for {
		now := time.Now()
		o.mutex.Lock()
		records := o.book.Unsaved(now, batch)
		if len(records) > 0 {
			o.saved = now
		}
		o.mutex.Unlock()
		if len(records) == 0 {
			return nil
		}
		if err := o.commit(ctx, records); err != nil {
			return err
		}
		o.mutex.Lock()
		o.book.Saved(records)
		o.mutex.Unlock()
	}
}

// complete reads and writes the register until it is as it should be.
func (o *Origins) complete(ctx context.Context) error {
	for o.incomplete() {
		stored, revision, err := o.readRegister(ctx)
		if err != nil {
			return err
		}
		era := o.Store.Era()
		o.mutex.Lock()
		next, changed := o.book.Amend(time.Now(), stored, era)
		o.mutex.Unlock()
		if !changed {
			continue
		}
		value, err := json.Marshal(next)
		if err != nil {
			return errors.WithStack(err)
		}
		next.Revision, err = o.Store.Commit(ctx, []chicoryrock.Change{{Key: registerKey, Value: value, PriorRevision: revision}})
		if errors.Is(err, chicoryrock.ErrConflict) {
			continue
		}
		if err != nil {
			return err
		}
		o.Log.Write(event.SoftwareListed, zap.Any("services", next.Services), zap.Uint64("era", next.Era))
		o.take(next, era)
	}
	return nil
}

func (o *Origins) incomplete() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.book.Incomplete(time.Now(), o.Store.Era())
}
