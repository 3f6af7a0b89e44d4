package assembly

import (
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
)

const (
	// filesKept is how many descriptors are kept for files, by the platform's rules.
	filesKept = 200
	// otherPart is the part of the other descriptors that is kept for the store, peers,
	// scrapes and the platform's questions: 479 of 2,875 for up to 102 peers.
	otherPart = 6
	// peerPart is the part of those that peers' connections to this process may use.
	peerPart = 2
	// operatorPart is the part of those that each address for operators may use.
	operatorPart = 8
)

// connections returns how many connections callers may have, and backend servers: half each
// of the descriptors that aren't kept for others; zero for no limit.
func connections(files int) int {
	if files <= 0 {
		return 0
	}
	return max((sockets(files)-sockets(files)/otherPart)/2, 1)
}

func sockets(files int) int { return max(files-filesKept, 1) }

// peerRoom returns the room for peers' connections, nil for no limits.
func peerRoom(files int) *reserve.Pool { return otherRoom(files, peerPart) }

// operatorRoom returns the room of an address for scrapes or the platform's questions, nil
// for no limits.
func operatorRoom(files int) *reserve.Pool { return otherRoom(files, operatorPart) }

func otherRoom(files, part int) *reserve.Pool {
	if files <= 0 {
		return nil
	}
	return reserve.New(0, max(sockets(files)/otherPart/part, 1))
}

// room returns what callers may hold of so many bytes and descriptors, nil for no limits.
func room(bytes, files int, counts *metrics.Metrics) *reserve.Pool {
	pool := reserve.New(int64(bytes), connections(files))
	if pool != nil && counts != nil {
		pool.Counted = func(kind memory.Kind, closed bool) { counts.NoRoom(kind.String(), closed) }
	}
	return pool
}

// bytesOf returns the memory that a process of the settings may use.
func bytesOf(common *settings.Common) int { return int(common.Memory) << 20 }

// measureRoom brings the gauges of callers' room up to date.
func measureRoom(pool *reserve.Pool, counts *metrics.Metrics) {
	if pool != nil {
		counts.Callers(pool.Read(func(kind memory.Kind, bytes int64) { counts.Reserved(kind.String(), bytes) }))
	}
}
