package place

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// chunk is how many tokens of prompts an engine reads between two tokens of its
	// streams, the usual setting of engines that read in chunks.
	chunk = 1024
	// longPrompt is the length from which a prompt takes several chunks, tokens.
	longPrompt = 2200
	// gapShare is what of a pause beside long prompts goes to reading them. The rest
	// goes to the steps of the batch themselves and to attention over long contexts.
	gapShare = 0.8
	// pauseShare is the share of long streams whose longest pause is to be below
	// what short ones allow, for reading to count as harmless to these.
	pauseShare = 0.6
	// pauseStep is how far one observation moves the estimate of that pause at
	// least, as a share of it; the first ones move it further.
	pauseStep = 0.02
	// guessPauses is how many observations the arithmetic counts for at first.
	guessPauses = 2
	// surePauses is after how many observations that pause is half trusted.
	surePauses = 40
	// harmless is how far below what streams allow the pauses must be before the
	// sides are given up, as a share.
	harmless = 0.93
	// readerLoad is the share of their time that the replicas that read long
	// prompts are to be busy with it: more, and prompts wait for each other.
	readerLoad = 0.30
	// streamLoad is the share of their time that the replicas with the streams are
	// to be busy reading short prompts.
	streamLoad = 0.18
	// mostReaderLoad, mostStreamLoad and mostSlots are the shares at which either
	// side still works, though with waits.
	mostReaderLoad, mostStreamLoad, mostSlots = 0.85, 0.5, 0.95
	// streamWeight is how much more the streams' side counts than the readers'.
	streamWeight = 1.3
	// slotLoad is the share of their slots that either side is to use.
	slotLoad = 0.85
	// settle is how long the number of readers stays once it has changed, so that
	// what they have in memory is used.
	settle = 700 * time.Millisecond
	// rush is how long it stays at least while more are needed: prompts wait then.
	rush = 500 * time.Millisecond
	// slack is how many readers more than needed are kept before one is let go.
	slack = 1
	// harm is what a long prompt on a replica costs for each stream there that it
	// would make late, as a share of its target.
	harm = 0.05
	// turnTime is how long a replica that becomes a reader has for its streams to
	// end before long prompts come without hesitation.
	turnTime = 2 * time.Second
	// demandWindow is over how long the need for readers is averaged.
	demandWindow = 3 * time.Second
	// wrongSide is what a replica of the other side costs, as a share of a
	// request's target.
	wrongSide = 0.6
	// fastest is the largest share of a pool that begins to read long prompts at once,
	// and release that which ends: half as fast, as what it has in memory of them is
	// lost.
	fastest, release = 0.16, 0.08
)

// sides divides a pool into replicas that read long prompts and those that run
// the streams with short ones.
type sides struct {
	order   []*replica // the live ones, by the hash of their names
	readers int        // how many of them, from the start, read long prompts
	stale   bool       // the order has changed since the readers were last set
	changed time.Time
	gap     time.Duration // longest pause that the streams with short prompts allow

	reading float64 // time for long prompts that this process asks for, seconds a second
	brief   float64 // the same for short ones
	pause   float64 // that pauseShare of the long streams stay below, milliseconds
	pauses  int     // streams that the estimate comes from
	heard   heard   // the others' estimates of it
	apart   bool    // long prompts and streams are kept on different replicas
	mixed   mixed   // how streams fare where they are not
	at      time.Time
	others  float64 // for long prompts, of the other processes
	briefs  float64 // for short ones, of the other processes
	long    int     // requests with long prompts that the others have open
	short   int     // the others' rest
}

// long says whether a prompt is read in several chunks.
func long(request *chicoryrock.Request) bool { return request.PromptTokens >= longPrompt }

// The names under which processes tell of a pool's sides.
const (
	longName  = "/long"
	shortName = "/short"
)

// loads returns what this process asks of the sides, for the others. The time
// for reading is told in thousandths.
func (s *sides) loads(now time.Time, t *pool) []chicoryrock.OpenLoad {
	s.decay(now)
	return []chicoryrock.OpenLoad{
		{KeyHash: hashOf(t.name + longName), Running: t.longs, UnreadTokens: int(1000 * s.reading)},
		{KeyHash: hashOf(t.name + shortName), Running: len(t.jobs) - t.longs, UnreadTokens: int(1000 * s.brief)},
	}
}

