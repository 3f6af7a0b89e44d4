// Package dispatch is the core that matches waiting requests with backend
// servers: a queue for each pool, this entry's view of the pool's replicas, and
// a Picker. It does no input or output and takes the time as an argument, so
// that the same code runs in an entry, under trace replay and under fuzzing.
package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// probeInterval is how long an agent's report that it is full keeps this entry
// from asking it again. Without a limit, an entry with nothing open on a replica
// would never hear that the replica has become free.
const probeInterval = 50 * time.Millisecond

// Grant sends one request to one replica.
type Grant struct {
	Request *chicoryrock.Request
	Replica chicoryrock.Replica
}

// Dispatcher matches requests with replicas. It is not safe for concurrent use.
type Dispatcher struct {
	NewQueue func(pool string) chicoryrock.Queue
	Picker   chicoryrock.Picker

	pools map[string]*pool
}

type pool struct {
	queue    chicoryrock.Queue
	suspects suspects
	replicas []chicoryrock.Replica
	tried    map[string][]string // request ID to the replicas that already failed it
}

// SetReplicas replaces the list of a pool's replicas. What is already known of a
// replica that stays is kept.
func (d *Dispatcher) SetReplicas(name string, replicas []chicoryrock.Replica) {
	target := d.pool(name)
	started := len(target.replicas) > 0
	for i := range replicas {
		replicas[i].SlowStart = started
		if known := target.find(replicas[i].Name); known != nil {
			replicas[i].Open = known.Open
			replicas[i].Running = known.Running
			replicas[i].Waiting = known.Waiting
			replicas[i].OthersLoad = known.OthersLoad
			replicas[i].FullReports = known.FullReports
			replicas[i].SlowStart = known.SlowStart
			replicas[i].RunsSuspect = known.RunsSuspect
			replicas[i].LastSeen = known.LastSeen
			replicas[i].Leaving = replicas[i].Leaving || known.Leaving
		}
	}
	if observer, learns := d.Picker.(chicoryrock.Observer); learns {
		observer.Sort(replicas)
	}
	target.replicas = replicas
}

// Replicas returns a copy of what is known of a pool's replicas.
func (d *Dispatcher) Replicas(name string) []chicoryrock.Replica {
	return slices.Clone(d.pool(name).replicas)
}

// Address returns where a replica is reached; the zero value for one that is not
// known or leaves.
func (d *Dispatcher) Address(name, replica string) netip.AddrPort {
	known := d.pool(name).find(replica)
	if known == nil || known.Leaving {
		return netip.AddrPort{}
	}
	return known.Address
}

// Available says whether a pool has a replica that takes new work.
func (d *Dispatcher) Available(name string) bool {
	return slices.ContainsFunc(d.pool(name).replicas, func(r chicoryrock.Replica) bool {
		return !r.Leaving
	})
}

// Enqueue takes a request in, or returns the reason why it is refused at once. A
// full queue may give up a waiting request in its place: that one is returned,
// and is to be refused with ReasonQueueFull at once.
func (d *Dispatcher) Enqueue(now time.Time, request *chicoryrock.Request) (*chicoryrock.Request, chicoryrock.Reason) {
	if !d.Available(request.Pool) {
		return nil, chicoryrock.ReasonNoServer
	}
	target := d.pool(request.Pool)
	if request.Suspect {
		if len(target.suspects.waiting) >= maxSuspects {
			return nil, chicoryrock.ReasonSuspect
		}
		target.suspects.add(now, request, false)
		return nil, chicoryrock.ReasonNone
	}
	displaced, reason := target.queue.Push(now, request)
	if reason == chicoryrock.ReasonLate {
		d.missed(now, request.Pool)
	}
	if displaced != nil {
		delete(target.tried, displaced.ID)
	}
	return displaced, reason
}

// RetryAfter returns how long the caller of a refused request should wait before it
// asks again.
func (d *Dispatcher) RetryAfter(now time.Time, request *chicoryrock.Request) time.Duration {
	return d.pool(request.Pool).queue.RetryAfter(now, request)
}

// Dispatch returns every request that can be sent now, with its replica.
func (d *Dispatcher) Dispatch(now time.Time) []Grant {
	var grants []Grant
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		grants = d.pools[name].grant(now, d.Picker, grants)
	}
	return grants
}

// Expire returns every waiting request that can no longer meet its deadline.
func (d *Dispatcher) Expire(now time.Time) []*chicoryrock.Request {
	var late []*chicoryrock.Request
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		for _, request := range d.pools[name].suspects.expire(now) {
			delete(d.pools[name].tried, request.ID)
			late = append(late, request)
		}
		for _, request := range d.pools[name].queue.Expire(now) {
			delete(d.pools[name].tried, request.ID)
			late = append(late, request)
			d.missed(now, name)
		}
	}
	return late
}

// Cancel takes out a waiting request and says whether it was waiting.
func (d *Dispatcher) Cancel(now time.Time, request *chicoryrock.Request) bool {
	target := d.pool(request.Pool)
	delete(target.tried, request.ID)
	return target.suspects.remove(request) || target.queue.Remove(now, request)
}

