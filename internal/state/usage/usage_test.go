package usage

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
)

const (
	length = 5 * time.Minute
	first  = Window(100)
)

var background = context.Background()

// process is an entry or an agent, which counts requests.
type process struct {
	name    string
	counter Counter
}

// machine simulates entries and agents that count requests, and several collectors
// that seal them at the same time, as if each held the duty. Its oracle is the sum
// of all requests.
type machine struct {
	store      *memory.Store
	intake     *fakeIntake
	now        Window
	names      int
	entries    []*process
	agents     []*process
	collectors []*Ledger
	counted    map[Key]Counts
}

func (m *machine) newProcess() *process {
	m.names++
	return &process{name: fmt.Sprint("p", m.names)}
}

func newMachine() *machine {
	m := &machine{
		store:   &memory.Store{},
		intake:  &fakeIntake{accepted: map[string]chicoryrock.UsageReport{}},
		now:     first,
		counted: map[Key]Counts{},
	}
	m.entries = []*process{m.newProcess(), m.newProcess()}
	m.agents = []*process{m.newProcess(), m.newProcess()}
	m.collectors = []*Ledger{{}, {}}
	return m
}

// request runs one request. Its window may be up to two before the current one, as
// for a stream that began long ago.
func (m *machine) request(t *rapid.T) {
	entry := rapid.SampledFrom(m.entries).Draw(t, "entry")
	agent := rapid.SampledFrom(m.agents).Draw(t, "agent")
	key := Key{Entry: entry.name, Agent: agent.name, Workspace: rapid.SampledFrom([]string{"trolley", "lens"}).Draw(t, "workspace")}
	key.Window = max(first, m.now-Window(rapid.IntRange(0, 2).Draw(t, "age")))
	counts := Counts{Requests: 1, PromptTokens: 3, OutputTokens: int64(rapid.IntRange(0, 9).Draw(t, "output"))}
	agent.counter.Add(key, counts)
	entry.counter.Add(key, counts)
	m.counted[key] = m.counted[key].plus(counts)
}

// push sends a process's cells to a collector. The cells may grow before the answer
// arrives, and the answer may be lost.
func (m *machine) push(t *rapid.T) {
	one := rapid.SampledFrom(append(m.entries[:2:2], m.agents...)).Draw(t, "end")
	between := func() {}
	if rapid.Bool().Draw(t, "grows") {
		between = func() { m.request(t) }
	}
	m.pushTo(one, rapid.SampledFrom(m.collectors).Draw(t, "collector"), rapid.Bool().Draw(t, "answered"), between)
}

func (m *machine) pushTo(one *process, ledger *Ledger, answered bool, between func()) {
	if ledger.Load(background, m.store, first) != nil {
		return
	}
	cells := one.counter.Pending(m.now)
	billed := ledger.Merge(cells)
	between()
	if answered {
		one.counter.MarkSealed(cells, billed)
	}
}

// sealWindow lets a collector seal a window that has passed, whether or not it holds
// the duty. Another collector may seal it first, after this one has read the store.
func (m *machine) sealWindow(t *rapid.T) {
	one, other := rapid.SampledFrom(m.collectors).Draw(t, "collector"), rapid.SampledFrom(m.collectors).Draw(t, "other")
	between := func() {}
	if one != other {
		between = func() { m.sealBy(other, func() {}) }
	}
	m.sealBy(one, between)
}

func (m *machine) sealBy(ledger *Ledger, between func()) {
	if ledger.Load(background, m.store, first) == nil && ledger.LastSealed()+1 < m.now {
		between()
		_ = ledger.SealNextWindow(background, m.store, 1)
	}
	_ = ledger.SaveProgress(background, m.store)
}

func (m *machine) send(*rapid.T) {
	_ = SendReports(background, m.store, m.intake, length, 1, func() bool { return true })
}

// crash replaces one of the given processes. A run crashes either entries or agents
// only, so that one process of each pair survives.
func (m *machine) crash(t *rapid.T, ends []*process) {
	ends[rapid.IntRange(0, 1).Draw(t, "which")] = m.newProcess()
}

func (m *machine) fail(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		m.store.Down = true
	case 1:
		m.store.LostPutAnswers = memory.Always
	case 2:
		m.store.DelayedPuts = memory.Always
	case 3:
		m.intake.losesAnswers = true
	default:
		m.intake.unavailable = true
	}
}