// hear takes in what the others ask.
func (s *sides) hear(t *pool, others map[uint32]chicoryrock.OpenLoad) {
	of := others[hashOf(t.name+longName)]
	s.others = float64(of.UnreadTokens) / 1000
	s.long = of.Running
	of = others[hashOf(t.name+shortName)]
	s.briefs = float64(of.UnreadTokens) / 1000
	s.short = of.Running
}

func (s *sides) decay(now time.Time) {
	if !s.at.IsZero() && now.After(s.at) {
		kept := math.Exp(-now.Sub(s.at).Seconds() / demandWindow.Seconds())
		s.reading *= kept
		s.brief *= kept
	}
	s.at = now
}

// arrange sets which replicas read long prompts. All processes order the replicas
// alike and hear of the same work, so that they agree about.
func (t *pool) arrange(now time.Time, request *chicoryrock.Request) {
	s := &t.sides
	s.decay(now)
	if !long(request) && request.MaxTokenGap > 0 {
		s.gap = request.MaxTokenGap
	}
	t.separate(now)
	if !s.move(now, s.wanted(t)) && !s.stale {
		return
	}
	s.stale = false
	for place, r := range s.order {
		if reads := place < s.readers; reads != r.reader {
			r.reader = reads
			r.since = now
		}
	}
}

// needs are how many replicas each side asks for: so that it works at all, and so
// that it is at ease.
type needs struct {
	readers, easyReaders float64
	streams, easyStreams float64
}

func (s *sides) needs(t *pool) needs {
	slots := float64(max(t.slots, 1))
	reading, brief := s.reading+s.others, s.brief+s.briefs
	longs, shorts := float64(t.longs+s.long), float64(len(t.jobs)-t.longs+s.short)
	var n needs
	n.readers = max(reading/mostReaderLoad, longs/(mostSlots*slots))
	n.easyReaders = max(n.readers, reading/readerLoad, longs/(slotLoad*slots))
	n.streams = streamWeight * max(brief/mostStreamLoad, shorts/(mostSlots*slots))
	n.easyStreams = max(n.streams, streamWeight*max(brief/streamLoad, shorts/(slotLoad*slots)))
	return n
}

// over is how many of so many replicas are left when each side has what it needs.
func (n *needs) over(all int) float64 { return float64(all) - n.readers - n.streams }

// wanted is the number of readers that the work asks for. Both sides get what they
// need at least, the streams first where that is too much already; what is left
// over is shared by what each would need to be at ease.
func (s *sides) wanted(t *pool) int {
	n := s.needs(t)
	all := float64(len(s.order))
	readers := n.easyReaders
	switch over := n.over(len(s.order)); {
	case over <= 0:
		readers = all * n.readers / (n.readers + n.streams)
	case n.easyReaders+n.easyStreams > all:
		more, moreStreams := n.easyReaders-n.readers, n.easyStreams-n.streams
		readers = n.readers + over*more/(more+moreStreams)
	}
	return max(1, min(int(math.Ceil(readers)), len(s.order)-1))
}

// read notes that a prompt was placed that takes so long to read, milliseconds.
func (s *sides) read(now time.Time, long bool, ms float64) {
	s.decay(now)
	rate := ms / 1000 / demandWindow.Seconds()
	if long {
		s.reading += rate
	} else {
		s.brief += rate
	}
}

// move lets the number of readers follow, a few at a time, and says whether it
// has changed.
func (s *sides) move(now time.Time, wanted int) bool {
	switch {
	case s.readers == 0 || s.readers > len(s.order):
		s.readers = max(wanted, len(s.order)/3)
	case wanted > s.readers && now.Sub(s.changed) >= rush:
		s.readers = min(wanted, s.readers+max(1, int(fastest*float64(len(s.order)))))
	case wanted < s.readers-slack && now.Sub(s.changed) >= settle:
		s.readers = max(wanted+slack, s.readers-max(1, int(release*float64(len(s.order)))))
	default:
		return false
	}
	s.changed = now
	return true
}

// homes are the replicas where a request's session belongs: of those of its side,
// the two with the highest hash of both. All processes send it there while they
// can, so that both have it in memory.
type homes struct {
	first, second string
	holders       [holderCount]holder // those that have read its parts lately, the last first
	now           time.Time
}

