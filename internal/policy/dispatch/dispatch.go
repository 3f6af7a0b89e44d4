// Package dispatch matches waiting requests with backend servers. For each pool it
// holds a queue and this entry's view of the pool's replicas, from which a Picker
// chooses. It does no input or output and takes the time as an argument, so that
// the same code runs in an entry, in trace replay and under fuzzing.
package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// fullReportTTL is how long an agent's report that it is full keeps this entry from
// sending it requests. Without this limit, an entry with nothing open on a replica
// would get no report that the replica has a free slot again.
const fullReportTTL = 50 * time.Millisecond

// Grant assigns one request to one replica.
type Grant struct {
	Request *chicoryrock.Request
	Replica chicoryrock.Replica
}

// Dispatcher matches requests with replicas. It is not safe for concurrent use.
type Dispatcher struct {
	NewQueue func(pool string) chicoryrock.Queue
	Picker   chicoryrock.Picker

	pools map[string]*pool // by name
}

type pool struct {
	queue          chicoryrock.Queue
	suspects       suspects
	replicas       []chicoryrock.Replica
	failedReplicas map[string][]string // by request ID, the replicas that already failed it
}

// SetReplicas replaces the list of a pool's replicas. A replica that was in the old
// list keeps its load and state.
func (d *Dispatcher) SetReplicas(poolName string, replicas []chicoryrock.Replica) {
	p := d.pool(poolName)
	started := len(p.replicas) > 0
	for i := range replicas {
		replicas[i].SlowStart = started
		if old := p.find(replicas[i].Name); old != nil {
			replicas[i].Open = old.Open
			replicas[i].Running = old.Running
			replicas[i].Waiting = old.Waiting
			replicas[i].OthersLoad = old.OthersLoad
			replicas[i].FullReports = old.FullReports
			replicas[i].SlowStart = old.SlowStart
			replicas[i].RunsSuspect = old.RunsSuspect
			replicas[i].LastSeen = old.LastSeen
			if old.Address == replicas[i].Address && old.StartedMs == replicas[i].StartedMs {
				replicas[i].Leaving = replicas[i].Leaving || old.Leaving
			}
			if replicas[i].Unheard {
				replicas[i].Version, replicas[i].Unheard = old.Version, old.Unheard
			}
		}
	}
	if observer, ok := d.Picker.(chicoryrock.Observer); ok {
		observer.Sort(replicas)
	}
	p.replicas = replicas
}

// Replicas returns a copy of this entry's view of a pool's replicas.
func (d *Dispatcher) Replicas(poolName string) []chicoryrock.Replica {
	return slices.Clone(d.pool(poolName).replicas)
}

// ReplicasFor returns a copy of this entry's view of the replicas that may take a request.
func (d *Dispatcher) ReplicasFor(now time.Time, request *chicoryrock.Request) []chicoryrock.Replica {
	replicas := d.Replicas(request.Pool)
	return slices.DeleteFunc(replicas, func(r chicoryrock.Replica) bool { return !mayTake(now, &r, request) })
}

// Address returns the address of a replica, or the zero value for one that is
// unknown or gets no new work.
func (d *Dispatcher) Address(poolName, replica string) netip.AddrPort {
	r := d.pool(poolName).find(replica)
	if r == nil || r.Leaving || r.Evacuated {
		return netip.AddrPort{}
	}
	return r.Address
}

// Available reports whether a pool has a replica that accepts new requests.
func (d *Dispatcher) Available(poolName string) bool {
	return slices.ContainsFunc(d.pool(poolName).replicas, func(r chicoryrock.Replica) bool {
		return !r.Leaving
	})
}

// Unservable returns the reason for refusing a request that no replica of its pool will
// take in time, or ReasonNone.
func (d *Dispatcher) Unservable(now time.Time, request *chicoryrock.Request) chicoryrock.Reason {
	if !d.Available(request.Pool) {
		return chicoryrock.ReasonNoServer
	}
	rest, found := d.RestEnd(now, request)
	if !found {
		if reason := d.pool(request.Pool).disallowed(request); reason != chicoryrock.ReasonNone {
			return reason
		}
	}
	switch {
	case !found && request.Only != "":
		return chicoryrock.ReasonNoServer
	case !found && request.Version != "":
		return chicoryrock.ReasonVersionGone
	case found && rest.After(now) && !rest.Before(request.Deadline):
		return chicoryrock.ReasonResting
	}
	return chicoryrock.ReasonNone
}

