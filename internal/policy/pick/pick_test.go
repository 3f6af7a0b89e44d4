package pick_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/pick"
)

var start = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

func newPicker(seed uint64) *pick.Picker {
	return &pick.Picker{Centre: "c0", Region: "r0", Random: rand.New(rand.NewPCG(seed, 2))}
}

// fleet returns replicas of 16 slots, assigned to the data centres in turn. c0 to
// c2 are in region r0, the others in r1. Each replica runs eight requests of other
// entries.
func fleet(count, centres int) []chicoryrock.Replica {
	replicas := make([]chicoryrock.Replica, count)
	for i := range replicas {
		centre := i % centres
		replicas[i] = chicoryrock.Replica{
			Name:       fmt.Sprintf("vm-%d", i),
			Pool:       "small",
			Centre:     fmt.Sprintf("c%d", centre),
			Region:     fmt.Sprintf("r%d", centre/3),
			Slots:      16,
			Running:    8,
			OthersLoad: 8,
			LastSeen:   start,
		}
	}
	return replicas
}

func request() *chicoryrock.Request {
	return &chicoryrock.Request{Pool: "small", Arrived: start, Deadline: start.Add(400 * time.Millisecond), PromptTokens: 100, Idempotent: true}
}

// countPicks picks a number of times and counts the picks by replica. It reports no
// outcome to the picker.
func countPicks(now time.Time, p *pick.Picker, r *chicoryrock.Request, replicas []chicoryrock.Replica, times int) map[string]int {
	got := make(map[string]int)
	for range times {
		if at, found := p.Pick(now, r, replicas); found {
			got[replicas[at].Name]++
		}
	}
	return got
}

// Near replicas are preferred. The link between regions is crossed only to meet a
// deadline, and only if the request still gets across in time.
func TestNearestFirst(t *testing.T) {
	tests := []struct {
		name   string
		full   string // data centres that are full; with "busy" the others have little room
		wait   time.Duration
		prompt int
		missed bool // other requests miss their deadlines in the own region
		want   string
	}{
		{"own centre", "", 0, 100, false, "c0"},
		{"own region when the centre is full", "c0", 0, 100, true, "region"},
		{"wait before crossing", "c0 c1 c2", 0, 100, false, ""},
		{"cross before the target is missed", "c0 c1 c2", 340 * time.Millisecond, 100, false, "far"},
		{"too late to cross", "c0 c1 c2", 395 * time.Millisecond, 100, true, ""},
		{"a document takes too long to cross", "c0 c1 c2", 340 * time.Millisecond, 100_000, true, ""},
		{"cross while others miss theirs", "c0 c1 c2", 0, 100, true, "far"},
		{"a document stays even then", "c0 c1 c2", 0, 30_000, true, ""},
		{"nowhere to cross to", "c0 c1 c2 c3 c4", 0, 100, true, ""},
		{"the other region has little room", "c0 c1 c2 busy", 0, 100, true, ""},
	}
	for _, test := range tests {
		p := newPicker(1)
		replicas := fleet(30, 5)
		p.Sort(replicas)
		now := start.Add(test.wait)
		for i := range replicas {
			replicas[i].LastSeen = now
			if replicas[i].Centre != "c0" {
				replicas[i].OthersLoad = 4
			}
			if strings.Contains(test.full, replicas[i].Centre) {
				replicas[i].OthersLoad = 16
			} else if strings.Contains(test.full, "busy") {
				replicas[i].OthersLoad = 14
			}
		}
		if test.missed {
			p.DeadlineMissed(now, "small")
		}
		r := request()
		r.PromptTokens = test.prompt
		at, found := p.Pick(now, r, replicas)
		got := ""
		switch {
		case found && replicas[at].Centre == "c0":
			got = "c0"
		case found && replicas[at].Region == "r0":
			got = "region"
		case found:
			got = "far"
		}
		assert.Equal(t, test.want, got, test.name)
	}
}

// One replica looks idle to all entries. Together they must not send it more
// requests than it has slots.
func TestEntriesDoNotHerd(t *testing.T) {
	got := 0
	for entry := range 40 {
		p := newPicker(uint64(entry))
		replicas := fleet(20, 1)
		p.Sort(replicas)
		replicas[7].OthersLoad, replicas[7].Running = 0, 0
		at, found := p.Pick(start.Add(10*time.Millisecond), request(), replicas)
		require.True(t, found)
		if at == 7 {
			got++
		}
	}
	assert.LessOrEqual(t, got, 16)
	assert.Positive(t, got)
}

