package place

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// reserveLoad is the share of their time that the replicas reserved for a group of
	// requests are to be busy reading its prompts: more, and these wait for each other.
	reserveLoad = 0.4
	// mostReserved is the largest share of a pool that is reserved for groups with
	// nearer targets: the rest takes whatever can be in time there.
	mostReserved = 0.6
	// reserveShare is how much of a group's target other prompts may take up on a
	// replica that is reserved for it. What is left is for the group's own prompts.
	reserveShare = 0.5
	// reserveMargin is by how much a group's target has to be shorter for it to need
	// room from another one.
	reserveMargin = 0.7
	// leastDemand is the demand below which a group is forgotten, tokens a second.
	leastDemand = 1
	// askName begins the name under which processes tell of a group.
	askName = "/ask/"
)

// Prompts with a distant target may fill up an engine's backlog to that target, and
// still be in time. If they do so on every engine, no prompt with a near target can
// begin in time anywhere, however urgent it is. So as many replicas as the work of the
// groups with nearer targets asks for are reserved: others may use these only as far
// as the group's own prompts still are in time there. For requests that are more urgent
// than the group that holds only while they would be in time elsewhere. Nothing is
// reserved for a group that asks for nothing.

// group is the requests of a pool with the same target and tier.
type group struct {
	target float64 // milliseconds
	tier   int
	of     uint32  // hash of the name under which processes tell of it
	demand float64 // tokens of prompts that this process is asked to have read, a second
	others float64 // the same of the other processes

	overload overload
}

// reserve is the groups of a pool, the nearest target first.
type reserve struct {
	groups []group
	at     time.Time
	bounds []bound // for the request that is being placed
}

// bound is how long the replicas up to a place, from the end of the order, may be
// busy with prompts before one of the group they are reserved for, milliseconds.
type bound struct {
	upTo int
	most float64
	firm bool // it holds also where the request can't be in time elsewhere
}

// ownTokens is what no engine can have in memory of a prompt.
func ownTokens(request *chicoryrock.Request) float64 {
	if len(request.Parts) == 0 {
		return float64(request.PromptTokens)
	}
	sum := 0
	for _, part := range request.Parts[:len(request.Parts)-1] {
		sum += part.Tokens
	}
	return float64(max(request.PromptTokens-sum, 0))
}

// RecordArrival takes in that a request has come, whether or not it can be placed.
func (p *Placer) RecordArrival(now time.Time, request *chicoryrock.Request) {
	if request.PromptTokens == 0 || request.FirstTokenTarget <= 0 {
		return
	}
	t := p.pool(request.Pool)
	t.reserve.decay(now)
	g := t.reserve.group(t.name, milliseconds(request.FirstTokenTarget), request.Tier)
	g.demand += ownTokens(request) / demandWindow.Seconds()
}

// group returns the group with a target and a tier, made if need be.
func (s *reserve) group(pool string, target float64, tier int) *group {
	at, found := slices.BinarySearchFunc(s.groups, group{target: target, tier: tier}, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.tier, b.tier))
	})
	if !found {
		name := pool + askName + strconv.FormatFloat(target, 'f', -1, 64) + "/" + strconv.Itoa(tier)
		s.groups = slices.Insert(s.groups, at, group{target: target, tier: tier, of: hashOf(name)})
	}
	return &s.groups[at]
}

func (s *reserve) decay(now time.Time) {
	if !s.at.IsZero() && now.After(s.at) {
		kept := math.Exp(-now.Sub(s.at).Seconds() / demandWindow.Seconds())
		for i := range s.groups {
			s.groups[i].demand *= kept
		}
		s.groups = slices.DeleteFunc(s.groups, func(g group) bool { return g.demand+g.others < leastDemand })
	}
	s.at = now
}

// loads returns what this process asks, for the others: only of the groups for
// which others may have to leave room.
func (s *reserve) loads(now time.Time) []chicoryrock.OpenLoad {
	s.decay(now)
	if len(s.groups) == 0 {
		return nil
	}
	var loads []chicoryrock.OpenLoad
	furthest := s.groups[len(s.groups)-1].target
	for i := range s.groups {
		if asks := int(s.groups[i].demand); asks > 0 && s.groups[i].target <= reserveMargin*furthest {
			loads = append(loads, chicoryrock.OpenLoad{KeyHash: s.groups[i].of, UnreadTokens: asks})
		}
	}
	return loads
}

// hear takes in what the others ask.
func (s *reserve) hear(others map[uint32]chicoryrock.OpenLoad) {
	for i := range s.groups {
		s.groups[i].others = float64(others[s.groups[i].of].UnreadTokens)
	}
}

// bind sets the bounds for a request. Reserved are replicas from the end of the order,
// where no long prompts are read when the sides are kept: first those for the groups
// that are at least as urgent as the request, then those for the others.
func (t *pool) bind(now time.Time, request *chicoryrock.Request) {
	s := &t.reserve
	s.decay(now)
	s.bounds = s.bounds[:0]
	wanted := t.boundBy(0, request, true)
	t.boundBy(wanted, request, false)
}

// boundBy adds the bounds for the groups that are at least as urgent as a request, or
// for those that are not, behind what so many replicas are reserved for. It returns
// how many are reserved then.
func (t *pool) boundBy(wanted float64, request *chicoryrock.Request, firm bool) float64 {
	s := &t.reserve
	for i := range s.groups {
		g := &s.groups[i]
		if g.target > reserveMargin*milliseconds(request.FirstTokenTarget) {
			break
		}
		if firm != (g.tier <= request.Tier) {
			continue
		}
		wanted += (g.demand + g.others) * t.pace.perToken() / 1000 / reserveLoad
		upTo := min(wanted, mostReserved*float64(len(t.sides.order)))
		s.bounds = append(s.bounds, bound{int(math.Round(upTo)), reserveShare * g.target, firm})
	}
	return wanted
}

// over is by how much a replica would be busy for longer than the group allows that it
// is reserved for, milliseconds, and whether that rules it out.
func (t *pool) over(r *replica, busy float64) (ms float64, firm bool) {
	for _, b := range t.reserve.bounds {
		if r.place < b.upTo {
			return max(0, busy-b.most), b.firm
		}
	}
	return 0, false
}
