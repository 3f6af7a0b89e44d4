package suspect

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A simulation of many processes before engines that end when they begin to answer certain
// parts. The processes see broken connections only. Engines also end by themselves, alone
// or together; processes are restarted, cut off and lose messages.

const (
	tickTime    = 50 * time.Millisecond
	contactTime = 3 * time.Second
	knownAfter  = 5 // crashes
	allowedRuns = 3 // after the notice
	tellTick    = 6
	compareTick = 10
	keepTick    = 5
)

type simRun struct {
	member    int
	id        string
	candidate Candidate
	begins    int // tick of the first token
	ends      int
	settled   bool
}

type simEngine struct {
	name  string
	until int // down until this tick
	runs  []*simRun
}

type simMessage struct {
	to       int
	due      int
	evidence Evidence
}

type simMember struct {
	tracker  Tracker
	touched  int // last tick at which it was restarted or cut off
	cutUntil int
}

type simFleet struct {
	random   *rand.Rand
	tick     int
	members  []*simMember
	engines  []*simEngine
	messages []simMessage
	kept     Evidence
	keptAt   int
	bad      map[Fingerprint]bool
	number   int

	crashes map[Fingerprint][]int // ticks, by bad part
	runs    map[Fingerprint][]int // ticks at which requests with it were sent by members in touch
	sound   []bool                // whether sound requests were served, in touch and late enough
}

func (f *simFleet) now() time.Time { return noon.Add(time.Duration(f.tick) * tickTime) }

func ticks(d time.Duration) int { return int(d / tickTime) }

func (f *simFleet) inTouch(member int) bool {
	m := f.members[member]
	return f.tick >= m.cutUntil && f.tick-m.touched > ticks(contactTime)
}

func (f *simFleet) tell(from int, evidence Evidence) {
	if evidence.Empty() {
		return
	}
	for to := range f.members {
		copies := 1
		switch f.random.IntN(10) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
		for range copies {
			if to != from && !f.cut(from) && !f.cut(to) {
				f.messages = append(f.messages, simMessage{to, f.tick + 2 + f.random.IntN(6), evidence})
			}
		}
	}
}

func (f *simFleet) cut(member int) bool { return f.tick < f.members[member].cutUntil }

// owner returns the process that grants the trials of a ban, as one sees it.
func (f *simFleet) owner(ban *Ban, asking int) int {
	if f.cut(asking) {
		return asking
	}
	var reached []string
	for i := range f.members {
		if !f.cut(i) {
			reached = append(reached, strconv.Itoa(i))
		}
	}
	owner, _ := strconv.Atoi(ban.Grantor(reached))
	return owner
}

// send sends a request from a member unless that refuses it.
func (f *simFleet) send(member int, candidate Candidate) bool {
	m := f.members[member]
	f.number++
	id := fmt.Sprint(member, "/", f.number)
	verdict := m.tracker.Decide(f.now(), &candidate)
	switch verdict.State {
	case Refused:
		return false
	case Suspect:
		owner := f.owner(&verdict.Ban, member)
		evidence, granted := f.members[owner].tracker.Grant(f.now(), id, &candidate)
		f.keep(owner)
		m.tracker.Merge(f.now(), evidence)
		if !granted {
			return false
		}
	case Clean:
	}
	up := slices.DeleteFunc(slices.Clone(f.engines), func(e *simEngine) bool { return f.tick < e.until })
	if len(up) == 0 {
		return true // it waits: not the tracker's matter
	}
	e := up[f.random.IntN(len(up))]
	begins := f.tick + 1 + f.random.IntN(6)
	e.runs = append(e.runs, &simRun{member: member, id: id, candidate: candidate, begins: begins, ends: begins + 5 + f.random.IntN(30)})
	for _, p := range candidate.Parts {
		if f.bad[p] && f.inTouch(member) {
			f.runs[p] = append(f.runs[p], f.tick)
		}
	}
	return true
}

// end ends an engine.
func (f *simFleet) end(e *simEngine) {
	for _, run := range e.runs {
		f.fail(e, run, true)
	}
	e.runs, e.until = nil, f.tick+ticks(time.Second)+f.random.IntN(60)
}

func (f *simFleet) fail(e *simEngine, run *simRun, crash bool) {
	m := f.members[run.member]
	if m.touched >= run.begins {
		return // the process that sent it has been restarted
	}
	failure := Failure{ID: run.id, Server: e.name, Workspace: run.candidate.Workspace, Request: run.candidate.Request}
	if !run.settled {
		failure.Parts = run.candidate.Parts
	}
	m.tracker.RecordFailure(f.now(), failure)
	if crash {
		failure.Crash = true
		m.tracker.RecordFailure(f.now(), failure)
	}
}

