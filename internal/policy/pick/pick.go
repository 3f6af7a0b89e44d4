// Package pick chooses the backend server for a request. The view that it
// chooses from is partial and stale: the load that replicas reported with their
// answers, and this entry's own open requests. Several entries choose at the same
// time, each from its own view, so each compares only a few replicas taken at
// random. If all entries chose the replica that looks idle, it would fill at once.
package pick

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// sampleSize is the number of replicas compared for one request.
	sampleSize = 4
	// maxScanned is the number of replicas searched for one that can take the
	// request when none of the sample can.
	maxScanned = 20
	// maxCentreUtilization is the utilization of the best replica in the own data
	// centre above which replicas in the rest of the region are compared too.
	maxCentreUtilization = 0.8
	// cacheAffinityMargin is how much higher the utilization of the replica that
	// probably has the request's prefix in its cache may be than that of the best.
	cacheAffinityMargin = 0.25
	// halfWeightAge is the age at which a replica's report has half of the weight in
	// the estimate of its load. The pool's average has the rest.
	halfWeightAge = time.Second
	// fullRetryInterval is how long a replica that reported itself full gets no
	// request. It doubles with each such report in a row, so that entries with long
	// queues don't keep sending requests to full replicas.
	fullRetryInterval = 50 * time.Millisecond
	// maxFullRetryDoublings is how often fullRetryInterval doubles at most.
	maxFullRetryDoublings = 3
)

// Picker implements chicoryrock.Picker. Set the exported fields before the first
// call. It is not safe for concurrent use.
type Picker struct {
	Centre string     // the entry's own data centre
	Region string     // the entry's own region
	Random *rand.Rand // seeded differently in each entry

	pools map[string]*poolState
}

var (
	_ chicoryrock.Picker   = (*Picker)(nil)
	_ chicoryrock.Observer = (*Picker)(nil)
)

// candidate is a replica that can take the request.
type candidate struct {
	index       int     // in the list of replicas; negative for no candidate
	utilization float64 // estimated
}

var noCandidate = candidate{index: -1}

func (c candidate) found() bool { return c.index >= 0 }

// Pick implements chicoryrock.Picker. The replicas are in the order of Sort. The
// own data centre is preferred to the rest of the region, and that to other
// regions: the link between regions is crossed only when deadlines would be
// missed here.
func (p *Picker) Pick(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	if len(replicas) == 0 {
		return 0, false
	}
	if request.Regions != nil {
		return p.pickBound(now, request, replicas)
	}
	s := p.state(request.Pool)
	centreEnd, regionEnd := p.localityBounds(replicas)
	if request.Suspect {
		best := p.bestForSuspect(now, s, replicas)
		return max(best.index, 0), best.found()
	}
	best := p.bestInRegion(now, s, request, replicas, centreEnd, regionEnd)
	if !best.found() {
		best = p.bestRemote(now, s, request, replicas, regionEnd)
	}
	if best.found() {
		s.postponeProbe(now, &replicas[best.index])
		return best.index, true
	}
	if index := p.lastResort(now, s, replicas); index >= 0 {
		s.postponeProbe(now, &replicas[index])
		return index, true
	}
	return 0, false
}

// pickBound is Pick for a request that is bound to regions: it picks among the replicas that
// may serve it.
func (p *Picker) pickBound(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	allowed := make([]chicoryrock.Replica, 0, len(replicas))
	indices := make([]int, 0, len(replicas))
	for i := range replicas {
		if request.Allows(&replicas[i]) {
			allowed = append(allowed, replicas[i])
			indices = append(indices, i)
		}
	}
	free := *request
	free.Regions = nil
	index, found := p.Pick(now, &free, allowed)
	if !found {
		return 0, false
	}
	return indices[index], true
}

// lastResort returns the index of a suspended replica that is due for a probe if
// all replicas are suspended, or -1. It serves requests that may not run twice:
// they are not used as probes while another replica can take them, but a pool
// that gets only such requests would otherwise never recover.
func (p *Picker) lastResort(now time.Time, s *poolState, replicas []chicoryrock.Replica) int {
	due := -1
	for i := range replicas {
		if replicas[i].Leaving || replicas[i].Evacuated {
			continue
		}
		h := s.replicas[replicas[i].Name]
		if h == nil || !h.suspended {
			return -1
		}
		if due < 0 && replicas[i].Open == 0 && !now.Before(h.nextProbe) {
			due = i
		}
	}
	return due
}

