// Package orderer is the stand-in for the platform's ordering of backend
// servers by data centre: it starts them after a start-up time, stops them, and
// counts what they cost.
package orderer

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Backend is one backend server that was ordered.
type Backend struct {
	Name   string `json:"name"`
	Pool   string `json:"pool"`
	Centre string `json:"centre"`
}

// Action is what an order comes to in the end: a backend server starts or stops.
type Action struct {
	Backend Backend
	Up      bool
}

// Core is the ordering without sockets. It is not safe for concurrent use. The
// exported fields are set before its first use.
type Core struct {
	Startup time.Duration // from the order to the running backend server
	Fence   bool          // refuse an order with an older fencing number than its data centre has seen
	Cost    float64       // money per backend server and hour

	serial  int
	fences  map[string]uint64
	groups  map[group][]machine
	due     []Action
	spent   float64
	counted time.Time
}

type group struct {
	pool   string
	centre string
}

type machine struct {
	backend Backend
	ready   time.Time
	up      bool
}

// Order takes an order. A repeat changes nothing, because an order states the
// wanted count. Errors: ErrFenced, ErrInvalid.
func (c *Core) Order(now time.Time, order chicoryrock.Order) error {
	if order.Pool == "" || order.Centre == "" || order.Replicas < 0 {
		return errors.WithStack(chicoryrock.ErrInvalid)
	}
	c.spend(now)
	if c.Fence && order.Fence < c.fences[order.Centre] {
		return errors.WithStack(chicoryrock.ErrFenced)
	}
	if c.fences == nil {
		c.fences = make(map[string]uint64)
		c.groups = make(map[group][]machine)
	}
	c.fences[order.Centre] = max(c.fences[order.Centre], order.Fence)
	at := group{pool: order.Pool, centre: order.Centre}
	for len(c.groups[at]) < order.Replicas {
		c.add(now, at)
	}
	for len(c.groups[at]) > order.Replicas {
		c.drop(at)
	}
	return nil
}

// Step returns the starts and stops that are due.
func (c *Core) Step(now time.Time) []Action {
	for _, machines := range c.groups {
		for i := range machines {
			if !machines[i].up && !now.Before(machines[i].ready) {
				machines[i].up = true
				c.due = append(c.due, Action{Backend: machines[i].backend, Up: true})
			}
		}
	}
	due := c.due
	c.due = nil
	return due
}

// Next returns when the next start is due, or the zero time.
func (c *Core) Next() time.Time {
	var next time.Time
	for _, machines := range c.groups {
		for _, machine := range machines {
			if !machine.up && (next.IsZero() || machine.ready.Before(next)) {
				next = machine.ready
			}
		}
	}
	return next
}

// Spent returns the money spent so far. A backend server costs from its order to
// its stop, its start-up time included.
func (c *Core) Spent(now time.Time) float64 {
	c.spend(now)
	return c.spent
}

// Count returns how many backend servers a pool has in a data centre, those that
// start included.
func (c *Core) Count(pool, centre string) int {
	return len(c.groups[group{pool: pool, centre: centre}])
}

func (c *Core) add(now time.Time, at group) {
	c.serial++
	name := at.pool + "-" + at.centre + "-" + strconv.Itoa(c.serial)
	backend := Backend{Name: name, Pool: at.pool, Centre: at.centre}
	c.groups[at] = append(c.groups[at], machine{backend: backend, ready: now.Add(c.Startup)})
}

// drop stops the newest backend server: it is the one that may not be up yet.
func (c *Core) drop(at group) {
	last := len(c.groups[at]) - 1
	gone := c.groups[at][last]
	c.groups[at] = c.groups[at][:last]
	if gone.up {
		c.due = append(c.due, Action{Backend: gone.backend})
	}
}

// spend charges for the time since the last call.
func (c *Core) spend(now time.Time) {
	if c.counted.IsZero() || now.Before(c.counted) {
		c.counted = now
		return
	}
	running := 0
	for _, machines := range c.groups {
		running += len(machines)
	}
	c.spent += c.Cost * float64(running) * now.Sub(c.counted).Hours()
	c.counted = now
}
