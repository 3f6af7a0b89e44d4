// Package roster keeps a process's copy of the platform's list of VMs.
package roster

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
)

// Roster reads the list again and again. An outage leaves the last list in
// force. Set the exported fields, then call Run.
type Roster struct {
	Self      member.Self
	Directory chicoryrock.Directory // nil in a process that only knows its seeds
	Interval  time.Duration
	Seeds     []netip.AddrPort           // peers from the settings, asked when the list names none
	Read      func(vms []chicoryrock.VM) // called with each list read; may be nil
	Changed   func(vms []chicoryrock.VM) // called with each list that differs from the last; may be nil
	Log       *event.Log

	vms atomic.Pointer[[]chicoryrock.VM]
}

// Run reads the list until the context ends.
func (r *Roster) Run(ctx context.Context) error {
	if r.Directory == nil {
		return nil
	}
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for {
		r.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Roster) read(ctx context.Context) {
	vms, err := r.Directory.List(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.Log.Write(event.ServersLost, zap.Error(err))
		return
	}
	changed := !same(r.VMs(), vms)
	r.vms.Store(&vms)
	r.Log.Write(event.ServersRead, zap.Int("vms", len(vms)))
	if r.Read != nil {
		r.Read(vms)
	}
	if changed && r.Changed != nil {
		r.Changed(vms)
	}
}

// same says whether two lists are one and the same in memory, as a Directory returns
// them while nothing changes. To sort hundreds of VMs into pools each time would cost
// more than all else that an idle process does.
func same(a, b []chicoryrock.VM) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// VMs returns the last list read, which callers must not change.
func (r *Roster) VMs() []chicoryrock.VM {
	if vms := r.vms.Load(); vms != nil {
		return *vms
	}
	return nil
}

// Reader says whether this process reads the store for its data centre.
func (r *Roster) Reader() bool { return member.IsReader(r.Self, r.VMs()) }

// Sources returns the peers to ask for the configuration, the best first.
func (r *Roster) Sources() []netip.AddrPort {
	sources := member.Sources(r.Self, r.VMs())
	for _, seed := range r.Seeds {
		if !slices.Contains(sources, seed) {
			sources = append(sources, seed)
		}
	}
	return sources
}