// advance runs what the engines have.
func (f *simFleet) advance() {
	for _, e := range f.engines {
		if crashed := f.crashOf(e); crashed != nil {
			for _, p := range crashed.candidate.Parts {
				if f.bad[p] {
					f.crashes[p] = append(f.crashes[p], f.tick)
				}
			}
			f.end(e)
			continue
		}
		e.runs = slices.DeleteFunc(e.runs, func(run *simRun) bool {
			m := f.members[run.member]
			if m.touched >= run.begins && m.touched > 0 {
				return true
			}
			done := f.tick >= run.ends
			if done || !run.settled && f.tick-run.begins >= ticks(Probation) {
				run.settled = true
				m.tracker.RecordSuccess(f.now(), &run.candidate)
			}
			return done
		})
	}
}

func (f *simFleet) crashOf(e *simEngine) *simRun {
	for _, run := range e.runs {
		if run.begins <= f.tick && slices.ContainsFunc(run.candidate.Parts, func(p Fingerprint) bool { return f.bad[p] }) {
			return run
		}
	}
	return nil
}

// deliver hands over the messages that are due, and has some members compare what they know.
func (f *simFleet) deliver() {
	f.messages = slices.DeleteFunc(f.messages, func(m simMessage) bool {
		if m.due > f.tick {
			return false
		}
		if !f.cut(m.to) {
			f.members[m.to].tracker.Merge(f.now(), m.evidence)
		}
		return true
	})
	for i, m := range f.members {
		if (f.tick+i)%tellTick == 0 {
			f.tell(i, m.tracker.News(f.now()))
		}
		if (f.tick+i)%compareTick != 0 || f.cut(i) {
			continue
		}
		other := f.random.IntN(len(f.members))
		if o := f.members[other]; other != i && !f.cut(other) && o.tracker.Digest(f.now()) != m.tracker.Digest(f.now()) {
			o.tracker.Merge(f.now(), m.tracker.Export(f.now()))
			m.tracker.Merge(f.now(), o.tracker.Export(f.now()))
		}
	}
	if f.tick%keepTick == 0 {
		f.keep(0)
	}
}

// keep writes what a member knows to the store.
func (f *simFleet) keep(member int) {
	if kept := f.members[member].tracker.Keep(f.now()); !kept.Empty() && !f.cut(member) {
		f.kept, f.keptAt = kept, f.tick
	}
}

func (f *simFleet) restart(member int) {
	f.members[member] = &simMember{touched: f.tick}
	f.members[member].tracker.Merge(f.now(), f.kept.Aged(time.Duration(f.tick-f.keptAt)*tickTime))
}

// disturb does something to engines or processes now and then.
func (f *simFleet) disturb(rate float64) {
	if f.random.Float64() >= rate {
		return
	}
	switch f.random.IntN(6) {
	case 0: // an engine ends by itself
		f.end(f.engines[f.random.IntN(len(f.engines))])
	case 1: // several end together
		for range len(f.engines) / 3 {
			f.end(f.engines[f.random.IntN(len(f.engines))])
		}
	case 2:
		f.restart(f.random.IntN(len(f.members)))
	case 3: // one is cut off, or frozen
		m := f.random.IntN(len(f.members))
		f.members[m].cutUntil = f.tick + 20 + f.random.IntN(60)
		f.members[m].touched = f.members[m].cutUntil
	case 4: // a process loses its connections
		m := f.random.IntN(len(f.members))
		for _, e := range f.engines {
			e.runs = slices.DeleteFunc(e.runs, func(run *simRun) bool {
				if run.member == m {
					f.fail(e, run, false)
				}
				return run.member == m
			})
		}
	case 5: // all processes start anew
		if f.random.IntN(4) == 0 {
			for m := range f.members {
				f.restart(m)
			}
		}
	}
}

// setup is what a simulation begins with.
type setup struct {
	seed             uint64
	members, engines int
	two              bool    // two bad parts
	bad, sound       float64 // requests a tick
	trouble          float64 // disturbances a tick
	position         int     // of the bad part
	companion        bool    // an innocent part stands beside the bad one
}

// For any number of processes, and whatever else goes wrong: later than three seconds after
// the fifth crash under a part, three more requests with it are sent at most; and requests
// without it are served.
func TestFleetKeepsCrashingPartsFromEngines(t *testing.T) { playFleets(t, false) }

// The same for two parts at once, which engines often hold together when they end.
func TestFleetKeepsTwoCrashingPartsFromEngines(t *testing.T) { playFleets(t, true) }

