package entry

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/policy/pick"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
	"github.com/chicoryrock/chicoryrock/internal/serve/roster"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// directory is a list of VMs that is first there after a begin.
type directory struct {
	begin <-chan struct{}
	yield int // how often others run first
	list  []chicoryrock.VM
}

func (d *directory) List(context.Context) ([]chicoryrock.VM, error) {
	<-d.begin
	for range d.yield {
		runtime.Gosched()
	}
	return d.list, nil
}

// Guards against a start at which the configuration and the list of VMs come at once, and the
// servers of the list are lost until it changes.
func TestServersAreKnownWhateverComesFirst(t *testing.T) {
	set := &object.Set{}
	var list []chicoryrock.VM
	for i := range 30 {
		pool := fmt.Sprint("pool-", i)
		set.Pools = append(set.Pools, object.Pool{Name: pool, Slots: 1})
		list = append(list, chicoryrock.VM{Name: fmt.Sprint("vm-", i), Pool: pool})
	}
	measured := metrics.New(time.Now)
	for round := range 3000 {
		begin := make(chan struct{})
		e := &Entry{
			Tables:     &object.Holder{},
			Rules:      func(*object.Table) {},
			Limits:     NewLimits(time.Now(), "entry"),
			Observer:   &Observer{Metrics: measured},
			Dispatcher: &dispatch.Dispatcher{Picker: &pick.Picker{}, NewQueue: func(string) chicoryrock.Queue { return &queue.Queue{} }},
			Roster:     &roster.Roster{Log: event.NewNop(), Interval: time.Hour, Directory: &directory{begin, round % 30, list}},
		}
		e.Prepare()
		ctx, stop := context.WithCancel(t.Context())
		e.Roster.Changed = func([]chicoryrock.VM) {
			e.ServersChanged()
			stop()
		}
		var both sync.WaitGroup
		both.Go(func() { _ = e.Roster.Run(ctx) })
		both.Go(func() {
			<-begin
			table := object.NewTable(1, set)
			_ = e.Tables.Take(table)
			e.ConfigChanged(table)
		})
		close(begin)
		both.Wait()
		require.True(t, e.Placed(), "round %d", round)
		for i := range list {
			require.Len(t, e.gate.Replicas(list[i].Pool), 1, "round %d", round)
		}
	}
}