// disallowed returns the reason why no replica may take a request if it is their regions or
// their data centres, else ReasonNone.
func (p *pool) disallowed(request *chicoryrock.Request) chicoryrock.Reason {
	reason := chicoryrock.ReasonNone
	for i := range p.replicas {
		r := &p.replicas[i]
		switch {
		case r.Leaving || !runs(r, request):
		case !request.AllowsRegion(r.Region):
			if reason == chicoryrock.ReasonNone {
				reason = chicoryrock.ReasonRegion
			}
		case r.Evacuated:
			reason = chicoryrock.ReasonEvacuated
		default:
			return chicoryrock.ReasonNone
		}
	}
	return reason
}

// RestEnd returns when the first of the replicas that may take a request wants requests
// again, which is now if one does not rest; false if no replica may take it.
func (d *Dispatcher) RestEnd(now time.Time, request *chicoryrock.Request) (end time.Time, found bool) {
	p := d.pool(request.Pool)
	for i := range p.replicas {
		r := &p.replicas[i]
		if r.Leaving || !fits(r, request) {
			continue
		}
		until := r.RestUntil
		if until.Before(now) {
			until = now
		}
		if !found || until.Before(end) {
			end, found = until, true
		}
	}
	return end, found
}

// Takes reports whether a replica takes a request now that it was chosen for.
func (d *Dispatcher) Takes(now time.Time, request *chicoryrock.Request, replica string) bool {
	r := d.pool(request.Pool).find(replica)
	return r != nil && !r.Leaving && mayTake(now, r, request)
}

// mayTake reports whether a replica may be sent a request now.
func mayTake(now time.Time, replica *chicoryrock.Replica, request *chicoryrock.Request) bool {
	return fits(replica, request) && !now.Before(replica.RestUntil)
}

// fits reports whether a replica may run a request, by its data centre, region and software.
func fits(replica *chicoryrock.Replica, request *chicoryrock.Request) bool {
	return request.Allows(replica) && runs(replica, request)
}

// runs reports whether a replica can run a request, by its software and what it has of it.
func runs(replica *chicoryrock.Replica, request *chicoryrock.Request) bool {
	if request.Only != "" && replica.Name != request.Only || request.Not != "" && replica.Name == request.Not {
		return false
	}
	if request.Version != "" {
		return replica.Version == request.Version || replica.Unheard || request.BuildAt(replica) == request.Version
	}
	return !request.Resumable || !replica.Unlisted
}

// Enqueue adds a request to its pool's queue, or returns the reason for refusing
// it. A full queue may drop a waiting request instead, which is returned and must be
// refused with ReasonQueueFull at once.
func (d *Dispatcher) Enqueue(now time.Time, request *chicoryrock.Request) (*chicoryrock.Request, chicoryrock.Reason) {
	if reason := d.Unservable(now, request); reason != chicoryrock.ReasonNone {
		return nil, reason
	}
	p := d.pool(request.Pool)
	if request.Suspect {
		if len(p.suspects.waiting) >= maxWaitingSuspects {
			return nil, chicoryrock.ReasonSuspect
		}
		p.suspects.add(now, request, false)
		return nil, chicoryrock.ReasonNone
	}
	displaced, reason := p.queue.Push(now, request)
	if reason == chicoryrock.ReasonLate {
		d.deadlineMissed(now, request.Pool)
	}
	if displaced != nil {
		delete(p.failedReplicas, displaced.ID)
	}
	return displaced, reason
}

// RetryAfter returns how long the caller of a refused request should wait before it
// retries.
func (d *Dispatcher) RetryAfter(now time.Time, request *chicoryrock.Request) time.Duration {
	return d.pool(request.Pool).queue.RetryAfter(now, request)
}

