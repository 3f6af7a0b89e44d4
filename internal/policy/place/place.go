// Package place chooses the backend server for a request by prediction: when its
// first token would come there, what of its prompt need not be read again, and
// what reading it would do to the streams that run beside it.
//
// An engine reads prompts in chunks between the tokens of the streams that it
// runs. A long prompt therefore slows every stream of its engine for as long as it
// is read, and where that makes their pauses too long, long prompts and streams
// are kept on different engines. How many engines read long prompts follows the
// work that there is.
//
// A request that could not begin in time anywhere is not placed: it waits in its
// queue, and is refused when its time there is over.
//
// The package does no I/O and takes the present time as an argument. It is not
// safe for concurrent use.
package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

// Placer implements chicoryrock.Picker. Set the exported fields before use.
type Placer struct {
	Centre string
	Region string
	// SlotsPerEngine returns how many requests an engine of a pool runs at once, and Strides
	// how many tokens an event of its streams holds; zero for a pool without engines.
	SlotsPerEngine func(pool string) int
	TokensPerEvent func(pool string) int
	// FetchTimePerToken returns how long an engine takes to fetch a token of a prompt from
	// another's memory; zero where engines can't.
	FetchTimePerToken func(pool string) time.Duration
	// Seed begins the sequence by which replicas are drawn: another one in each process.
	Seed uint64

	pools     map[string]*pool
	reads     []chicoryrock.CachedPrefix // to be told
	processes int
	told      time.Time // when others were last taken in
}

var _ chicoryrock.Picker = (*Placer)(nil)

// pool is what was learned of one pool.
type pool struct {
	name     string
	slots    int
	stride   int
	replicas map[string]*replica
	listed   []*replica // in the order of the list
	pace     pace
	hold     hold
	sides    sides
	reserve  reserve
	jobs     map[*chicoryrock.Request]*job
	free     []*job // of requests that have ended
	oversize oversize
	longs    int // of jobs, those with long prompts
	known    bool
	drawn    uint64                         // the last number of the sequence that draw goes on with
	fetch    float64                        // time to fetch a token from another engine, milliseconds; zero for never
	holders  map[uint32][holderCount]holder // by the session's part, in short
	byHash   map[uint32]*replica
}

// replica is what was learned of one replica.
type replica struct {
	name    string
	hash    uint32 // by which processes tell of it
	rank    uint64 // in the order of the pool
	at      int    // its place in the list of replicas
	place   int    // in the order of the pool, from its end
	open    int    // requests of this process there
	unread  []*job // of these, those that have had no token
	fragile int    // of these, streams with short prompts
	cache   cache
	speed   float64 // observed against predicted time to the first token, smoothed
	failed  int     // failures in a row
	until   time.Time
	leaving bool
	cold    time.Time // it is slow until then
	reader  bool      // it reads long prompts
	since   time.Time // when that last changed

	others  chicoryrock.OpenLoad // what the other processes have open here
	backlog float64              // tokens of this process's requests that are yet to be read
	counted time.Time            // when backlog was summed
}

// job is a request of this process on a replica.
type job struct {
	request *chicoryrock.Request
	on      *replica
	sent    time.Time
	unread  float64 // tokens that the engine has to read
	ahead   float64 // tokens that it had to read before
	begun   bool
	plain   bool
	long    bool
	sure    bool // unread is known, and nothing was ahead
	choice  Placement
}

