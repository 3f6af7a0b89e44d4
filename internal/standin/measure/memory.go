package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/state/member"
)

const (
	// settle is the wait between the opening of streams and the first sample.
	settle = 3 * time.Second
	// window is the time between two samples.
	window = 6 * time.Second
)

// openSizes are the numbers of open streams between which slopes are taken.
var openSizes = []int{0, 100, 330}

// measureMemory takes memory, processor time and bytes of an entry and an agent
// at several numbers of open streams, and the slopes over them.
func measureMemory(ctx context.Context, m *Measure) (*Table, error) {
	entry, agent := m.Fleet.of(member.RoleEntry)[0], m.Fleet.of(member.RoleAgent)[0]
	processes := []Process{entry, agent}
	table := &Table{
		Head: []string{"process", "open streams", "resident MB", "core %", "bytes/s"},
		Note: fmt.Sprintf("%d workspaces, %d VMs listed; all streams through one agent", m.Workspaces, len(m.Fleet.vms(m.Ghosts))),
	}
	var counts []float64
	used := make([][]use, len(processes))
	for _, count := range openSizes {
		uses, err := m.useAt(ctx, processes, count)
		if err != nil {
			return nil, err
		}
		counts = append(counts, float64(count))
		for i, one := range uses {
			used[i] = append(used[i], one)
			table.add(processes[i].Role, count, one.megas, one.core, one.bytes)
		}
	}
	for i := range processes {
		table.add(processes[i].Role, "each", slopeOf(counts, used[i], func(u use) float64 { return u.megas }),
			slopeOf(counts, used[i], func(u use) float64 { return u.core }), slopeOf(counts, used[i], func(u use) float64 { return u.bytes }))
	}
	return table, nil
}

func (m *Measure) useAt(ctx context.Context, processes []Process, count int) ([]use, error) {
	opened, err := m.openStreams(ctx, &processes[0], &processes[1], modelName(0), count)
	if err != nil {
		return nil, err
	}
	defer opened.cancel()
	if err := sleep(ctx, settle); err != nil {
		return nil, err
	}
	uses, err := useOver(ctx, processes, window)
	if err != nil {
		return nil, err
	}
	return uses, opened.close(ctx)
}

// useOver returns what each process used over a time.
func useOver(ctx context.Context, processes []Process, span time.Duration) ([]use, error) {
	before, err := takeAll(processes)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, span); err != nil {
		return nil, err
	}
	after, err := takeAll(processes)
	if err != nil {
		return nil, err
	}
	uses := make([]use, len(processes))
	for i := range processes {
		uses[i] = between(before[i], after[i])
	}
	return uses, nil
}

func slopeOf(counts []float64, uses []use, of func(use) float64) float64 {
	values := make([]float64, len(uses))
	for i := range uses {
		values[i] = of(uses[i])
	}
	return slope(counts, values)
}
