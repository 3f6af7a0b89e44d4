package front

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/place"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/platform"
)

// limits is what the log lines about limited servers need besides the limits, which
// Placer.Quota knows.
type limits struct {
	mutex sync.Mutex
	names map[uint64]string    // of all servers, by place.ServerKey
	sent  map[string]*attempts // to limited servers since the last line
}

// attempts are those that were sent to a server.
type attempts struct {
	first, again int // first ones of a request, and others
}

// limited takes in the limit that an answer states.
func (c *call) limited(sent time.Time, server string, answer *upstream.Answer) {
	if answer.Status == http.StatusMisdirectedRequest {
		return // another server answered
	}
	f := c.front
	limit, err := platform.ReadLimit(answer.Header)
	if err != nil {
		f.Log.Write(event.LimitBad, zap.String("server", server), zap.String("ref", c.ask.ID), zap.Error(err))
		return
	}
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.Quota.Observe(time.Now(), sent, place.ServerKey(server), limit)
}

// LimitChanged logs that the limit of a server has changed; see quota.Member.
func (f *Front) LimitChanged(server uint64, before, limit float64, from string) {
	f.Log.Write(event.LimitChanged, zap.String("server", f.limits.name(server)), zap.Float64("limit", limit), zap.Float64("before", before), zap.String("from", from))
}

// SetLimitMembers sets which peers share the limits of backend servers with this process,
// and how many processes send requests to them, this one included.
func (f *Front) SetLimitMembers(peers []string, members int) {
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.Quota.SetMembers(peers, !f.Draining(), members)
}

// Members returns how many processes send requests to the backend servers, this one
// included.
func (f *Front) Members() int {
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.Quota.Members()
}

// LimitMessages returns what is to be sent to the other processes about limits.
func (f *Front) LimitMessages(now time.Time) []quota.Message {
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.Quota.Messages(now)
}

// HeardLimits takes in what another process says of limits.
func (f *Front) HeardLimits(now time.Time, message *quota.Message) {
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.Quota.Receive(now, message)
}

// hasRoom says whether a call may be sent or wait; if not, the limits of all servers of
// its service are used up. It shortens the wait where they are used up for now.
func (c *call) hasRoom(now time.Time) bool {
	f := c.front
	c.limitWait = false
	if !f.KnowsLimits() {
		return true
	}
	replicas := f.Gate.ReplicasFor(now, c.request)
	waiting := f.Gate.Waiting(c.request.Pool)
	f.placing.Lock()
	defer f.placing.Unlock()
	until, limited := f.Placer.LimitWait(now, c.request, replicas, waiting)
	if limited && until.Before(c.request.Deadline) {
		c.request.Deadline = until
		c.limitWait = true
	}
	return !limited || !until.IsZero()
}

// KnowsLimits says whether any server states a limit, or did so of late.
func (f *Front) KnowsLimits() bool {
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.Quota.Limits() > 0
}

// limitOf returns the limit of a server, or chicoryrock.Unlimited.
func (f *Front) limitOf(now time.Time, server string) float64 {
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.Quota.Limit(now, place.ServerKey(server))
}

// countSent counts an attempt, if its server is limited.
func (f *Front) countSent(now time.Time, server string, again bool) {
	if f.limitOf(now, server) == chicoryrock.Unlimited {
		return
	}
	l := &f.limits
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := l.sent[server]
	if count == nil {
		if l.sent == nil {
			l.sent = make(map[string]*attempts)
		}
		count = &attempts{}
		l.sent[server] = count
	}
	if again {
		count.again++
	} else {
		count.first++
	}
}

// writeSent logs what was sent to limited servers since the last time.
func (f *Front) writeSent(now time.Time) {
	f.limits.mutex.Lock()
	sent := f.limits.sent
	f.limits.sent = nil
	f.limits.mutex.Unlock()
	for _, server := range slices.Sorted(maps.Keys(sent)) {
		f.Log.Write(event.LimitedSent, zap.String("server", server), zap.Float64("limit", f.limitOf(now, server)),
			zap.Int("first", sent[server].first), zap.Int("again", sent[server].again))
	}
}

// setNames takes in the names of all servers.
func (l *limits) setNames(servers []chicoryrock.Server) {
	names := make(map[uint64]string, len(servers))
	for i := range servers {
		names[place.ServerKey(servers[i].ID)] = servers[i].ID
		names[place.ColdKey(servers[i].ID)] = servers[i].ID + " while cold"
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.names = names
}

// name returns the name of a server, or its key for one that is not listed here.
func (l *limits) name(key uint64) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if name, listed := l.names[key]; listed {
		return name
	}
	return fmt.Sprintf("%016x", key)
}