// bestInRegion returns the best replica of the own region: one that is due for a
// probe, else the one that probably has the request's prefix in its cache unless
// it is much busier than others, else the least busy of a sample.
func (p *Picker) bestInRegion(now time.Time, s *poolState, request *chicoryrock.Request, replicas []chicoryrock.Replica, centreEnd, regionEnd int) candidate {
	if index := p.dueForProbe(now, s, request, replicas[:regionEnd]); index >= 0 {
		return candidate{index: index}
	}
	best := p.bestOfSample(now, s, replicas, 0, centreEnd)
	if !best.found() || best.utilization > maxCentreUtilization {
		best = lessBusy(best, p.bestOfSample(now, s, replicas, centreEnd, regionEnd))
	}
	if request.PrefixHash == 0 || !best.found() {
		return best
	}
	localEnd := centreEnd
	if localEnd == 0 {
		localEnd = regionEnd
	}
	index := prefixReplica(request.PrefixHash, replicas[:localEnd])
	cached := p.evaluate(now, s, replicas, index)
	if cached.found() && cached.utilization <= best.utilization+cacheAffinityMargin {
		return cached
	}
	return best
}

// bestOfSample returns the least busy of a few replicas taken at random from the
// range [from, until). If none of them can take the request, it returns the first
// one found that can.
func (p *Picker) bestOfSample(now time.Time, s *poolState, replicas []chicoryrock.Replica, from, until int) candidate {
	count := until - from
	if count <= 0 {
		return noCandidate
	}
	start := p.Random.IntN(count)
	best := noCandidate
	for i := range min(sampleSize, count) {
		index := start + i
		if count > sampleSize {
			index = p.Random.IntN(count)
		}
		index = from + index%count
		s.addReport(&replicas[index])
		best = lessBusy(best, p.evaluate(now, s, replicas, index))
	}
	for i := 0; i < min(count, maxScanned) && !best.found(); i++ {
		best = p.evaluate(now, s, replicas, from+(start+i)%count)
	}
	return best
}

// lessBusy returns the found candidate with the lower utilization.
func lessBusy(a, b candidate) candidate {
	if !a.found() || (b.found() && b.utilization < a.utilization) {
		return b
	}
	return a
}

// evaluate estimates the utilization of a replica. It returns noCandidate for one
// that can't take another request.
func (p *Picker) evaluate(now time.Time, s *poolState, replicas []chicoryrock.Replica, index int) candidate {
	replica := &replicas[index]
	if replica.Leaving || replica.Evacuated || replica.Slots <= 0 {
		return noCandidate
	}
	slots := float64(replica.Slots)
	busy := float64(replica.Open) + s.othersLoad(now, replica)
	if busy+1 > slots {
		return noCandidate
	}
	if h := s.replicas[replica.Name]; h != nil || replica.SlowStart {
		if h = s.ensureHealth(replica, now); h.suspended {
			return noCandidate
		}
		slots *= h.slotShare(now)
	}
	if busy+1 > max(slots, 1) {
		return noCandidate
	}
	return candidate{index: index, utilization: busy / slots}
}

// othersLoad estimates how many requests of other entries a replica runs. The
// older its report is, the less weight it has against the pool's average. After the
// retry interval the replica counts as having a free slot, because only an answer
// to another request brings a new report.
func (s *poolState) othersLoad(now time.Time, replica *chicoryrock.Replica) float64 {
	if replica.LastSeen.IsZero() {
		return s.othersUtilization * float64(replica.Slots)
	}
	age := max(now.Sub(replica.LastSeen), 0)
	weight := float64(halfWeightAge) / float64(halfWeightAge+age)
	estimate := weight*float64(replica.OthersLoad) + (1-weight)*s.othersUtilization*float64(replica.Slots)
	if age >= fullRetryInterval<<min(max(replica.FullReports-1, 0), maxFullRetryDoublings) {
		estimate = min(estimate, float64(replica.Slots-1-replica.Open))
	}
	return max(estimate, 0)
}