// Dispatch removes from the queues every request that can be sent now, and returns
// each with its replica.
func (d *Dispatcher) Dispatch(now time.Time) []Grant {
	var grants []Grant
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		grants = d.pools[name].grant(now, d.Picker, grants)
	}
	return grants
}

// Expire removes and returns every waiting request that can no longer meet its
// deadline.
func (d *Dispatcher) Expire(now time.Time) []*chicoryrock.Request {
	var late []*chicoryrock.Request
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		for _, request := range d.pools[name].suspects.expire(now) {
			delete(d.pools[name].failedReplicas, request.ID)
			late = append(late, request)
		}
		for _, request := range d.pools[name].queue.Expire(now) {
			delete(d.pools[name].failedReplicas, request.ID)
			late = append(late, request)
			d.deadlineMissed(now, name)
		}
	}
	return late
}

// Cancel removes a waiting request and reports whether it was waiting.
func (d *Dispatcher) Cancel(now time.Time, request *chicoryrock.Request) bool {
	p := d.pool(request.Pool)
	delete(p.failedReplicas, request.ID)
	return p.suspects.remove(request) || p.queue.Remove(now, request)
}

// UpdateLoad stores the load that an agent reported when it answered or rejected a
// request. The load no longer includes that request, which is still open here: call
// Finish or Requeue for it afterwards.
func (d *Dispatcher) UpdateLoad(now time.Time, poolName, replica string, load chicoryrock.Load) {
	r := d.pool(poolName).find(replica)
	if r == nil {
		return
	}
	r.Slots = load.Slots
	r.Running = load.Running
	r.Waiting = load.Waiting
	r.OthersLoad = max(load.Running+load.Waiting-max(r.Open-1, 0), 0)
	r.FullReports++
	if load.Running < load.Slots {
		r.FullReports = 0
	}
	r.Leaving = r.Leaving || load.Leaving
	r.Version, r.Unheard = load.Build, load.Build == ""
	r.LastSeen = now
}

// deadlineMissed reports a missed deadline to the picker if it is an Observer.
func (d *Dispatcher) deadlineMissed(now time.Time, poolName string) {
	if observer, ok := d.Picker.(chicoryrock.Observer); ok {
		observer.DeadlineMissed(now, poolName)
	}
}

// Observe passes this entry's measurements of a replica to the picker if it is an
// Observer.
func (d *Dispatcher) Observe(now time.Time, poolName, replica string, observation chicoryrock.Observation) {
	if observer, ok := d.Picker.(chicoryrock.Observer); ok {
		observer.Observe(now, poolName, replica, observation)
	}
}

// Finish ends a granted request and frees its slot on the replica.
func (d *Dispatcher) Finish(now time.Time, request *chicoryrock.Request, replica string) {
	p := d.pool(request.Pool)
	delete(p.failedReplicas, request.ID)
	p.releaseSlot(replica)
	p.releaseHold(request, replica)
	if !p.suspects.finish(request) {
		p.queue.Finish(now, request)
	}
}

// Requeue puts back a granted request that certainly did not run, or that may run
// again. The replica that failed it is not chosen for it again while another can
// take it. A request that has become a suspect leaves the queue's accounts and waits
// for a replica that runs no other suspect.
func (d *Dispatcher) Requeue(now time.Time, request *chicoryrock.Request, replica string) {
	p := d.pool(request.Pool)
	p.releaseSlot(replica)
	p.releaseHold(request, replica)
	p.failedReplicas[request.ID] = append(p.failedReplicas[request.ID], replica)
	if request.Suspect {
		if !p.suspects.finish(request) {
			p.queue.Finish(now, request)
		}
		p.suspects.add(now, request, true)
		return
	}
	p.queue.Requeue(now, request)
}

// Charge adds tokens that a request has produced to its account in the pool's queue.
func (d *Dispatcher) Charge(now time.Time, request *chicoryrock.Request, tokens int) {
	d.pool(request.Pool).queue.Charge(now, request, tokens)
}

// QueueLength returns how many requests wait for a pool, suspects included.
func (d *Dispatcher) QueueLength(poolName string) int {
	return d.pool(poolName).queue.Len() + len(d.pool(poolName).suspects.waiting)
}