// Few engines end all within a tenth of a second of each other, again and again, so that
// most crashes don't count.
func TestFleetKeepsCrashingPartsFromFewEngines(t *testing.T) {
	(&setup{seed: 0x13, members: 12, engines: 5, bad: 0.5, sound: 0.5, trouble: 0.01, position: 2}).play(t)
}

// fleetChecks is how many fleets are played unless RAPID_CHECKS asks for more.
const fleetChecks = 20

func playFleets(t *testing.T, two bool) {
	played := 0
	rapid.Check(t, func(t *rapid.T) {
		if played++; played > fleetChecks && os.Getenv("RAPID_CHECKS") == "" {
			return
		}
		(&setup{
			seed:      rapid.Uint64().Draw(t, "seed"),
			members:   rapid.SampledFrom([]int{1, 2, 6, 6, 12, 12, 36, 103}).Draw(t, "members"),
			engines:   rapid.IntRange(4, 40).Draw(t, "engines"),
			two:       two,
			bad:       rapid.SampledFrom([]float64{0.01, 0.05, 0.2, 0.5}).Draw(t, "bad requests a tick"),
			sound:     rapid.SampledFrom([]float64{0.5, 2, 5}).Draw(t, "sound requests a tick"),
			trouble:   rapid.SampledFrom([]float64{0, 0.01, 0.03}).Draw(t, "disturbances a tick"),
			position:  rapid.IntRange(0, 2).Draw(t, "position of the bad part"),
			companion: rapid.Bool().Draw(t, "companion"),
		}).play(t)
	})
}

// play plays a minute and checks it.
func (s *setup) play(t require.TestingT) {
	f := &simFleet{
		random:  rand.New(rand.NewPCG(s.seed, 1)),
		bad:     map[Fingerprint]bool{part(700): true},
		crashes: map[Fingerprint][]int{},
		runs:    map[Fingerprint][]int{},
	}
	for range s.members {
		f.members = append(f.members, &simMember{touched: -ticks(contactTime) - 1})
	}
	for i := range s.engines {
		f.engines = append(f.engines, &simEngine{name: fmt.Sprint("e", i)})
	}
	if s.two {
		f.bad[part(701)] = true
	}
	for f.tick = 1; f.tick < ticks(time.Minute); f.tick++ {
		f.deliver()
		f.advance()
		f.disturb(s.trouble)
		for range f.count(s.sound) {
			f.sendSound()
		}
		for range f.count(s.bad) {
			if f.tick > ticks(3*time.Second) {
				f.sendBad(s.position, s.companion)
			}
		}
	}
	f.check(t)
}

// check holds what was sent and refused against the promise.
func (f *simFleet) check(t require.TestingT) {
	for p, runs := range f.runs {
		crashes := f.crashes[p]
		if len(crashes) < knownAfter {
			continue
		}
		later := 0
		for _, at := range runs {
			if at > crashes[knownAfter-1]+ticks(contactTime) {
				later++
			}
		}
		require.LessOrEqual(t, later, allowedRuns, "requests with part %d after the notice, %d crashes, %d members", p.PartID(), len(crashes), len(f.members))
	}
	refused := 0
	for _, served := range f.sound {
		if !served {
			refused++
		}
	}
	require.LessOrEqual(t, refused, 2+len(f.sound)/50, "sound requests of %d that were refused", len(f.sound))
}

func (f *simFleet) count(rate float64) int {
	n := int(rate)
	if f.random.Float64() < rate-float64(n) {
		n++
	}
	return n
}

func (f *simFleet) candidate(ids ...uint64) Candidate {
	f.number++
	workspace := fmt.Sprint("w", f.random.IntN(3))
	return Candidate{Workspace: workspace, Request: FingerprintOf(workspace, fmt.Append(nil, f.number)), Parts: parts(ids...)}
}

// sendSound sends a request with a part that many have, and often one that few have.
func (f *simFleet) sendSound() {
	ids := []uint64{uint64(1 + f.random.IntN(3))}
	if f.random.IntN(2) == 0 {
		ids = append(ids, uint64(20+f.random.IntN(40)))
	}
	member := f.random.IntN(len(f.members))
	f.sound = append(f.sound, f.send(member, f.candidate(ids...)))
}

// sendBad sends one that shares a part with sound ones, and may bear an innocent one that
// no other request has.
func (f *simFleet) sendBad(position int, companion bool) {
	ids := []uint64{uint64(1 + f.random.IntN(3)), uint64(20 + f.random.IntN(40))}
	bad := []uint64{700}
	if f.bad[part(701)] && f.random.IntN(2) == 0 {
		bad = []uint64{701}
	}
	if companion {
		bad = append(bad, bad[0]+100)
	}
	ids = slices.Insert(ids, position, bad...)
	f.send(f.random.IntN(len(f.members)), f.candidate(ids...))
}
