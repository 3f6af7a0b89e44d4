package memory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	testLimit  = 64 << 20
	testPlaces = 100
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

func owner(n byte, workspace string) Owner {
	return Owner{Address: netip.AddrFrom4([4]byte{10, 0, 0, n}), Workspace: workspace}
}

// sim drives an account with arbitrary calls and keeps its own books of what is held.
type sim struct {
	account Account
	now     time.Time
	held    map[ID]*entry
}

type entry struct {
	claim   Claim
	wants   int64 // bytes that it waits for
	place   int   // connections that it waits for
	waits   bool
	closing bool
	since   time.Time
}

func (s *sim) sums(address netip.Addr, workspace string) (ofAddress, ofWorkspace int64, places int) {
	for _, e := range s.held {
		if e.claim.Owner.Address == address {
			ofAddress += e.claim.Bytes
			places += e.claim.Places
		}
		if workspace != "" && e.claim.Owner.Workspace == workspace {
			ofWorkspace += e.claim.Bytes
		}
	}
	return ofAddress, ofWorkspace, places
}

// mayClose states in plain terms for whom a hold may be closed: never one that runs, and
// others only for the same caller's or for one that uses less.
func (s *sim) mayClose(t *rapid.T, victim, asker *entry, bytes int64, places int) {
	kind := victim.claim.Kind
	require.False(t, victim.closing, "closed twice")
	require.NotContains(t, []Kind{Running, Stream, Connection}, kind)
	if kind == Answer {
		require.GreaterOrEqual(t, s.now.Sub(victim.since), stalled)
	}
	mine, of := asker.claim.Owner, victim.claim.Owner
	if mine.Address == of.Address && kind != Waiting && kind != Body {
		return
	}
	theirBytes, theirWorkspace, theirPlaces := s.sums(of.Address, of.Workspace)
	myBytes, myWorkspace, myPlaces := s.sums(mine.Address, mine.Workspace)
	byAddress := of.Address != mine.Address && (theirBytes > myBytes+bytes || places > 0 && theirPlaces > myPlaces+places)
	byWorkspace := of.Workspace != mine.Workspace && theirWorkspace > myWorkspace+bytes
	require.True(t, byAddress || byWorkspace, "%v displaced by %v", victim, asker)
}

func (s *sim) take(t *rapid.T, verdict Verdict, e *entry, bytes int64, places int) {
	for _, id := range verdict.Close {
		s.mayClose(t, s.held[id], e, bytes, places)
		s.held[id].closing, s.held[id].waits = true, false
	}
	switch verdict.Decision {
	case Admitted:
		e.claim.Bytes += bytes
		e.claim.Places += places
	case Waits:
		e.waits, e.wants, e.place = true, bytes, places
	case Refused:
		return
	}
	s.held[verdict.ID] = e
}

// any draws a hold; false if there is none.
func (s *sim) any(t *rapid.T) (ID, bool) {
	var ids []ID
	for id := ID(1); id <= s.account.last; id++ {
		if s.held[id] != nil {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "hold"), true
}

// An account of any history stays within its limits, closes nothing that runs and nothing
// of a caller that uses less than the one that asks, and serves a single request.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{account: Account{Limit: testLimit, Places: testPlaces}, now: start, held: map[ID]*entry{}}
		actions := map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				claim := Claim{
					Owner: owner(rapid.ByteRange(1, 4).Draw(t, "address"), rapid.SampledFrom([]string{"", "w1", "w2"}).Draw(t, "workspace")),
					Kind:  Body, Bytes: rapid.SampledFrom([]int64{1 << 10, 1 << 20, 4 << 20, 16 << 20}).Draw(t, "bytes"), Wait: time.Second,
				}
				if rapid.Bool().Draw(t, "connection") {
					claim = Claim{Owner: Owner{Address: claim.Owner.Address}, Kind: Idle, Bytes: 1 << 20, Places: rapid.IntRange(1, 20).Draw(t, "places")}
				}
				e := &entry{claim: claim, since: s.now}
				e.claim.Bytes, e.claim.Places = 0, 0
				s.take(t, s.account.Ask(s.now, claim), e, claim.Bytes, claim.Places)
			},
			"grow": func(t *rapid.T) {
				id, found := s.any(t)
				if !found {
					return
				}
				if e := s.held[id]; !e.waits && !e.closing {
					bytes := rapid.Int64Range(1, 8<<20).Draw(t, "bytes")
					s.take(t, s.account.Grow(s.now, id, bytes, time.Second), e, bytes, 0)
				}
			},
			"shrink": func(t *rapid.T) {
				id, found := s.any(t)
				if !found {
					return
				}
				bytes := rapid.Int64Range(0, s.held[id].claim.Bytes).Draw(t, "bytes")
				s.account.Shrink(id, bytes)
				s.held[id].claim.Bytes -= bytes
			},
			"move": func(t *rapid.T) {
				id, found := s.any(t)
				if !found {
					return
				}
				e := s.held[id]
				if e.waits || e.claim.Kind.ofConnection() {
					return
				}
				kind := rapid.SampledFrom([]Kind{Waiting, Running, Stream, Answer}).Draw(t, "kind")
				require.Equal(t, !e.closing, s.account.Move(s.now, id, kind))
				if !e.closing {
					e.claim.Kind, e.since = kind, s.now
				}
			},
			"release": func(t *rapid.T) {
				id, found := s.any(t)
				if !found {
					return
				}
				s.account.Release(id)
				delete(s.held, id)
			},
			"withdraw": func(t *rapid.T) {
				id, found := s.any(t)
				if !found {
					return
				}
				e := s.held[id]
				require.Equal(t, e.waits, s.account.Withdraw(id))
				if e.waits = false; e.claim.Bytes == 0 && e.claim.Places == 0 {
					s.account.Release(id)
					delete(s.held, id)
				}
			},
			"time": func(t *rapid.T) {
				s.now = s.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, stalled}).Draw(t, "passes"))
			},
			"": func(t *rapid.T) {
				for _, id := range s.account.Granted() {
					e := s.held[id]
					require.True(t, e.waits && !e.closing)
					e.claim.Bytes += e.wants
					e.claim.Places += e.place
					e.waits = false
				}
				var sum int64
				places := 0
				for _, e := range s.held {
					sum += e.claim.Bytes
					places += e.claim.Places
				}
				bytes, used := s.account.Total()
				require.Equal(t, sum, bytes)
				require.Equal(t, places, used)
				require.LessOrEqual(t, bytes, int64(testLimit))
				require.LessOrEqual(t, used, testPlaces)
			},
		}
		t.Repeat(actions)
		for id, e := range s.held {
			s.account.Withdraw(id)
			if !e.claim.Kind.ofConnection() {
				s.account.Release(id)
			}
		}
		connections := s.account.ofConnections()
		body := rapid.Int64Range(0, testLimit-connections).Draw(t, "single")
		require.Empty(t, s.account.waiting)
		require.Equal(t, Admitted, s.account.Ask(s.now, Claim{Owner: owner(9, "w9"), Kind: Body, Bytes: body}).Decision)
	})
}