// UpdateLoad takes in the load that an agent stated when it answered or turned away a
// request. That request is no longer in the load, but still open here: it is to be
// ended by Finish or Return after this.
func (d *Dispatcher) UpdateLoad(now time.Time, poolName, replica string, load chicoryrock.Load) {
	known := d.pool(poolName).find(replica)
	if known == nil {
		return
	}
	known.Slots = load.Slots
	known.Running = load.Running
	known.Waiting = load.Waiting
	known.OthersLoad = max(load.Running+load.Waiting-max(known.Open-1, 0), 0)
	known.FullReports++
	if load.Running < load.Slots {
		known.FullReports = 0
	}
	known.Leaving = known.Leaving || load.Leaving
	known.LastSeen = now
}

// missed tells the picker that targets are being missed, if it learns from that.
func (d *Dispatcher) missed(now time.Time, poolName string) {
	if observer, learns := d.Picker.(chicoryrock.Observer); learns {
		observer.DeadlineMissed(now, poolName)
	}
}

// Observe passes on what this entry measured itself on a replica, if the picker
// learns from it.
func (d *Dispatcher) Observe(now time.Time, poolName, replica string, seen chicoryrock.Observation) {
	if observer, learns := d.Picker.(chicoryrock.Observer); learns {
		observer.Observe(now, poolName, replica, seen)
	}
}

// Finish ends a request that was granted. The replica's slot is free again.
func (d *Dispatcher) Finish(now time.Time, request *chicoryrock.Request, replica string) {
	target := d.pool(request.Pool)
	delete(target.tried, request.ID)
	target.release(replica)
	target.letGo(request, replica)
	if !target.suspects.end(request) {
		target.queue.Finish(now, request)
	}
}

// Requeue puts back a granted request that certainly did not run, or that may run
// again. The replica that failed it is not chosen for it again while others are
// left. One that has become a suspect leaves the queue's accounts and waits for a
// replica that runs no other suspect.
func (d *Dispatcher) Requeue(now time.Time, request *chicoryrock.Request, replica string) {
	target := d.pool(request.Pool)
	target.release(replica)
	target.letGo(request, replica)
	target.tried[request.ID] = append(target.tried[request.ID], replica)
	if request.Suspect {
		if !target.suspects.end(request) {
			target.queue.Finish(now, request)
		}
		target.suspects.add(now, request, true)
		return
	}
	target.queue.Requeue(now, request)
}

// Charge passes the tokens that a request has produced to its pool's accounts.
func (d *Dispatcher) Charge(now time.Time, request *chicoryrock.Request, tokens int) {
	d.pool(request.Pool).queue.Charge(now, request, tokens)
}

// QueueLength returns how many requests wait for a pool.
func (d *Dispatcher) QueueLength(name string) int {
	return d.pool(name).queue.Len() + len(d.pool(name).suspects.waiting)
}

func (d *Dispatcher) pool(name string) *pool {
	if d.pools == nil {
		d.pools = make(map[string]*pool)
	}
	target, found := d.pools[name]
	if !found {
		target = &pool{queue: d.NewQueue(name), tried: make(map[string][]string)}
		d.pools[name] = target
	}
	return target
}

// grant pops requests as long as the picker finds a replica for them. A request
// for which none is free stays, and the pool is left until something changes.
func (p *pool) grant(now time.Time, picker chicoryrock.Picker, grants []Grant) []Grant {
	p.forgetOldReports(now)
	grants = p.grantSuspects(now, picker, grants)
	for p.queue.Len() > 0 {
		request, found := p.queue.Peek(now)
		if !found {
			break
		}
		at, free := p.pick(now, picker, request)
		if !free {
			break
		}
		request, _ = p.queue.Pop(now)
		p.replicas[at].Open++
		grants = append(grants, Grant{Request: request, Replica: p.replicas[at]})
	}
	return grants
}

// pick prefers replicas that have not failed this request yet.
func (p *pool) pick(now time.Time, picker chicoryrock.Picker, request *chicoryrock.Request) (int, bool) {
	tried := p.tried[request.ID]
	if len(tried) == 0 {
		return picker.Pick(now, request, p.replicas)
	}
	fresh := make([]chicoryrock.Replica, 0, len(p.replicas))
	places := make([]int, 0, len(p.replicas))
	for i := range p.replicas {
		if !slices.Contains(tried, p.replicas[i].Name) {
			fresh = append(fresh, p.replicas[i])
			places = append(places, i)
		}
	}
	if at, free := picker.Pick(now, request, fresh); free {
		return places[at], true
	}
	return picker.Pick(now, request, p.replicas)
}

// forgetOldReports lets an entry ask a replica again whose last report has aged.
func (p *pool) forgetOldReports(now time.Time) {
	for i := range p.replicas {
		replica := &p.replicas[i]
		if now.Sub(replica.LastSeen) > probeInterval {
			replica.Running = min(replica.Running, max(replica.Open, replica.Slots-1))
		}
	}
}

func (p *pool) release(replica string) {
	if known := p.find(replica); known != nil && known.Open > 0 {
		known.Open--
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
