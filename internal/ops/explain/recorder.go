package explain

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/cell"
)

const (
	// maxSteps is how many steps one record holds. Later ones are only counted.
	maxSteps = 16
	// maxProbes is how many open records are passed over when a new one needs room.
	maxProbes = 64
	// goneFactor is how many expired references are remembered per record kept.
	goneFactor = 8
	// minGone keeps two references of a small recorder from falling on one place.
	minGone = 4096
)

// Recorder keeps the records of the newest requests. Set the exported field before
// the first call. It is safe for concurrent use.
type Recorder struct {
	// Capacity is how many records are kept; at least 1.
	Capacity int

	mutex sync.Mutex
	ring  []Record
	next  int            // slot of the ring that is reused next
	index map[string]int // slot of each reference
	gone  []uint64       // hashes of expired references, each at its own remainder
	cells cell.Table[cell.Key, tally]
	total cell.Table[cell.Key, tally] // over all workspaces
}

// Begin opens the record of a request. When room is needed, the oldest record that
// has ended makes it. The reference of a request that is refused before anything
// is known of it suffices.
func (r *Recorder) Begin(now time.Time, request *chicoryrock.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slot := r.room()
	record := &r.ring[slot]
	*record = Record{
		Ref:       request.ID,
		Workspace: request.Workspace,
		Class:     request.Class,
		Route:     request.Route,
		Pool:      request.Pool,
		Tier:      request.Tier,
		Prompt:    request.PromptTokens,
		Once:      !request.Idempotent,
		Arrived:   now,
		Deadline:  request.Deadline,
		Steps:     record.Steps[:0],
	}
	r.index[request.ID] = slot
}

// Step adds a decision to an open record. It does nothing for a record that has
// ended or expired.
func (r *Recorder) Step(now time.Time, ref string, step Step) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record := r.open(ref)
	if record == nil {
		return
	}
	if step.Action == ActionToken && record.First.IsZero() {
		record.First = now
	}
	if record.fold(step) {
		return
	}
	if len(record.Steps) == maxSteps {
		record.Omitted++
		return
	}
	step.Time = now
	record.Steps = append(record.Steps, step)
}

// End closes a record and counts it for Summary. It does nothing for a record
// that has ended or expired.
func (r *Recorder) End(now time.Time, ref string, result Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record := r.open(ref)
	if record == nil {
		return
	}
	record.Ended = now
	record.Result = result
	r.cells.At(cell.KeyAt(record.Arrived, record.Class, record.Workspace)).add(record)
	r.total.At(cell.KeyAt(record.Arrived, record.Class, "")).add(record)
}

// Find returns a copy of a record. Error: MissingError.
func (r *Recorder) Find(ref string) (Record, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slot, found := r.index[ref]
	if !found {
		return Record{}, errors.WithStack(&MissingError{Ref: ref, Expired: r.expired(ref)})
	}
	record := r.ring[slot]
	record.Steps = slices.Clone(record.Steps)
	return record, nil
}

// open returns the record of a request that has not ended, or nil.
func (r *Recorder) open(ref string) *Record {
	slot, found := r.index[ref]
	if !found || !r.ring[slot].Ended.IsZero() {
		return nil
	}
	return &r.ring[slot]
}

// room returns the slot for a new record, empty but for its slice of steps. Open
// records are passed over, since a long stream should not lose its story to many
// short requests; but only some of them, so that one look stays short.
func (r *Recorder) room() int {
	if r.ring == nil {
		r.index = make(map[string]int)
		r.cells.Limit = maxCells
		r.total.Limit = maxCells
		r.gone = make([]uint64, max(minGone, r.Capacity*goneFactor))
	}
	if len(r.ring) < r.Capacity {
		r.ring = append(r.ring, Record{})
		return len(r.ring) - 1
	}
	slot := r.next
	for range maxProbes {
		if !r.ring[slot].Ended.IsZero() {
			break
		}
		slot = (slot + 1) % len(r.ring)
	}
	r.next = (slot + 1) % len(r.ring)
	r.expire(slot)
	return slot
}

// expire forgets the record in a slot, but for a hash that tells later that it was
// once here. A reference used again belongs to the newer record.
func (r *Recorder) expire(slot int) {
	ref := r.ring[slot].Ref
	if r.index[ref] != slot {
		return
	}
	delete(r.index, ref)
	hash := xxhash.Sum64String(ref)
	r.gone[hash%uint64(len(r.gone))] = hash
}

func (r *Recorder) expired(ref string) bool {
	if len(r.gone) == 0 {
		return false
	}
	hash := xxhash.Sum64String(ref)
	return r.gone[hash%uint64(len(r.gone))] == hash
}