func (m *machine) heal(*rapid.T) {
	m.store.Down, m.store.LostPutAnswers, m.store.DelayedPuts = false, 0, 0
	m.intake.losesAnswers, m.intake.unavailable = false, false
}

func (m *machine) reportedByWorkspace() map[string]Counts {
	sums := map[string]Counts{}
	for _, report := range m.intake.accepted {
		sums[report.Workspace] = sums[report.Workspace].plus(Counts{report.Requests, report.PromptTokens, report.OutputTokens})
	}
	return sums
}

func (m *machine) usedByWorkspace() map[string]Counts {
	sums := map[string]Counts{}
	for key, counts := range m.counted {
		sums[key.Workspace] = sums[key.Workspace].plus(counts)
	}
	return sums
}

func (m *machine) check(t *rapid.T) {
	require.False(t, m.intake.sawMismatch, "a window was reported with other figures")
	used := m.usedByWorkspace()
	for name, counts := range m.reportedByWorkspace() {
		require.Equal(t, used[name], used[name].max(counts), "more reported than used by %s", name)
	}
}

// checkRecovery ends all failures. After that a new collector must report exactly
// what was used.
func (m *machine) checkRecovery(t *rapid.T) {
	m.heal(t)
	m.store.DeliverDelayedPuts()
	last := &Ledger{}
	for range 2 {
		for _, one := range append(m.entries[:2:2], m.agents...) {
			m.pushTo(one, last, true, func() {})
		}
		m.now += 2
		for range 12 {
			m.sealBy(last, func() {})
		}
	}
	m.send(t)
	require.Equal(t, m.usedByWorkspace(), m.reportedByWorkspace())
	for _, one := range append(m.entries[:2:2], m.agents...) {
		m.pushTo(one, last, true, func() {})
		require.Empty(t, one.counter.Pending(m.now), "a cell is not in a seal")
	}
	m.check(t)
}

func TestUsageIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		crashing := m.entries
		if rapid.Bool().Draw(t, "agents die") {
			crashing = m.agents
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request,
			"again":   m.request,
			"push":    m.push,
			"repush":  m.push,
			"close":   m.sealWindow,
			"send":    m.send,
			"crash":   func(t *rapid.T) { m.crash(t, crashing) },
			"replace": func(t *rapid.T) { m.collectors[rapid.IntRange(0, 1).Draw(t, "which")] = &Ledger{} },
			"fail":    m.fail,
			"heal":    m.heal,
			"land":    func(*rapid.T) { m.store.DeliverDelayedPuts() },
			"wait": func(*rapid.T) {
				if m.now < first+6 {
					m.now++
				}
			},
			"": m.check,
		})
		m.checkRecovery(t)
	})
}

func TestGrownCellStaysPending(t *testing.T) {
	counter := &Counter{}
	key := Key{Window: first}
	counter.Add(key, Counts{Requests: 1})
	sent := counter.Pending(first)
	counter.Add(key, Counts{Requests: 1})
	counter.MarkSealed(sent, []int{0})
	sent = counter.Pending(first)
	require.Equal(t, []Cell{{key, Counts{Requests: 2}}}, sent)
	counter.MarkSealed(sent, []int{0, 7})
	require.Empty(t, counter.Pending(first))
	counter.Add(key, Counts{OutputTokens: 1})
	require.Len(t, counter.Pending(first+MaxLateWindows+1), 1)
	require.Empty(t, counter.Pending(first+MaxLateWindows+2))
}

func TestLateUsageIsMarked(t *testing.T) {
	store, ledger := &memory.Store{}, &Ledger{}
	key := Key{Entry: "e", Agent: "a", Workspace: "lens", Window: first}
	require.NoError(t, ledger.Load(background, store, first))
	ledger.Merge([]Cell{{key, Counts{2, 10, 20}}})
	require.NoError(t, ledger.SealNextWindow(background, store, 1))
	ledger.Merge([]Cell{{key, Counts{3, 15, 30}}, {Key{"e", "a", "lens", first + 1}, Counts{1, 1, 1}}})
	require.NoError(t, ledger.SealNextWindow(background, store, 1))
	seal, err := ReadSeal(background, store, first+1)
	require.NoError(t, err)
	require.Equal(t, []Line{{Workspace: "lens", Counts: Counts{2, 6, 11}, Late: Counts{1, 5, 10}}}, seal.Lines)
}

