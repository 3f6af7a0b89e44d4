package front

import (
	"maps"
	"net/http"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/platform"
)

// unlimited is the limit in log lines where a backend server states none.
const unlimited = -1

// limits are the limits that backend servers state in their answers, with what this
// process sent to those servers since the last line about them.
type limits struct {
	mutex   sync.Mutex
	servers map[string]*limitedServer
}

type limitedServer struct {
	limit        float64 // requests a second
	first, again int     // attempts since the last line: first ones of a request, and others
}

// limited takes in the limit that an answer states.
func (c *call) limited(server string, answer *upstream.Answer) {
	if answer.Status == http.StatusMisdirectedRequest {
		return // another server answered
	}
	limit, stated := platform.ReadLimit(answer.Header)
	before, changed := c.front.limits.set(server, limit, stated)
	if !changed {
		return
	}
	if !stated {
		limit = unlimited
	}
	c.front.Log.Write(event.LimitChanged, zap.String("server", server), zap.Float64("limit", limit), zap.Float64("before", before), zap.String("ref", c.ask.ID))
}

// set takes in a server's limit, and returns the one before and whether it differs.
func (l *limits) set(server string, limit float64, stated bool) (float64, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.servers[server]
	switch {
	case !stated && known == nil:
		return unlimited, false
	case !stated:
		delete(l.servers, server)
		return known.limit, true
	case known == nil:
		if l.servers == nil {
			l.servers = make(map[string]*limitedServer)
		}
		l.servers[server] = &limitedServer{limit: limit}
		return unlimited, true
	}
	before := known.limit
	known.limit = limit
	return before, before != limit
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