const (
	// firstSpeed is what a replica starts with: as fast as predicted.
	firstSpeed = 1
	// speedSmoothing is the weight of a new observation of a replica's speed.
	speedSmoothing = 0.08
	// minSpeed and maxSpeed bound what one observation can say of a speed.
	minSpeed, maxSpeed = 0.4, 6
	// pauseBase is how long a replica is passed over after its first failure; each
	// further one in a row doubles it, up to pauseMost.
	pauseBase = 300 * time.Millisecond
	pauseMost = 4 * time.Second
	// crossCentre and crossRegion are added to the predicted time of a replica
	// elsewhere: the way there and back, and what its bytes cost.
	crossCentre = 6 * time.Millisecond
	crossRegion = 45 * time.Millisecond
	// crossBytes is added for each token of the prompt that goes to another region.
	crossBytes = 4 * time.Microsecond
	// rereadWeight is how much the time to read shared parts again counts beside
	// the request's own wait: other prompts wait for it too.
	rereadWeight = 3.0
	// lookAt is how many replicas are looked at for one request at most where none of
	// the few is good enough.
	lookAt = 48
	// few is how many replicas of its side are looked at for a request, besides those
	// that know its session: what other processes have sent since they last told is not
	// known, and if all of them looked at all replicas, all would choose the same one.
	few = 8
	// sureTokens is how many tokens of a prompt may be in doubt for its time to say
	// something of the engine's pace: about a chunk's tenth.
	sureTokens = 100
	// coldSpeed is how much slower than it will be a replica is taken to be that says
	// that it is cold: caches that are empty cost about half of the time again.
	coldSpeed = 1.5
	// busySlot is what one more running request adds to the time of a plain
	// service's replica.
	busySlot = 8 * time.Millisecond
	// admitShare is the predicted time to the first token, as a share of the
	// target, beyond which a request is not placed.
	admitShare = 0.95
	// waitShare is how much of its target an oversize request may wait behind others:
	// one that is late by the length of its own prompt.
	waitShare = 0.35
)

// Pick implements chicoryrock.Picker. The request counts as sent to the replica
// that is returned.
func (p *Placer) Pick(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	t := p.pool(request.Pool)
	engine := request.PromptTokens > 0
	if !t.known {
		t.setReplicas(replicas)
	}
	if engine {
		t.arrange(now, request)
		t.bind(now, request)
	}
	home := t.homes(now, request)
	best, cost, soonest := -1, math.Inf(1), 0.0
	limit, wait, sure, taken := math.Inf(1), 0.0, t.sureness(), 0.0
	if engine {
		limit = admitShare * milliseconds(request.FirstTokenTarget)
		wait = waitShare * milliseconds(request.FirstTokenTarget)
		t.oversize.fill(now, overShare*float64(len(t.sides.order))/float64(max(p.processes, 1)))
	}
	sound, bestSound := false, false
	look := func(i int) {
		if replicas[i].Leaving {
			return
		}
		r := t.at(i, &replicas[i])
		well := !now.Before(r.until)
		sound = sound || well
		f := p.predict(now, t, request, r, &replicas[i], home, engine)
		spared := true
		if over, firm := t.over(r, f.busy); engine && over > 0 {
			spared = !firm
			f.extra += milliseconds(request.FirstTokenTarget)
		}
		fits := spared && f.first+sure*f.harm <= limit
		large := spared && !fits && t.oversize.allows(f.own) && f.first+sure*f.harm <= f.own+wait
		if (fits || large) && f.first+f.harm+f.extra < cost {
			best, cost, soonest, taken = i, f.first+f.harm+f.extra, f.first, 0
			bestSound = well
			if large {
				taken = f.own
			}
		}
	}
	if engine {
		t.some(request, replicas, home, look)
	}
	if best < 0 || engine && !bestSound {
		t.each(replicas, home, look)
	}
	// One that has just failed is better than none, but not than to wait for those
	// that are well.
	if best < 0 || engine && sound && !bestSound {
		return 0, false
	}
	t.oversize.take(taken)
	var from *replica
	if engine {
		from = t.source(now, request, t.replica(replicas[best].Name), home)
	}
	j := t.send(now, request, &replicas[best], home, engine)
	j.choice = Placement{
		TimeToFirstToken: duration(soonest),
		UnreadTokens:     int(j.unread),
		BacklogTokens:    int(j.ahead),
		OpenRequests:     j.on.all(),
		Slowdown:         j.on.speed,
		TakesLongPrompts: j.on.reader,
		PeerLoadAge:      now.Sub(p.told),
		Replicas:         len(replicas),
	}
	if from != nil {
		j.choice.FetchFrom = from.name
	}
	return best, true
}

