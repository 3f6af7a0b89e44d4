package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/standin/fault"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
)

const (
	// publications is how many changes are timed, and then sent under load.
	publications = 4
	// changeInterval is the time between the changes under load.
	changeInterval = 2 * time.Second
	// changeSpan is the time between two changes at the size of two years, to
	// which the bytes of the changes are scaled.
	changeSpan = 39 * time.Second
	// forcePoll is how often the logs are read for a change in force. The time is
	// the log's own, so that no process is asked anything meanwhile.
	forcePoll = 300 * time.Millisecond
)

// measureConfig takes the time from publishing to in force, and what control
// costs each process and the store, idle and under changes.
func measureConfig(ctx context.Context, m *Measure) (*Table, error) {
	var times []time.Duration
	for i := range publications {
		took, err := m.timeChange(ctx, i+1)
		if err != nil {
			return nil, err
		}
		times = append(times, took...)
	}
	own, span := append(m.Fleet.own(), m.Fleet.of(roleEngine)...), publications*changeInterval
	idle, idleCalls, err := m.controlUse(ctx, own, func() error { return sleep(ctx, span) })
	if err != nil {
		return nil, err
	}
	busy, busyCalls, err := m.controlUse(ctx, own, func() error { return m.changeOften(ctx) })
	if err != nil {
		return nil, err
	}
	list, err := json.Marshal(m.Fleet.vms(m.Ghosts))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	files := middle(pick(own, idle, roleEngine), bytesOf)
	table := &Table{
		Head: []string{"processes", "in force median", "in force worst", "role", "count", "idle B/s median", "max", "B per change", "B/s at a change in 39 s", "idle core %", "resident MB", "max"},
		Note: fmt.Sprintf("%d workspaces; list of VMs %d bytes; store calls/s idle: %s; store calls per change: %s; "+
			"B/s without what the libraries read from /proc (an idle stand-in: %.0f B/s)",
			m.Workspaces, len(list), perSecond(idleCalls, span), perChange(idleCalls, busyCalls), files),
	}
	for _, role := range []string{member.RoleEntry, member.RoleAgent} {
		a, b := pick(own, idle, role), pick(own, busy, role)
		if len(a) == 0 {
			continue
		}
		quiet, change := middle(a, bytesOf), (middle(b, bytesOf)-middle(a, bytesOf))*changeInterval.Seconds()
		table.add(len(m.Fleet.own()), median(times), slices.Max(times), role, len(a), quiet-files, highest(a, bytesOf)-files, change,
			quiet-files+change/changeSpan.Seconds(), middle(a, coreOf), middle(a, megasOf), highest(a, megasOf))
	}
	return table, nil
}

// timeChange publishes a change and returns, for each process, the time until it
// has the change in force.
func (m *Measure) timeChange(ctx context.Context, number int) ([]time.Duration, error) {
	begin := time.Now()
	revision, err := m.publish(ctx, changed(m.Workspaces, number))
	if err != nil {
		return nil, err
	}
	var times []time.Duration
	for _, process := range m.Fleet.own() {
		err := await(ctx, forcePoll, func() (bool, error) {
			at, err := process.taken(revision)
			if err == nil {
				times = append(times, at.Sub(begin))
			}
			return err == nil, err
		})
		if err != nil {
			return nil, errors.Wrap(err, process.Name)
		}
	}
	return times, nil
}

// changeOften publishes changes at a steady interval.
func (m *Measure) changeOften(ctx context.Context) error {
	begin := time.Now()
	for i := range publications {
		if _, err := m.publish(ctx, changed(m.Workspaces, publications+i+1)); err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(begin.Add(time.Duration(i+1)*changeInterval))); err != nil {
			return err
		}
	}
	return nil
}

// controlUse returns what the processes used, and the store's calls by path,
// during work. No process is asked anything meanwhile.
func (m *Measure) controlUse(ctx context.Context, processes []Process, work func() error) ([]use, map[string]int, error) {
	callsBefore, err := m.storeCalls(ctx)
	if err != nil {
		return nil, nil, err
	}
	before, err := takeAll(processes)
	if err != nil {
		return nil, nil, err
	}
	if err := work(); err != nil {
		return nil, nil, err
	}
	after, err := takeAll(processes)
	if err != nil {
		return nil, nil, err
	}
	calls, err := m.storeCalls(ctx)
	if err != nil {
		return nil, nil, err
	}
	uses := make([]use, len(processes))
	for i := range processes {
		uses[i] = between(before[i], after[i])
	}
	for path := range calls {
		calls[path] -= callsBefore[path]
	}
	return uses, calls, nil
}

func (m *Measure) storeCalls(ctx context.Context) (map[string]int, error) {
	calls := make(map[string]int)
	err := get(ctx, m.Fleet.of(roleStore)[0].Listen, fault.PathCalls, &calls)
	return calls, err
}

func pick(processes []Process, uses []use, role string) []use {
	var found []use
	for i := range processes {
		if processes[i].Role == role {
			found = append(found, uses[i])
		}
	}
	return found
}

func bytesOf(u use) float64 { return u.bytes }
func coreOf(u use) float64  { return u.core }
func megasOf(u use) float64 { return u.megas }

func sorted(uses []use, of func(use) float64) []float64 {
	values := make([]float64, len(uses))
	for i := range uses {
		values[i] = of(uses[i])
	}
	slices.Sort(values)
	return values
}

func middle(uses []use, of func(use) float64) float64 { return sorted(uses, of)[len(uses)/2] }

func highest(uses []use, of func(use) float64) float64 { return sorted(uses, of)[len(uses)-1] }

// perSecond prints counts as rates, e.g. "/watch 1.00".
func perSecond(calls map[string]int, span time.Duration) string {
	var parts []string
	for _, path := range slices.Sorted(maps.Keys(calls)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", path, float64(calls[path])/span.Seconds()))
	}
	return strings.Join(parts, " ")
}

// perChange prints the calls that each change added, the publisher's included.
func perChange(idle, busy map[string]int) string {
	var parts []string
	for _, path := range slices.Sorted(maps.Keys(busy)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", path, float64(busy[path]-idle[path])/publications))
	}
	return strings.Join(parts, " ")
}
