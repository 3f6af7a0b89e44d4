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
	// farDelay is what a request loses on the way to the other region and back.
	farDelay = 20 * time.Millisecond
	// bytesPerToken turns a prompt into bytes on the link between regions.
	bytesPerToken = 4
	// linkRate is the part of that link that one request counts on, in bytes a second.
	linkRate = 1e6
	// crossWindow is the last part of a request's target in which it may cross.
	crossWindow = 0.25
	// missedWindow is how long a missed target makes requests cross.
	missedWindow = time.Second
	// farBound is the utilization up to which the other region has room.
	farBound = 0.8
	// window is how many neighbours on the ring a prefix is mapped to.
	window = 8
)

// How far away a replica is.
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

// Sort implements chicoryrock.Observer: nearest first, and by the hash of
// their names among those that are equally near.
func (p *Picker) Sort(replicas []chicoryrock.Replica) {
	slices.SortFunc(replicas, func(a, b chicoryrock.Replica) int {
		return cmp.Or(
			cmp.Compare(p.distance(&a), p.distance(&b)),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
			cmp.Compare(a.Name, b.Name))
	})
	p.forget(replicas)
}

// forget drops what was learned of replicas that are gone.
func (p *Picker) forget(replicas []chicoryrock.Replica) {
	if len(replicas) == 0 {
		return
	}
	t := p.pool(replicas[0].Pool)
	t.size = len(replicas)
	for name, h := range t.replicas {
		here := slices.ContainsFunc(replicas, func(r chicoryrock.Replica) bool { return r.Name == name })
		if here {
			continue
		}
		if h.suspended {
			t.down--
		}
		delete(t.replicas, name)
	}
}

// bounds returns how many of the replicas are in the own data centre, and in the
// own region.
func (p *Picker) bounds(replicas []chicoryrock.Replica) (near, region int) {
	near = sort.Search(len(replicas), func(i int) bool { return p.distance(&replicas[i]) > ownCentre })
	region = sort.Search(len(replicas), func(i int) bool { return p.distance(&replicas[i]) > ownRegion })
	return near, region
}

// far returns the best replica of the other region when the request may cross.
func (p *Picker) far(now time.Time, t *pool, request *chicoryrock.Request, replicas []chicoryrock.Replica, region int) candidate {
	reason := t.mayCross(now, request, replicas[:region])
	if reason == stay {
		return none
	}
	best := p.best(now, t, replicas, region, len(replicas))
	if reason == relieve && best.load > farBound {
		return none
	}
	return best
}

// crossing is why a request may go to the other region.
type crossing int

const (
	// stay: it may not.
	stay crossing = iota
	// rescue: it would miss its target here, or nothing is left here.
	rescue
	// relieve: others miss their targets here.
	relieve
)

// mayCross says whether a request may go to the other region. It may when no
// replica of the own region is left, when waiting longer would miss its target
// while crossing still meets it, and, if the other region has room, while
// requests of this pool miss their targets here. A long document takes so long on
// the link that little is gained; it stays.
func (t *pool) mayCross(now time.Time, request *chicoryrock.Request, own []chicoryrock.Replica) crossing {
	if !t.anyUp(own) {
		return rescue
	}
	transfer := time.Duration(float64(request.PromptTokens*bytesPerToken) / linkRate * float64(time.Second))
	patience := time.Duration(crossWindow * float64(request.Deadline.Sub(request.Arrived)))
	spare := request.Deadline.Sub(now) - farDelay - transfer - t.first
	switch {
	case spare < 0 || transfer > patience:
		return stay
	case spare <= patience:
		return rescue
	case !t.missed.IsZero() && now.Sub(t.missed) < missedWindow:
		return relieve
	default:
		return stay
	}
}

// emptiest returns the replica for a suspect: the least busy one that runs no
// other suspect, so that as few requests as possible are hit if it crashes. All
// are looked at, because suspects are few.
func (p *Picker) emptiest(now time.Time, t *pool, replicas []chicoryrock.Replica) candidate {
	best := none
	for i := range replicas {
		if !replicas[i].RunsSuspect {
			best = lighter(best, p.weigh(now, t, replicas, i))
		}
	}
	return best
}

func (t *pool) anyUp(replicas []chicoryrock.Replica) bool {
	for i := range replicas {
		if h := t.replicas[replicas[i].Name]; !replicas[i].Leaving && (h == nil || !h.suspended) {
			return true
		}
	}
	return false
}

// prefer returns the replica that probably has a prefix in its cache, by
// rendezvous hashing among a few neighbours on the ring of names. Looking at a
// few only keeps the choice as quick in a large pool as in a small one, and a
// replica that comes or goes moves only the prefixes of its neighbours.
func prefer(prefix uint64, replicas []chicoryrock.Replica) int {
	place := mix(prefix)
	start := sort.Search(len(replicas), func(i int) bool {
		return xxhash.Sum64String(replicas[i].Name) >= place
	})
	best, highest := 0, uint64(0)
	for i := range min(window, len(replicas)) {
		at := (start + i) % len(replicas)
		if score := mix(prefix ^ xxhash.Sum64String(replicas[at].Name)); score >= highest {
			best, highest = at, score
		}
	}
	return best
}

// mix hashes a number.
func mix(x uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], x)
	return xxhash.Sum64(b[:])
}