// observeAll reports an observation of each replica. The times of the slow one are
// those of the others multiplied by slowdown.
func observeAll(now time.Time, p *pick.Picker, replicas []chicoryrock.Replica, slow string, slowdown int) {
	for i := range replicas {
		multiple := time.Duration(1)
		if replicas[i].Name == slow {
			multiple = time.Duration(slowdown)
		}
		observation := chicoryrock.Observation{TimeToFirstToken: 100 * time.Millisecond * multiple, TokenInterval: 40 * time.Millisecond * multiple}
		p.Observe(now, "small", replicas[i].Name, observation)
	}
}

// A straggler reports that it is idle, so only the measured times of its answers
// show that it is slow. A probe that is answered quickly reinstates it.
func TestStraggler(t *testing.T) {
	p := newPicker(1)
	replicas := fleet(10, 1)
	p.Sort(replicas)
	replicas[4].OthersLoad = 0
	slow := replicas[4].Name
	now := start
	for range 4 {
		now = now.Add(200 * time.Millisecond)
		observeAll(now, p, replicas, slow, 4)
	}
	nonIdempotent := request()
	nonIdempotent.Idempotent = false
	assert.Zero(t, countPicks(now, p, nonIdempotent, replicas, 300)[slow], "a straggler gets no work")
	now = now.Add(5 * time.Second)
	assert.Zero(t, countPicks(now, p, nonIdempotent, replicas, 300)[slow], "no probe with a call that may not be repeated")
	assert.Equal(t, 1, countPicks(now, p, request(), replicas, 300)[slow], "one probe at a time")
	p.Observe(now, "small", slow, chicoryrock.Observation{TokenInterval: 160 * time.Millisecond})
	assert.Zero(t, countPicks(now.Add(time.Millisecond), p, nonIdempotent, replicas, 300)[slow], "still slow")
	p.Observe(now, "small", slow, chicoryrock.Observation{TokenInterval: 40 * time.Millisecond})
	assert.Positive(t, countPicks(now.Add(10*time.Second), p, nonIdempotent, replicas, 300)[slow], "reinstated")
}

// When all replicas of a pool become equally slow, most of them keep serving.
func TestSlowPoolKeepsServing(t *testing.T) {
	p := newPicker(1)
	replicas := fleet(6, 1)
	p.Sort(replicas)
	for i := range 5 {
		observeAll(start.Add(time.Duration(i)*time.Second), p, replicas, "", 1)
	}
	for i := range replicas {
		for range 8 {
			p.Observe(start.Add(6*time.Second), "small", replicas[i].Name, chicoryrock.Observation{TokenInterval: 400 * time.Millisecond})
		}
	}
	got := countPicks(start.Add(7*time.Second), p, request(), replicas, 300)
	assert.GreaterOrEqual(t, len(got), 4)
}

// A replica that can't be reached gets only probes, at growing intervals.
func TestLost(t *testing.T) {
	p := newPicker(1)
	replicas := fleet(10, 1)
	p.Sort(replicas)
	unreachable := replicas[3].Name
	p.Observe(start, "small", unreachable, chicoryrock.Observation{Failed: true})
	probes := 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if got := countPicks(now, p, request(), replicas, 1)[unreachable]; got > 0 {
			probes++
			p.Observe(now, "small", unreachable, chicoryrock.Observation{Failed: true})
		}
	}
	assert.GreaterOrEqual(t, probes, 2)
	assert.LessOrEqual(t, probes, 8)
}

// A pool that gets no idempotent requests recovers too: when all of its replicas are
// suspended, a request that may not be repeated serves as the probe.
func TestProbeWithoutIdempotentRequests(t *testing.T) {
	p := newPicker(1)
	replicas := fleet(2, 1)
	p.Sort(replicas)
	nonIdempotent := request()
	nonIdempotent.Idempotent = false
	p.Observe(start, "small", replicas[0].Name, chicoryrock.Observation{Failed: true})
	now := start.Add(10 * time.Second)
	assert.Zero(t, countPicks(now, p, nonIdempotent, replicas, 50)[replicas[0].Name], "another replica is available")
	p.Observe(now, "small", replicas[1].Name, chicoryrock.Observation{Failed: true})
	assert.Empty(t, countPicks(now, p, nonIdempotent, replicas[1:], 1), "not at once")
	now = now.Add(10 * time.Second)
	assert.Len(t, countPicks(now, p, nonIdempotent, replicas, 1), 1)
}

