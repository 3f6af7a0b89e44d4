package pick

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// crossRegionRTT is the network time to the other region and back.
	crossRegionRTT = 20 * time.Millisecond
	// bytesPerToken is the estimated size of a prompt's token on the link between
	// regions.
	bytesPerToken = 4
	// linkRate is the part of that link's bandwidth that one request can count on, in
	// bytes per second.
	linkRate = 1e6
	// crossWindowShare is the share of the time from a request's arrival to its
	// deadline, at its end, in which the request may cross to the other region.
	crossWindowShare = 0.25
	// missedWindow is how long after a missed deadline requests of the pool may cross.
	missedWindow = time.Second
	// maxRemoteUtilization is the utilization up to which a replica of the other
	// region has room.
	maxRemoteUtilization = 0.8
	// ringWindow is the number of neighbouring replicas on the hash ring that a prefix
	// is mapped to.
	ringWindow = 8
)

// Distances of a replica from this entry.
const (
	ownCentre = iota
	ownRegion
	otherRegion
)

func (p *Picker) distance(replica *chicoryrock.Replica) int {
	switch {
	case replica.Centre == p.Centre:
		return ownCentre
	case replica.Region == p.Region:
		return ownRegion
	default:
		return otherRegion
	}
}

// Sort implements chicoryrock.Observer. The nearest replicas come first; those at
// the same distance are in the order of the hashes of their names.
func (p *Picker) Sort(replicas []chicoryrock.Replica) {
	slices.SortFunc(replicas, func(a, b chicoryrock.Replica) int {
		return cmp.Or(
			cmp.Compare(p.distance(&a), p.distance(&b)),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
			cmp.Compare(a.Name, b.Name))
	})
	p.dropRemoved(replicas)
}

// dropRemoved drops the health of replicas that are no longer in the pool.
func (p *Picker) dropRemoved(replicas []chicoryrock.Replica) {
	if len(replicas) == 0 {
		return
	}
	s := p.state(replicas[0].Pool)
	s.replicaCount = len(replicas)
	for name, h := range s.replicas {
		present := slices.ContainsFunc(replicas, func(r chicoryrock.Replica) bool { return r.Name == name })
		if present {
			continue
		}
		if h.suspended {
			s.suspendedCount--
		}
		delete(s.replicas, name)
	}
}

// localityBounds returns the indices at which, in the order of Sort, the replicas
// of the own data centre end and those of the own region.
func (p *Picker) localityBounds(replicas []chicoryrock.Replica) (centreEnd, regionEnd int) {
	centreEnd = sort.Search(len(replicas), func(i int) bool { return p.distance(&replicas[i]) > ownCentre })
	regionEnd = sort.Search(len(replicas), func(i int) bool { return p.distance(&replicas[i]) > ownRegion })
	return centreEnd, regionEnd
}

// bestRemote returns the best replica of the other region if the request may cross.
func (p *Picker) bestRemote(now time.Time, s *poolState, request *chicoryrock.Request, replicas []chicoryrock.Replica, regionEnd int) candidate {
	decision := s.decideCrossing(now, request, replicas[:regionEnd])
	if decision == stay {
		return noCandidate
	}
	best := p.bestOfSample(now, s, replicas, regionEnd, len(replicas))
	if decision == crossIfRoom && best.utilization > maxRemoteUtilization {
		return noCandidate
	}
	return best
}

// crossing is the decision whether a request may go to the other region.
type crossing int

const (
	// stay keeps the request in its own region.
	stay crossing = iota
	// cross lets the request cross because it would miss its deadline in its own
	// region, or because no replica is left there.
	cross
	// crossIfRoom lets the request cross to a replica with room, to relieve its own
	// region, where other requests miss their deadlines.
	crossIfRoom
)

// decideCrossing decides whether a request may go to the other region. It may if
// no replica of the own region is left, or if it would miss its deadline by
// waiting longer but still meets it by crossing. It also may while requests of
// this pool miss their deadlines in the own region, if the other region has room.
// A long document stays: it takes so long on the link that crossing gains little.
func (s *poolState) decideCrossing(now time.Time, request *chicoryrock.Request, ownReplicas []chicoryrock.Replica) crossing {
	if !s.anyUp(ownReplicas) {
		return cross
	}
	transfer := time.Duration(float64(request.PromptTokens*bytesPerToken) / linkRate * float64(time.Second))
	window := time.Duration(crossWindowShare * float64(request.Deadline.Sub(request.Arrived)))
	slack := request.Deadline.Sub(now) - crossRegionRTT - transfer - s.medianFirstToken
	switch {
	case slack < 0 || transfer > window:
		return stay
	case slack <= window:
		return cross
	case !s.lastMissed.IsZero() && now.Sub(s.lastMissed) < missedWindow:
		return crossIfRoom
	default:
		return stay
	}
}

// bestForSuspect returns the least busy replica that runs no other suspect, so
// that a crash hits as few requests as possible. It evaluates all replicas instead
// of a sample, because suspects are few.
func (p *Picker) bestForSuspect(now time.Time, s *poolState, replicas []chicoryrock.Replica) candidate {
	best := noCandidate
	for i := range replicas {
		if !replicas[i].RunsSuspect {
			best = lessBusy(best, p.evaluate(now, s, replicas, i))
		}
	}
	return best
}

// anyUp reports whether one of the replicas is neither leaving nor suspended.
func (s *poolState) anyUp(replicas []chicoryrock.Replica) bool {
	for i := range replicas {
		if h := s.replicas[replicas[i].Name]; !replicas[i].Leaving && !replicas[i].Evacuated && (h == nil || !h.suspended) {
			return true
		}
	}
	return false
}

// prefixReplica returns the index of the replica that probably has a prefix in its
// cache, by rendezvous hashing among a few neighbours on the ring of hashed names.
// With so few, the choice takes as little time in a large pool as in a small one,
// and a replica that joins or leaves moves only the prefixes of its neighbours.
func prefixReplica(prefixHash uint64, replicas []chicoryrock.Replica) int {
	position := hash64(prefixHash)
	start := sort.Search(len(replicas), func(i int) bool {
		return xxhash.Sum64String(replicas[i].Name) >= position
	})
	best, highest := 0, uint64(0)
	for i := range min(ringWindow, len(replicas)) {
		index := (start + i) % len(replicas)
		if score := hash64(prefixHash ^ xxhash.Sum64String(replicas[index].Name)); score >= highest {
			best, highest = index, score
		}
	}
	return best
}

// hash64 returns the xxHash of a number's little-endian bytes.
func hash64(x uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], x)
	return xxhash.Sum64(b[:])
}