func (d *Dispatcher) pool(name string) *pool {
	if d.pools == nil {
		d.pools = make(map[string]*pool)
	}
	p, found := d.pools[name]
	if !found {
		p = &pool{queue: d.NewQueue(name), failedReplicas: make(map[string][]string)}
		d.pools[name] = p
	}
	return p
}

// grant pops requests as long as the picker finds a replica for them. The first
// request for which it finds none stays at the head of the queue until the next call,
// but one that only some replicas may take doesn't block those behind it.
func (p *pool) grant(now time.Time, picker chicoryrock.Picker, grants []Grant) []Grant {
	p.expireFullReports(now)
	grants = p.grantSuspects(now, picker, grants)
	var passed []*chicoryrock.Request
	for p.queue.Len() > 0 {
		request, found := p.queue.Peek(now)
		if !found {
			break
		}
		index, free := p.pick(now, picker, request)
		if !free && !p.excludesAny(now, request) {
			break
		}
		request, _ = p.queue.Pop(now)
		if !free {
			passed = append(passed, request)
			continue
		}
		p.replicas[index].Open++
		grants = append(grants, Grant{Request: request, Replica: p.replicas[index]})
	}
	for _, request := range passed {
		p.queue.Requeue(now, request)
	}
	return grants
}

// excludesAny reports whether some replica of the pool that takes other requests may not
// take this one, or takes none for now.
func (p *pool) excludesAny(now time.Time, request *chicoryrock.Request) bool {
	for i := range p.replicas {
		if r := &p.replicas[i]; !r.Evacuated && !mayTake(now, r, request) {
			return true
		}
	}
	return false
}

// hidesAny reports whether the picker must not see some replica of the pool. It passes over
// those that a request doesn't allow by itself, as it knows most of the whole list.
func (p *pool) hidesAny(now time.Time, request *chicoryrock.Request) bool {
	for i := range p.replicas {
		if r := &p.replicas[i]; request.Allows(r) && !mayTake(now, r, request) {
			return true
		}
	}
	return false
}

// pick returns the index of the replica that the picker chooses. Replicas that have
// not failed this request yet are preferred.
func (p *pool) pick(now time.Time, picker chicoryrock.Picker, request *chicoryrock.Request) (int, bool) {
	failed := p.failedReplicas[request.ID]
	if len(failed) > 0 {
		index, free := p.pickAmong(now, picker, request, func(r *chicoryrock.Replica) bool {
			return mayTake(now, r, request) && !slices.Contains(failed, r.Name)
		})
		if free {
			return index, true
		}
	}
	if p.hidesAny(now, request) {
		return p.pickAmong(now, picker, request, func(r *chicoryrock.Replica) bool { return mayTake(now, r, request) })
	}
	return picker.Pick(now, request, p.replicas)
}

// pickAmong is pick among the replicas that a function chooses.
func (p *pool) pickAmong(now time.Time, picker chicoryrock.Picker, request *chicoryrock.Request, among func(*chicoryrock.Replica) bool) (int, bool) {
	chosen := make([]chicoryrock.Replica, 0, len(p.replicas))
	indices := make([]int, 0, len(p.replicas))
	for i := range p.replicas {
		if among(&p.replicas[i]) {
			chosen = append(chosen, p.replicas[i])
			indices = append(indices, i)
		}
	}
	index, free := picker.Pick(now, request, chosen)
	if !free {
		return 0, false
	}
	return indices[index], true
}

// expireFullReports frees one slot, in this entry's view, of each replica whose last
// report that it is full is older than fullReportTTL.
func (p *pool) expireFullReports(now time.Time) {
	for i := range p.replicas {
		replica := &p.replicas[i]
		if now.Sub(replica.LastSeen) > fullReportTTL {
			replica.Running = min(replica.Running, max(replica.Open, replica.Slots-1))
		}
	}
}

func (p *pool) releaseSlot(replica string) {
	if r := p.find(replica); r != nil && r.Open > 0 {
		r.Open--
	}
}

func (p *pool) find(name string) *chicoryrock.Replica {
	for i := range p.replicas {
		if p.replicas[i].Name == name {
			return &p.replicas[i]
		}
	}
	return nil
}