// A replica that joins a running pool may use only part of its slots at first.
func TestSlowStart(t *testing.T) {
	p := newPicker(1)
	replicas := fleet(10, 1)
	p.Sort(replicas)
	replicas[2].SlowStart = true
	replicas[2].OthersLoad = 0
	for range 2000 {
		if at, found := p.Pick(start, request(), replicas); found {
			replicas[at].Open++
		}
	}
	assert.LessOrEqual(t, replicas[2].Open, 4, "a quarter of its slots at first")
	assert.Equal(t, 8, replicas[1].Open, "the others fill up")
	_, found := p.Pick(start.Add(10*time.Second), request(), replicas)
	assert.True(t, found, "all of its slots later")
}

// Requests with the same prefix go to the same replica until that one is too busy.
func TestPrefix(t *testing.T) {
	p := newPicker(1)
	replicas := fleet(20, 1)
	p.Sort(replicas)
	r := request()
	r.PrefixHash = 42
	got := countPicks(start, p, r, replicas, 100)
	require.Len(t, got, 1)
	for i := range replicas {
		if got[replicas[i].Name] > 0 {
			replicas[i].OthersLoad = 15
		}
	}
	for name := range countPicks(start, p, r, replicas, 100) {
		assert.NotContains(t, got, name)
	}
}

// Guards against requests that leave the regions that they are bound to, and against requests
// to evacuated replicas, on any of the ways to a replica.
func TestPickKeepsToRegionsAndEvacuations(t *testing.T) {
	p := newPicker(1)
	replicas := fleet(60, 5)
	for i := range replicas {
		replicas[i].Evacuated = replicas[i].Centre == "c0" || replicas[i].Centre == "c4"
	}
	p.Sort(replicas)
	r := request()
	r.PrefixHash = 42
	for name := range countPicks(start, p, r, replicas, 300) {
		assert.NotContains(t, evacuatedOf(replicas), name)
	}
	r.Regions = []string{"r1"}
	got := countPicks(start, p, r, replicas, 300)
	assert.Len(t, got, 12, "all of c3")
	for i := range replicas {
		if replicas[i].Centre != "c3" {
			assert.NotContains(t, got, replicas[i].Name)
		}
	}
	r.Suspect = true
	for name := range countPicks(start, p, r, replicas, 10) {
		assert.Contains(t, got, name)
	}
	r.Regions = []string{}
	assert.Empty(t, countPicks(start, p, r, replicas, 10))
}

func evacuatedOf(replicas []chicoryrock.Replica) (names []string) {
	for i := range replicas {
		if replicas[i].Evacuated {
			names = append(names, replicas[i].Name)
		}
	}
	return names
}

func TestPickDoesNotAllocate(t *testing.T) {
	p := newPicker(1)
	replicas := fleet(710, 5)
	p.Sort(replicas)
	r := request()
	r.PrefixHash = 42
	assert.Zero(t, testing.AllocsPerRun(1000, func() { p.Pick(start, r, replicas) }))
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{7, 71, 710} {
		for _, load := range []int{8, 16} {
			b.Run(fmt.Sprintf("replicas=%d/others=%d", count, load), func(b *testing.B) {
				p := newPicker(1)
				replicas := fleet(count, 5)
				p.Sort(replicas)
				for i := range replicas {
					replicas[i].OthersLoad = load
				}
				observeAll(start, p, replicas, "", 1)
				r := request()
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					r.PrefixHash = uint64(i % 50)
					p.Pick(start.Add(time.Millisecond), r, replicas)
				}
			})
		}
	}
}

// A replica with the same token interval as the others is not a straggler when its
// first tokens come late, because those requests waited for a slot.
func TestWaitForSlotIsNotSlow(t *testing.T) {
	p := newPicker(1)
	replicas := fleet(10, 1)
	p.Sort(replicas)
	for i := range replicas {
		first := 60 * time.Millisecond
		if i == 3 {
			first = 400 * time.Millisecond
		}
		for step := range 8 {
			now := start.Add(time.Duration(step) * 200 * time.Millisecond)
			p.Observe(now, "small", replicas[i].Name, chicoryrock.Observation{TokenInterval: 40 * time.Millisecond})
			p.Observe(now, "small", replicas[i].Name, chicoryrock.Observation{TimeToFirstToken: first})
		}
	}
	got := countPicks(start.Add(2*time.Second), p, request(), replicas, 300)
	assert.Positive(t, got[replicas[3].Name])
}