func (t *pool) homes(now time.Time, request *chicoryrock.Request) homes {
	id, found := session(request)
	if !found {
		return homes{}
	}
	h := homes{now: now, holders: t.holders[short(id)]}
	side := t.side(request)
	if len(side) > neighbours {
		// Looking at a few only, round a place that the session gives, is as quick in
		// a large pool as in a small one.
		from := int(mix(id, 0) % uint64(len(side)-neighbours+1))
		side = side[from : from+neighbours]
	}
	var highest, next uint64
	for _, one := range side {
		switch score := mix(id, one.rank); {
		case score >= highest:
			h.second, next = h.first, highest
			h.first, highest = one.name, score
		case score >= next:
			h.second, next = one.name, score
		}
	}
	return h
}

// side returns the replicas of a request's side: all of them where long prompts do no
// harm.
func (t *pool) side(request *chicoryrock.Request) []*replica {
	all := t.sides.order
	if !t.harmed() {
		return all
	}
	readers := min(t.sides.readers, len(all))
	if long(request) {
		return all[:readers]
	}
	return all[readers:]
}

// neighbours is among how many replicas a session's homes are chosen.
const neighbours = 64

// trust is the share of a session's part that a replica is taken to have in memory
// although this process has sent none there.
func (h *homes) trust(r *replica) float64 {
	trust := 0.0
	switch r.name {
	case h.first:
		trust = firstTrust
	case h.second:
		trust = secondTrust
	}
	for _, known := range h.holders {
		if known.server == r.hash {
			return max(trust, known.trust(h.now))
		}
	}
	return trust
}

// apart is what speaks against a replica of the other side, and against making
// the streams of a replica late, milliseconds.
func (t *pool) apart(now time.Time, request *chicoryrock.Request, r *replica) float64 {
	if !t.harmed() {
		return 0
	}
	target := milliseconds(request.FirstTokenTarget)
	reads := long(request)
	cost := 0.0
	if reads {
		cost = harm * float64(r.fragile+r.others.GapSensitive) * target
	}
	switch {
	case reads != r.reader:
		cost += wrongSide * target
	case reads && now.Sub(r.since) < turnTime:
		cost += wrongSide * target * (1 - float64(now.Sub(r.since))/float64(turnTime))
	}
	return cost
}

// paused takes in the longest pause of a stream with a long prompt, milliseconds.
// Such streams run where long prompts are read.
func (t *pool) paused(ms float64) {
	s := &t.sides
	pause := t.ownPause()
	s.pauses++
	step := max(pauseStep, 1/float64(guessPauses+s.pauses)) * pause
	if ms > pause {
		s.pause = pause + step*pauseShare
	} else {
		s.pause = pause - step*(1-pauseShare)
	}
}

// ownPause is the longest pause that most streams beside long prompts stay below,
// milliseconds: as this process saw it, or before that by arithmetic.
func (t *pool) ownPause() float64 {
	if t.sides.pauses == 0 {
		return float64(t.stride) * chunk * t.pace.perToken() / gapShare
	}
	return t.sides.pause
}

// usualPause is ownPause with what the others saw.
func (t *pool) usualPause() float64 {
	return t.sides.heard.blend(t.ownPause(), float64(min(t.sides.pauses, maxWeight)))
}

// sureness is how much of the harm counts for whether a request is placed at all,
// from 0 to 1: a guess keeps prompts and streams apart while it can, but is no
// reason to refuse.
func (t *pool) sureness() float64 {
	seen := float64(t.sides.pauses) + t.sides.heard.weight
	return seen / (seen + surePauses)
}

// harmed says whether reading long prompts makes the pauses of a pool's streams
// too long, so that the sides are kept.
func (t *pool) harmed() bool { return t.sides.apart }

// separate decides that.
func (t *pool) separate(now time.Time) {
	s := &t.sides
	if s.gap == 0 {
		return // no stream that could be harmed has been seen
	}
	allowed := milliseconds(s.gap)
	pause := t.usualPause()
	// With too few replicas for both sides, keeping them makes prompts wait that
	// would be in time on the others'.
	n := s.needs(t)
	crowded := n.over(len(s.order)) <= 0
	switch {
	case s.apart:
		if pause <= harmless*allowed && (crowded || !now.Before(s.mixed.until)) {
			s.apart = false
			s.mixed.start()
		}
	case pause > allowed:
		s.apart = true
	case !crowded && s.mixed.harms():
		s.apart = true
		s.mixed.stop(now)
	}
}
