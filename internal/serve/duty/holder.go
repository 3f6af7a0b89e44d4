package duty

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/awake"
	"github.com/chicoryrock/chicoryrock/internal/serve/guard"
	"github.com/chicoryrock/chicoryrock/internal/state/lease"
)

const (
	// leaseTTL is how long a duty stays with a process that no longer renews it.
	leaseTTL = 6 * time.Second
	// renewInterval is how often the holder renews and candidates look: a holder
	// may miss one renewal. At two candidates in each of five data centres that is
	// five reads a second for a duty, whatever the size of the fleet.
	renewInterval = 2 * time.Second
	// renewTimeout bounds one try.
	renewTimeout = 1500 * time.Millisecond
)

// Grant is what a duty's work is given: it has the duty while its context lives.
// Valid is to be asked right before anything that only the holder may send.
type Grant struct {
	Fence uint64
	Valid func(now time.Time) bool
}

// WorkFunc carries a duty out until its context ends, and then returns.
type WorkFunc func(ctx context.Context, grant Grant)

// Status is what a process knows of one duty.
type Status struct {
	Name  string `json:"name"`
	Held  bool   `json:"held"`            // by this process
	Fence uint64 `json:"fence,omitempty"` // fencing number, of the holder only
	Other string `json:"other,omitempty"` // the process that has it, if known
}

// Holder tries to get one duty and runs its work while it has it. Set the
// exported fields, then call Run.
type Holder struct {
	Duty      string
	Process   string // this process's name, never used by another one before
	Store     chicoryrock.Store
	Log       *event.Log
	Address   netip.AddrPort // where peers reach this process; the zero value if they need not
	Candidate func() bool    // whether this process should try: few in each data centre
	Work      WorkFunc
	TTL       time.Duration // of the lease; 0 means 6 s
	Renew     time.Duration // how often the lease is renewed; 0 means 2 s
	// Suspended returns for how long this VM has been suspended, which the steady clock
	// leaves out and the store's lease does not; nil means what the kernel says.
	Suspended func() time.Duration

	mu    sync.Mutex
	lease lease.Lease
	job   *job
}

// job is the work under way.
type job struct {
	fence  uint64
	cancel context.CancelFunc
	expiry *time.Timer // ends the work with the lease's validity
	done   chan struct{}
}

// Run tries until the context ends, then stops the work and gives the duty up.
func (h *Holder) Run(ctx context.Context) error {
	// Status may be asked already, since the admin address opens before.
	h.mu.Lock()
	h.lease = lease.Lease{Duty: h.Duty, Holder: h.Process, TTL: cmp.Or(h.TTL, leaseTTL), Address: h.Address}
	h.mu.Unlock()
	ticker := time.NewTicker(cmp.Or(h.Renew, renewInterval))
	defer ticker.Stop()
	defer h.release(context.WithoutCancel(ctx))
	for {
		h.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (h *Holder) step(ctx context.Context) {
	if !h.Candidate() {
		h.release(ctx)
		return
	}
	now := h.shifted(time.Now())
	tried, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	// The lock is not held during the call, so that Valid answers meanwhile.
	next := h.snapshot()
	err := next.AcquireOrRenew(tried, now, h.Store)
	if err != nil && ctx.Err() == nil {
		h.Log.Write(event.DutyFailed, zap.String("duty", h.Duty), zap.Error(err))
	}
	h.mu.Lock()
	h.lease = next
	h.mu.Unlock()
	h.work(ctx, &next)
}

// shifted returns a time on a clock that goes on while the VM is suspended.
func (h *Holder) shifted(now time.Time) time.Time {
	if h.Suspended == nil {
		return now.Add(awake.Suspended())
	}
	return now.Add(h.Suspended())
}

func (h *Holder) snapshot() lease.Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease
}

// work starts, prolongs or stops the work, as the lease says.
func (h *Holder) work(ctx context.Context, current *lease.Lease) {
	now := h.shifted(time.Now())
	valid := current.Valid(now)
	if h.job != nil {
		if valid && h.job.fence == current.Fence() && h.job.expiry.Stop() {
			h.job.expiry.Reset(current.ValidUntil().Sub(now))
			return
		}
		h.stop()
	}
	if valid {
		h.start(ctx, now, current)
	}
}

func (h *Holder) start(ctx context.Context, now time.Time, current *lease.Lease) {
	ctx, cancel := context.WithCancel(ctx)
	started := &job{
		fence:  current.Fence(),
		cancel: cancel,
		expiry: time.AfterFunc(current.ValidUntil().Sub(now), cancel),
		done:   make(chan struct{}),
	}
	h.job = started
	h.Log.Write(event.DutyTaken, zap.String("duty", h.Duty), zap.Uint64("fence", started.fence))
	go func() {
		defer close(started.done)
		parts := guard.Parts{Log: h.Log}
		// It ends with the context, and has no errors of its own.
		_ = parts.Keep(ctx, "work of "+h.Duty, func(ctx context.Context) error {
			h.Work(ctx, Grant{Fence: started.fence, Valid: h.valid})
			return nil
		})
	}()
}

func (h *Holder) valid(now time.Time) bool {
	current := h.snapshot()
	return current.Valid(h.shifted(now))
}

func (h *Holder) stop() {
	h.job.expiry.Stop()
	h.job.cancel()
	<-h.job.done
	h.Log.Write(event.DutyLost, zap.String("duty", h.Duty), zap.Uint64("fence", h.job.fence))
	h.job = nil
}

// release stops the work before it lets another process have the duty.
func (h *Holder) release(ctx context.Context) {
	if h.job != nil {
		h.stop()
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	current := h.snapshot()
	// On an error the lease ends by itself.
	_ = current.Release(ctx, h.Store)
	h.mu.Lock()
	h.lease = current
	h.mu.Unlock()
}

// Other returns the address of the process that has the duty, if it is another
// one and known.
func (h *Holder) Other() netip.AddrPort {
	current := h.snapshot()
	return current.OtherHolderAddress()
}

// Status returns what this process knows of the duty.
func (h *Holder) Status(now time.Time) Status {
	current := h.snapshot()
	status := Status{Name: h.Duty, Held: current.Valid(h.shifted(now)), Other: current.OtherHolder()}
	if status.Held {
		status.Fence = current.Fence()
	}
	return status
}
