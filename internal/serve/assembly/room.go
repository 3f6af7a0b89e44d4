package assembly

import (
	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
)

const (
	// filesKept is how many descriptors are kept for files, by the platform's rules.
	filesKept = 200
	// otherPart is the part of the other descriptors that is kept for the store, peers,
	// scrapes and the platform's questions: 479 of 2,875 for up to 102 peers.
	otherPart = 6
)

// connections returns how many connections callers may have, and backend servers: half each
// of the descriptors that aren't kept for files, and for the store, peers, scrapes and the
// platform's questions.
func connections(files int) int {
	if files <= 0 {
		return 0
	}
	sockets := max(files-filesKept, 1)
	return max((sockets-sockets/otherPart)/2, 1)
}

// room returns what callers may hold by the settings, nil for no limits.
func (p *Front) room() *reserve.Pool {
	pool := reserve.New(int64(p.Node.Memory), connections(p.Node.Files))
	if pool != nil {
		pool.Counted = func(kind memory.Kind, closed bool) { p.metrics.NoRoom(kind.String(), closed) }
	}
	return pool
}
