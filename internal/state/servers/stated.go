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
	Leaving bool // it takes no new work
}

// stated is what a start has said.
type stated struct {
	leaving bool
	at      time.Time // of the last statement
}

// Observe takes in what a start of a server says of itself. It reports whether that changes
// what is known of a server on the list.
func (l *List) Observe(now time.Time, start Start, said Statement) (Change, bool) {
	if !said.Leaving {
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
	news := !known.leaving
	known.leaving, known.at = true, now
	e := l.servers[start.ID]
	if !news || e == nil || StartOf(&e.server) != start || e.server.Leaving {
		return Change{}, false
	}
	return Change{l.view(e), Leaving}, true
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

// view returns a server as its entry and its own answers have it.
func (l *List) view(e *entry) chicoryrock.Server {
	server := e.server
	if known := l.stated[StartOf(&server)]; known != nil {
		server.Leaving = server.Leaving || known.leaving
	}
	return server
}
