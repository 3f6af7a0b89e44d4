package servers

import (
	"net/netip"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// maxStated bounds the starts of which it is known what they said.
	maxStated = 1024
	// statedLifetime is how long that is kept after the start last said it.
	statedLifetime = 10 * time.Minute
	// maxRest bounds a rest: less than statedLifetime, so that it isn't forgotten before its
	// end.
	maxRest = 5 * time.Minute
)

// Start identifies one start of a backend server: its next one knows nothing of what this
// one said.
type Start struct {
	ID        string
	Address   netip.AddrPort
	StartedMs int64 // milliseconds since 1970; zero if not known
}

// StartOf returns the start that an entry is of.
func StartOf(server *chicoryrock.Server) Start {
	return Start{ID: server.ID, Address: server.Address, StartedMs: server.StartedMs}
}

// Statement is what a server says of itself in an answer.
type Statement struct {
	Leaving bool          // it takes no new work
	Rest    time.Duration // it wants no requests from this process for so long
	Model   string        // whose weights it states to be of another version than listed; empty for none
	Weights string        // their version
}

// stated is what a start has said.
type stated struct {
	leaving   bool
	restUntil time.Time // the latest end of a rest that it has asked for
	at        time.Time // of the last statement
	weights   string    // as its answers have them, while its entry states listed; empty for no others
	listed    string
}

// Observe takes in what a start of a server says of itself. It reports whether that changes
// what is known of a server on the list.
func (l *List) Observe(now time.Time, start Start, said Statement) (Change, bool) {
	if said == (Statement{}) {
		return Change{}, false
	}
	if l.stated == nil {
		l.stated = make(map[Start]*stated)
	}
	known := l.stated[start]
	if known == nil {
		l.forgetStated(now)
		known = &stated{}
		l.stated[start] = known
	}
	leaves := said.Leaving && !known.leaving
	until := now.Add(min(said.Rest, maxRest))
	rests := said.Rest > 0 && until.After(known.restUntil)
	known.leaving, known.at = known.leaving || said.Leaving, now
	if rests {
		known.restUntil = until
	}
	e := l.servers[start.ID]
	if e == nil || StartOf(&e.server) != start {
		return Change{}, false
	}
	before := l.View(e.server).Weights
	weights := before
	if said.Model != "" {
		weights = chicoryrock.WithWeights(before, said.Model, said.Weights)
	}
	if weights != before {
		known.weights, known.listed = weights, e.server.Weights
	}
	switch {
	case leaves && !e.server.Leaving:
		return Change{l.View(e.server), Leaving}, true
	case weights != before:
		return Change{l.View(e.server), Reweighted}, true
	}
	return Change{l.View(e.server), Resting}, rests
}

// forgetStated forgets what was said long ago, and of too many all but what listed servers
// said.
func (l *List) forgetStated(now time.Time) {
	for start, known := range l.stated {
		e := l.servers[start.ID]
		listed := e != nil && StartOf(&e.server) == start
		if !listed && (now.Sub(known.at) >= statedLifetime || len(l.stated) >= maxStated) {
			delete(l.stated, start)
		}
	}
}

// dropStatedWeights forgets what a server's answers said of its weights once its entry has changed.
func (l *List) dropStatedWeights(e *entry) {
	if known := l.stated[StartOf(&e.server)]; known != nil && known.listed != e.server.Weights {
		known.weights = ""
	}
}

// View returns a server as its entry and its own answers have it. What these say of its weights
// counts until the entry states others than it did then.
func (l *List) View(server chicoryrock.Server) chicoryrock.Server {
	if known := l.stated[StartOf(&server)]; known != nil {
		server.Leaving = server.Leaving || known.leaving
		server.RestUntil = known.restUntil
		if known.weights != "" && known.listed == server.Weights {
			server.Weights = known.weights
		}
	}
	return server
}
