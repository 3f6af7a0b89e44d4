// Package reserve keeps the room of one process: what its callers' connections, requests
// and answers may hold. Package memory decides; this package waits for room and closes
// what has to make room.
package reserve

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
)

// ErrNoRoom says that there is no room for what was asked for, or that it had to make room
// for others.
var ErrNoRoom = errors.New("no room")

const (
	// connectionBytes is what a connection takes between two requests: its goroutine's
	// stack, the library's two buffers and what finds it. 900 of them took a front 22 KB
	// each after a request, and 10 KB before.
	connectionBytes = 22 << 10
	// limitPart is the part of a process's memory that may be reserved. The rest is for the
	// program, what it knows, and what has been released and not collected yet.
	limitPart = 2
	// large is from how many bytes on what is released counts until it is collected. While
	// the machine was busy, the runtime's limit alone let a front of 134 MB reach 134 MB.
	large = 256 << 10
	// freedPart is the part of the limit that may be released before it is collected.
	freedPart = 4
)

// Pool is the room of one process. Nil is one without limits. Set the exported fields
// before use.
type Pool struct {
	// Counted is told of each use that has found no room, or was closed for others. It may
	// be nil, and must not wait.
	Counted func(kind memory.Kind, closed bool)

	mutex   sync.Mutex
	account memory.Account
	holds   map[memory.ID]*Hold
	freed   []*Hold // released, but their memory is not collected yet
	free    int64   // bytes of them
	frees   bool    // a collection is under way
	refused int64   // since it was last logged
	closed  int64
}

// Hold is room that is in use. Nil is one of a pool without limits.
type Hold struct {
	pool   *Pool
	id     memory.ID
	kind   memory.Kind
	bytes  int64
	close  func()    // makes its user release it; nil where the user finds out by Move
	answer chan bool // whether what it waits for has been granted
	waits  bool
}

// New returns a process's room from the memory that it may use, bytes, and its connections.
// Zero is no limit; without any limit the pool is nil.
func New(used int64, places int) *Pool {
	if used <= 0 && places <= 0 {
		return nil
	}
	return &Pool{
		account: memory.Account{Limit: max(used, 0) / limitPart, Places: max(places, 0)},
		holds:   make(map[memory.ID]*Hold),
	}
}

// Reserve waits for room as long as the claim says and until the context ends. To make room
// for others, the hold's user is told by a call of close, which must not wait. Error:
// ErrNoRoom.
func (p *Pool) Reserve(ctx context.Context, claim memory.Claim, closes func()) (*Hold, error) {
	if p == nil {
		return nil, nil //nolint:nilnil // nil is a hold without limits
	}
	h := &Hold{pool: p, kind: claim.Kind, close: closes, answer: make(chan bool, 1)}
	p.mutex.Lock()
	verdict := p.account.Ask(time.Now(), claim)
	h.id = verdict.ID
	if verdict.Decision != memory.Refused {
		p.holds[h.id] = h
	}
	if err := h.decided(ctx, verdict, claim.Bytes); err != nil {
		return nil, err
	}
	return h, nil
}

// Connection reserves a place and the memory of a new connection. Error: ErrNoRoom.
func (p *Pool) Connection(address netip.Addr, closes func()) (*Hold, error) {
	claim := memory.Claim{Owner: memory.Owner{Address: address.Unmap()}, Kind: memory.Idle, Bytes: connectionBytes, Places: 1}
	return p.Reserve(context.Background(), claim, closes)
}

// Grow reserves more bytes, waiting for room as long as it is told. Error: ErrNoRoom.
func (h *Hold) Grow(ctx context.Context, bytes int64, wait time.Duration) error {
	if h == nil || bytes <= 0 {
		return nil
	}
	h.pool.mutex.Lock()
	return h.decided(ctx, h.pool.account.Grow(time.Now(), h.id, bytes, wait), bytes)
}

// decided carries a verdict out and waits for room where it says so. It gives up the lock,
// which is held.
func (h *Hold) decided(ctx context.Context, verdict memory.Verdict, bytes int64) error {
	p := h.pool
	h.waits = verdict.Decision == memory.Waits
	closes := p.closing(verdict.Close)
	p.wake()
	p.collect()
	if verdict.Decision == memory.Refused {
		p.count(h.kind, false)
	}
	p.mutex.Unlock()
	for _, victim := range closes {
		victim()
	}
	granted := verdict.Decision == memory.Admitted
	if verdict.Decision == memory.Waits {
		granted = h.await(ctx, verdict.Until)
	}
	if !granted {
		return errors.WithStack(ErrNoRoom)
	}
	p.mutex.Lock()
	h.bytes += bytes
	p.mutex.Unlock()
	return nil
}