// A report that the intake has with other figures must be recorded as a mismatch
// and must not hold up the other reports.
func TestDifferingReport(t *testing.T) {
	store, ledger := &memory.Store{}, &Ledger{}
	taker := &fakeIntake{accepted: map[string]chicoryrock.UsageReport{}}
	require.NoError(t, ledger.Load(background, store, first))
	ledger.Merge([]Cell{{Key{"e", "a", "lens", first}, Counts{2, 10, 20}}, {Key{"e", "a", "shutter", first}, Counts{1, 1, 1}}})
	require.NoError(t, ledger.SealNextWindow(background, store, 1))
	require.NoError(t, ledger.SaveProgress(background, store))
	seal, err := ReadSeal(background, store, first)
	require.NoError(t, err)
	other := seal.Report(seal.Lines[0], length, 0)
	other.Requests++
	taker.accepted[other.ID] = other

	for range 2 {
		require.NoError(t, SendReports(background, store, taker, length, 1, func() bool { return true }))
	}
	require.Len(t, taker.accepted, 2, "the other workspace's report was sent")
	rows, err := Overview(background, store, (first + 1).Start(length), length, 5)
	require.NoError(t, err)
	require.Equal(t, StateSent, rows[0].State)
	require.Equal(t, []string{"lens"}, rows[0].MismatchedWorkspaces)
	require.Equal(t, other, taker.accepted[other.ID], "nothing was reported twice with different figures")
}

func TestOverviewAndForget(t *testing.T) {
	store, ledger := &memory.Store{}, &Ledger{}
	taker := &fakeIntake{accepted: map[string]chicoryrock.UsageReport{}}
	require.NoError(t, ledger.Load(background, store, first))
	ledger.Merge([]Cell{{Key{"e", "a", "lens", first}, Counts{2, 10, 20}}})
	require.NoError(t, ledger.SealNextWindow(background, store, 1))
	require.NoError(t, ledger.SaveProgress(background, store))
	require.NoError(t, SendReports(background, store, taker, length, 1, func() bool { return true }))
	require.NoError(t, ledger.SealNextWindow(background, store, 1))
	require.NoError(t, ledger.SaveProgress(background, store))
	require.NoError(t, SendReports(background, store, taker, length, 1, func() bool { return false }), "an empty window has nothing to send")

	now := (first + 2).Start(length)
	rows, err := Overview(background, store, now, length, 5)
	require.NoError(t, err)
	require.Len(t, rows, 3)
	require.Equal(t, []State{StateSent, StateSent, StateOpen}, []State{rows[0].State, rows[1].State, rows[2].State})
	require.Equal(t, Counts{2, 10, 20}, rows[0].Total)

	require.NoError(t, DeleteWindow(background, store, first))
	require.NoError(t, DeleteWindow(background, store, first), "once more")
	require.Len(t, store.Entries, 2, "the progress and the other seal are left")
	rows, err = Overview(background, store, now, length, 5)
	require.NoError(t, err)
	require.Len(t, rows, 2)
}

// The number of writes for a window must not grow with the number of replicas,
// except by one chunk for every maxChunkCells cells.
func TestWritesForWindow(t *testing.T) {
	for _, replicas := range []int{71, 355, 710} {
		store, ledger := &memory.Store{}, &Ledger{}
		require.NoError(t, ledger.Load(background, store, first))
		for i := range replicas * 9 * 4 {
			ledger.Merge([]Cell{{Key{fmt.Sprintf("entry-%d/%026d", i%320, i), fmt.Sprintf("agent-%d/%026d", i, i), fmt.Sprint("workspace-", i%570), first}, Counts{1, 1000, 1000}}})
		}
		before := store.Writes
		require.NoError(t, ledger.SealNextWindow(background, store, 1))
		require.NoError(t, ledger.SaveProgress(background, store))
		largest := 0
		for _, entry := range store.Entries {
			largest = max(largest, len(entry.Value))
		}
		require.Less(t, largest, 1<<20)
		require.Less(t, float64(store.Writes-before)/length.Seconds(), 100.0)
		t.Logf("%d replicas: %d writes a window, largest value %d bytes", replicas, store.Writes-before, largest)
	}
}

func TestMain(m *testing.M) { property.Run(m, property.Size{Checks: 1000, Steps: 60}) }