func (p *Placer) pool(name string) *pool {
	if t, found := p.pools[name]; found {
		return t
	}
	if p.pools == nil {
		p.pools = make(map[string]*pool)
	}
	t := &pool{
		name:     name,
		replicas: make(map[string]*replica),
		pace:     newPace(),
		drawn:    p.Seed,
		jobs:     make(map[*chicoryrock.Request]*job),
	}
	p.describe(t)
	p.pools[name] = t
	return t
}

// describe takes in what the configuration says of a pool's engines.
func (p *Placer) describe(t *pool) {
	if p.SlotsPerEngine != nil {
		t.slots = p.SlotsPerEngine(t.name)
	}
	if p.TokensPerEvent != nil {
		t.stride = p.TokensPerEvent(t.name)
	}
	if p.FetchTimePerToken != nil {
		t.fetch = milliseconds(p.FetchTimePerToken(t.name))
	}
}

func (t *pool) replica(name string) *replica {
	if r, found := t.replicas[name]; found {
		return r
	}
	r := &replica{
		name:  name,
		hash:  hashOf(name),
		speed: firstSpeed,
		rank:  xxhash.Sum64String(name),
	}
	t.replicas[name] = r
	return r
}

// at is replica for one whose place in the list is known.
func (t *pool) at(i int, known *chicoryrock.Replica) *replica {
	if i < len(t.listed) && t.listed[i].name == known.Name {
		return t.listed[i]
	}
	return t.replica(known.Name)
}

// hashOf is the short hash of a name by which processes tell of it.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name) >> 32) }

// all is how many requests all processes have on a replica, about.
func (r *replica) all() int { return r.open + r.others.Running }

// waiting estimates the tokens of this process's requests that a replica has yet
// to read.
func (r *replica) waiting(now time.Time, t *pool) float64 {
	if r.counted.Equal(now) {
		return r.backlog
	}
	r.counted = now
	r.backlog = 0
	for _, j := range r.unread {
		r.backlog += j.left(milliseconds(now.Sub(j.sent)), t.pace.perToken()*r.speed, t.pace.base()*r.speed)
	}
	return r.backlog
}

// left estimates how many tokens of a prompt are yet to be read so long after it was
// sent. One whose first token is overdue has waited for more than was known: it is
// taken not to have been read at all.
func (j *job) left(elapsed, perToken, base float64) float64 {
	if elapsed > base+(j.ahead+j.unread)*perToken {
		return j.unread
	}
	done := elapsed/perToken - j.ahead
	return max(0, j.unread-max(0, done))
}

// slotWait is the time until a replica has a slot for one more, milliseconds.
func (t *pool) slotWait(r *replica) float64 {
	over := float64(r.all() + 1 - t.slots)
	if t.slots == 0 || over <= 0 {
		return 0
	}
	return over / float64(t.slots) * t.hold.mean()
}

func (t *pool) send(now time.Time, request *chicoryrock.Request, known *chicoryrock.Replica, home homes, engine bool) *job {
	t.end(now, request)
	r := t.replica(known.Name)
	j := t.newJob()
	*j = job{request: request, on: r, sent: now, plain: !engine, long: long(request)}
	if engine {
		j.unread, _ = r.cache.unread(request, home.trust(r))
		t.sides.read(now, j.long, j.unread*t.pace.perToken())
		j.ahead = r.waiting(now, t) + float64(r.others.UnreadTokens)
		cold, _ := r.cache.unread(request, 0)
		j.sure = j.ahead == 0 && cold-j.unread < sureTokens
		r.cache.add(request)
	}
	r.open++
	if engine {
		r.unread = append(r.unread, j)
	}
	if j.long {
		t.longs++
	}
	r.fragile += j.fragile()
	r.counted = time.Time{}
	t.jobs[request] = j
	return j
}

func (t *pool) newJob() *job {
	last := len(t.free) - 1
	if last < 0 {
		return &job{}
	}
	reused := t.free[last]
	t.free = t.free[:last]
	return reused
}