// The order in which room is taken from others, and from whom.
func TestVictims(t *testing.T) {
	crowd, other := owner(1, "w1"), owner(2, "w2")
	cases := []struct {
		name  string
		kind  Kind
		owner Owner
		after time.Duration
		want  Decision
		close int
	}{
		{"a body of the crowd for another caller", Body, crowd, 0, Waits, 1},
		{"a waiting request of the crowd for another caller", Waiting, crowd, 0, Waits, 1},
		{"a running request stays", Running, crowd, 0, Refused, 0},
		{"a stream stays", Stream, crowd, 0, Refused, 0},
		{"an answer that has just made progress stays", Answer, crowd, 0, Refused, 0},
		{"an unread answer of the crowd", Answer, crowd, stalled, Waits, 1},
		{"an unread answer of its own", Answer, other, stalled, Waits, 1},
		{"a body of its own stays", Body, other, 0, Refused, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := Account{Limit: testLimit}
			for range 7 {
				held := a.Ask(start, Claim{Owner: c.owner, Kind: Body, Bytes: 8 << 20})
				require.Equal(t, Admitted, held.Decision)
				require.True(t, a.Move(start, held.ID, c.kind))
			}
			got := a.Ask(start.Add(c.after), Claim{Owner: other, Kind: Body, Bytes: 8 << 20})
			require.Equal(t, c.want, got.Decision)
			require.Len(t, got.Close, c.close)
			for _, id := range got.Close {
				require.False(t, a.Move(start, id, Running))
				a.Release(id)
				require.Equal(t, []ID{got.ID}, a.Granted())
			}
		})
	}
}

// A crowd of large bodies leaves room for small requests, and its own wait for their turn.
func TestSmallRequestsPassLargeBodies(t *testing.T) {
	a := Account{Limit: testLimit}
	large := Claim{Owner: owner(1, "w1"), Kind: Body, Bytes: 4 << 20, Wait: time.Second}
	var admitted, waiting []ID
	for range 20 {
		verdict := a.Ask(start, large)
		if verdict.Decision == Admitted {
			admitted = append(admitted, verdict.ID)
		} else {
			require.Equal(t, start.Add(time.Second), verdict.Until)
			waiting = append(waiting, verdict.ID)
		}
	}
	require.Len(t, admitted, 14)
	require.Equal(t, Admitted, a.Ask(start, Claim{Owner: owner(1, "w1"), Kind: Body, Bytes: small}).Decision)
	late := a.Ask(start, Claim{Owner: owner(2, "w2"), Kind: Body, Bytes: 2 << 20, Wait: time.Second})
	a.Release(admitted[0])
	require.Contains(t, a.Granted(), late.ID, "a caller that uses less comes first")
	a.Release(admitted[1])
	require.Contains(t, a.Granted(), waiting[0])
}
