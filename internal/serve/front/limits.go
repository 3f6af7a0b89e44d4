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

// limits counts for the log what this process sends to servers that state a limit.
type limits struct {
	mutex   sync.Mutex
	names   map[uint64]string         // of all servers, by place.ServerKey
	servers map[string]*limitedServer // those with a limit
}

type limitedServer struct {
	limit        float64 // requests a second
	first, again int     // attempts since the last line: first ones of a request, and others
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
	name := f.limits.set(server, limit)
	f.Log.Write(event.LimitChanged, zap.String("server", name), zap.Float64("limit", limit), zap.Float64("before", before), zap.String("from", from))
}

// SetLimitMembers sets which peers share the limits of backend servers with this process,
// and how many processes send requests to them, this one included.
func (f *Front) SetLimitMembers(peers []string, members int) {
	f.members.Store(int64(members))
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.Quota.SetMembers(peers, !f.draining.Load(), members)
}

// Members returns how many processes send requests to the backend servers, this one
// included.
func (f *Front) Members() int { return max(int(f.members.Load()), 1) }

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

// Limited returns how many backend servers are known that state a limit, or did so of
// late.
func (f *Front) Limited() int {
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.Quota.Limits()
}

// hasRoom says whether a call may be sent or wait; if not, the limits of all servers of
// its service are used up. It shortens the wait where they are used up for now.
func (c *call) hasRoom(now time.Time) bool {
	f := c.front
	c.limitWait = false
	if f.Limited() == 0 {
		return true
	}
	replicas := f.Gate.Replicas(c.request.Pool)
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

// setNames takes in the names of all servers.
func (l *limits) setNames(servers []chicoryrock.Server) {
	names := make(map[uint64]string, len(servers))
	for i := range servers {
		names[place.ServerKey(servers[i].ID)] = servers[i].ID
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.names = names
	maps.DeleteFunc(l.servers, func(name string, _ *limitedServer) bool { return names[place.ServerKey(name)] == "" })
}

// set takes in a server's limit, and returns its name.
func (l *limits) set(server uint64, limit float64) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	name, listed := l.names[server]
	switch {
	case !listed:
		return fmt.Sprintf("%016x", server)
	case limit == chicoryrock.Unlimited:
		delete(l.servers, name)
	case l.servers[name] != nil:
		l.servers[name].limit = limit
	default:
		if l.servers == nil {
			l.servers = make(map[string]*limitedServer)
		}
		l.servers[name] = &limitedServer{limit: limit}
	}
	return name
}

// sent counts an attempt, if the server is limited.
func (l *limits) sent(server string, again bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch known := l.servers[server]; {
	case known == nil:
	case again:
		known.again++
	default:
		known.first++
	}
}

// write logs what was sent since the last time.
func (l *limits) write(log *event.Log) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, server := range slices.Sorted(maps.Keys(l.servers)) {
		known := l.servers[server]
		if known.first+known.again == 0 {
			continue
		}
		log.Write(event.LimitedSent, zap.String("server", server), zap.Float64("limit", known.limit), zap.Int("first", known.first), zap.Int("again", known.again))
		known.first, known.again = 0, 0
	}
}