// end takes a request off its replica. The job is used again for the next request.
func (t *pool) end(now time.Time, request *chicoryrock.Request) *job {
	j := t.jobs[request]
	if j == nil {
		return nil
	}
	delete(t.jobs, request)
	j.on.open--
	j.on.read(j)
	if j.long {
		t.longs--
	}
	j.on.fragile -= j.fragile()
	if j.begun {
		t.hold.add(milliseconds(now.Sub(j.sent)))
	}
	t.free = append(t.free, j)
	return j
}

// read notes that a job waits for its first token no more.
func (r *replica) read(j *job) {
	r.counted = time.Time{}
	if at := slices.Index(r.unread, j); at >= 0 {
		r.unread = slices.Delete(r.unread, at, at+1)
	}
}

// fragile is 1 for a stream that long prompts beside it would make late.
func (j *job) fragile() int {
	if j.long || j.plain || j.request.MaxTokenGap <= 0 {
		return 0
	}
	return 1
}

// RecordFirstToken takes in that a request's first token, or its answer, has come.
func (p *Placer) RecordFirstToken(now time.Time, request *chicoryrock.Request) {
	t := p.pool(request.Pool)
	j := t.jobs[request]
	if j == nil || j.begun {
		return
	}
	r := j.on
	r.failed = 0
	r.until = time.Time{}
	j.begun = true
	r.read(j)
	took := milliseconds(now.Sub(j.sent))
	expected := milliseconds(busySlot) * float64(r.open)
	if !j.plain {
		p.readBy(now, t, request, r)
		work := j.ahead + j.unread
		expected = t.pace.base() + work*t.pace.perToken()
		if j.sure {
			t.pace.learn(work, took/r.speed)
		}
	}
	ratio := min(max(took/max(expected, 1), minSpeed), maxSpeed)
	r.speed += speedSmoothing * (ratio - r.speed)
}

// RecordEnd takes in that a request has left its replica. Pause is the longest between
// two of its events, zero when it had too few. Failed says that the replica is to
// blame.
func (p *Placer) RecordEnd(now time.Time, request *chicoryrock.Request, pause time.Duration, failed bool) {
	t := p.pool(request.Pool)
	j := t.end(now, request)
	if j != nil && j.long && pause > 0 {
		t.paused(milliseconds(pause))
	}
	if j != nil && j.fragile() > 0 && pause > 0 && !t.harmed() {
		t.sides.mixed.add(pause > request.MaxTokenGap)
	}
	if j == nil || !failed {
		return
	}
	r := j.on
	if !j.begun {
		r.cache.remove(request)
	}
	r.failed++
	r.until = now.Add(min(pauseBase<<min(r.failed-1, 8), pauseMost))
}

// SetReplicas tells the replicas of a pool. What was learned of those that are no
// longer among them is dropped.
func (p *Placer) SetReplicas(name string, replicas []chicoryrock.Replica) {
	t := p.pool(name)
	// The configuration may have come, or changed, since the pool was first seen.
	p.describe(t)
	t.setReplicas(replicas)
}

func (t *pool) setReplicas(replicas []chicoryrock.Replica) {
	t.known = len(replicas) > 0
	here := make(map[string]bool, len(replicas))
	t.sides.order = t.sides.order[:0]
	t.listed = t.listed[:0]
	t.byHash = make(map[uint32]*replica, len(replicas))
	for i := range replicas {
		r := t.replica(replicas[i].Name)
		r.at = i
		t.listed = append(t.listed, r)
		t.byHash[r.hash] = r
		r.leaving = replicas[i].Leaving
		r.cold = replicas[i].ColdUntil
		here[r.name] = true
		if !replicas[i].Leaving {
			t.sides.order = append(t.sides.order, r)
		}
	}
	t.sides.stale = true
	slices.SortFunc(t.sides.order, func(a, b *replica) int { return cmp.Compare(a.rank, b.rank) })
	for i, r := range t.sides.order {
		r.place = len(t.sides.order) - 1 - i
	}
	for name, r := range t.replicas {
		if !here[name] && r.open == 0 {
			delete(t.replicas, name)
		}
	}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
