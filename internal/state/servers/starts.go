package servers

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// startsKept bounds the starts of one server that are remembered, the latest ones.
const startsKept = 8

// Starts remembers which starts of servers were listed lately, as an entry only has the latest
// one. The zero value is empty and ready for use.
type Starts struct {
	Lifetime time.Duration // for how long a start is remembered after it was listed

	servers map[string][]listedStart
	pruned  time.Time
}

type listedStart struct {
	server chicoryrock.Server
	at     time.Time
}

// Note records that a server is listed.
func (s *Starts) Note(now time.Time, server chicoryrock.Server) {
	if s.servers == nil {
		s.servers = make(map[string][]listedStart)
	}
	s.prune(now)
	starts := s.servers[server.ID]
	starts = append(starts, listedStart{server, now})
	s.servers[server.ID] = starts[max(len(starts)-startsKept, 0):]
}

// Of returns the starts of a server that were listed lately, in their order.
func (s *Starts) Of(now time.Time, id string) []chicoryrock.Server {
	var starts []chicoryrock.Server
	for _, start := range s.servers[id] {
		if now.Sub(start.at) < s.Lifetime {
			starts = append(starts, start.server)
		}
	}
	return starts
}

// prune forgets old starts, now and then.
func (s *Starts) prune(now time.Time) {
	if now.Sub(s.pruned) < s.Lifetime/4 {
		return
	}
	s.pruned = now
	for id, starts := range s.servers {
		for len(starts) > 0 && now.Sub(starts[0].at) >= s.Lifetime {
			starts = starts[1:]
		}
		if s.servers[id] = starts; len(starts) == 0 {
			delete(s.servers, id)
		}
	}
}
