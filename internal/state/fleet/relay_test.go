package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// simulation is a fleet of many processes that relay loads.
type simulation struct {
	now    time.Time
	names  []string
	fleets map[string]*Fleet
	loads  map[string][]chicoryrock.OpenLoad
	silent map[string]bool
	sent   int // messages of the last relay round
	bytes  int
}

func newSimulation(size int) *simulation {
	s := &simulation{now: start, fleets: map[string]*Fleet{}, loads: map[string][]chicoryrock.OpenLoad{}, silent: map[string]bool{}}
	for i := range size {
		name := fmt.Sprintf("front-%03d", i)
		s.names = append(s.names, name)
		s.fleets[name] = &Fleet{Self: name}
	}
	return s
}

// randomizeLoads gives each process new loads on some of many servers.
func (s *simulation) randomizeLoads(random *rand.Rand) {
	for _, name := range s.names {
		var loads []chicoryrock.OpenLoad
		for key := range uint32(180) {
			if random.IntN(9) == 0 {
				loads = append(loads, chicoryrock.OpenLoad{KeyHash: key, Open: 1 + random.IntN(3), UnreadTokens: random.IntN(4000)})
			}
		}
		s.loads[name] = loads
	}
}

func (s *simulation) report(name string) Report {
	return Report{Process: name, Sent: s.now, Clock: s.now, Loads: s.loads[name]}
}

// broadcast sends the report of each process to all others, as happens about once a
// second.
func (s *simulation) broadcast() {
	for _, name := range s.names {
		report := s.report(name)
		for _, other := range s.names {
			if !s.silent[name] {
				s.fleets[other].Receive(s.now, s.now, &report)
			}
		}
	}
}

// relayRound sends the relay messages of each process once.
func (s *simulation) relayRound(t *testing.T, elapsed time.Duration) {
	s.now = s.now.Add(elapsed)
	s.sent, s.bytes = 0, 0
	for _, name := range s.names {
		own := s.report(name)
		for _, message := range s.fleets[name].RelayMessages(s.now, &own) {
			if s.silent[name] {
				continue
			}
			data := message.Report.Append(nil)
			got, err := Parse(data)
			require.NoError(t, err)
			s.fleets[message.To].Receive(s.now, s.now, &got)
			s.sent++
			s.bytes += len(data)
		}
	}
}

func (s *simulation) expectedLoads(receiver string) map[uint32]chicoryrock.OpenLoad {
	sum := make(map[uint32]chicoryrock.OpenLoad)
	for _, name := range s.names {
		if name != receiver {
			addLoads(sum, s.loads[name])
		}
	}
	return sum
}

func (s *simulation) requireExpectedLoads(t *testing.T) {
	for _, name := range s.names {
		if !s.silent[name] {
			require.Equal(t, s.expectedLoads(name), s.fleets[name].Loads(s.now), name)
		}
	}
}

// The loads of all others reach each process within three rounds, and the number of
// messages grows with the size of the fleet, not with its square.
func TestLoadsAreRelayed(t *testing.T) {
	for _, size := range []int{minRelayedFleet, 103, 320} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(size)))
			s := newSimulation(size)
			s.randomizeLoads(random)
			s.broadcast()
			for range 3 {
				s.randomizeLoads(random)
				for range 3 {
					s.relayRound(t, 200*time.Millisecond)
				}
				s.requireExpectedLoads(t)
			}
			heads := (size + groupSize - 1) / groupSize
			require.LessOrEqual(t, s.sent, 2*size+heads*heads)
		})
	}
}

// While a head is silent, the members of its group use the broadcast loads, and so do
// the other processes for the loads of that group.
func TestSilentHeadIsBypassed(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	s := newSimulation(103)
	s.randomizeLoads(random)
	s.broadcast()
	for range 3 {
		s.relayRound(t, 200*time.Millisecond)
	}
	s.silent[s.names[groupSize]] = true
	for range 4 {
		s.broadcast()
		s.relayRound(t, 200*time.Millisecond)
	}
	s.requireExpectedLoads(t)
	s.now = s.now.Add(aliveTimeout)
	for range 3 {
		s.broadcast()
		s.relayRound(t, 200*time.Millisecond)
	}
	// By now another process is the head of the group, and the loads of the silent one
	// are no longer valid.
	s.loads[s.names[groupSize]] = nil
	s.requireExpectedLoads(t)
}

func TestSmallFleetsDoNotRelay(t *testing.T) {
	s := newSimulation(minRelayedFleet - 1)
	s.randomizeLoads(rand.New(rand.NewPCG(3, 3)))
	s.broadcast()
	s.relayRound(t, 200*time.Millisecond)
	require.Zero(t, s.sent)
	s.requireExpectedLoads(t)
}