// await waits until what a hold wants is granted.
func (h *Hold) await(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case granted := <-h.answer:
		return granted
	default:
	}
	select {
	case granted := <-h.answer:
		return granted
	case <-timer.C:
	case <-ctx.Done():
	}
	p := h.pool
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !h.waits {
		return <-h.answer
	}
	h.waits = false
	p.account.Withdraw(h.id)
	p.count(h.kind, false)
	if h.bytes == 0 {
		delete(p.holds, h.id)
	}
	p.wake()
	return false
}

// closing returns what closes the holds that have to make room. The lock is held.
func (p *Pool) closing(ids []memory.ID) []func() {
	var closes []func()
	for _, id := range ids {
		h := p.holds[id]
		p.count(h.kind, true)
		h.tell(false)
		switch {
		case h.kind == memory.Idle:
			// Its goroutine ends at once, and a new connection can't wait for that.
			closes = append(closes, h.close, h.Release)
		case h.close != nil:
			closes = append(closes, h.close)
		}
	}
	return closes
}

// tell ends the waiting of a hold. The lock is held.
func (h *Hold) tell(granted bool) {
	if h.waits {
		h.waits = false
		h.answer <- granted
	}
}

// wake tells the holds that have been granted what they waited for. The lock is held.
func (p *Pool) wake() {
	for _, id := range p.account.Granted() {
		p.holds[id].tell(true)
	}
}

// Move changes what a hold is used for, and how its user is told that it has to make room.
// It returns ErrNoRoom if it has to already.
func (h *Hold) Move(kind memory.Kind, closes func()) error {
	if h == nil {
		return nil
	}
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	if !h.pool.account.Move(time.Now(), h.id, kind) {
		return errors.WithStack(ErrNoRoom)
	}
	h.kind, h.close = kind, closes
	return nil
}

// Shrink gives back some bytes.
func (h *Hold) Shrink(bytes int64) {
	if h == nil {
		return
	}
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	h.bytes -= min(bytes, h.bytes)
	h.pool.account.Shrink(h.id, bytes)
	h.pool.wake()
}

// Bytes returns how much is held.
func (h *Hold) Bytes() int64 {
	if h == nil {
		return 0
	}
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	return h.bytes
}

// Release ends a hold. It may be called again. A large one counts until its memory has been
// collected.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	p := h.pool
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.holds[h.id] == nil {
		return
	}
	delete(p.holds, h.id)
	if h.bytes < large || !p.account.Move(time.Now(), h.id, memory.Freed) {
		p.account.Release(h.id)
		p.wake()
		return
	}
	p.freed = append(p.freed, h)
	p.free += h.bytes
	p.collect()
}

// collect starts a collection where much has been freed, or where somebody waits for it. The
// lock is held.
func (p *Pool) collect() {
	if p.frees || p.free == 0 || p.free < p.account.Limit/freedPart && !p.account.Waits() {
		return
	}
	p.frees = true
	freed := p.freed
	p.freed, p.free = nil, 0
	go func() {
		runtime.GC()
		p.mutex.Lock()
		defer p.mutex.Unlock()
		for _, h := range freed {
			p.account.Release(h.id)
		}
		p.wake()
		p.frees = false
		p.collect()
	}()
}

// count counts a use that has found no room or was closed. The lock is held.
func (p *Pool) count(kind memory.Kind, closed bool) {
	if closed {
		p.closed++
	} else {
		p.refused++
	}
	if p.Counted != nil {
		p.Counted(kind, closed)
	}
}

// Read calls visit with what is held for each kind, and returns how many connections there
// are.
func (p *Pool) Read(visit func(kind memory.Kind, bytes int64)) int {
	if p == nil {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, kind := range memory.Kinds() {
		visit(kind, p.account.Used(kind))
	}
	_, places := p.account.Total()
	return places
}

// Total returns how many bytes are held, and how many connections there are.
func (p *Pool) Total() (bytes int64, connections int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.account.Total()
}

// Write logs what has found no room since it was last called, in one line.
func (p *Pool) Write(log *event.Log) {
	if p == nil {
		return
	}
	p.mutex.Lock()
	bytes, places := p.account.Total()
	refused, closed := p.refused, p.closed
	p.refused, p.closed = 0, 0
	p.mutex.Unlock()
	if refused+closed > 0 {
		log.Write(event.NoRoom, zap.Int64("refused", refused), zap.Int64("closed", closed), zap.Int64("bytes", bytes),
			zap.Int("connections", places), zap.Int64("limit", p.account.Limit), zap.Int("most", p.account.Places))
	}
}

// addressOf returns a peer's address; the zero value where it has none.
func addressOf(conn net.Conn) netip.Addr {
	if address, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return address.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
