package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// crowd is a fleet of many processes that exchange parcels.
type crowd struct {
	now    time.Time
	names  []string
	fleets map[string]*Fleet
	loads  map[string][]chicoryrock.OpenLoad
	silent map[string]bool
	sent   int // parcels of the last round
	bytes  int
}

func newCrowd(size int) *crowd {
	c := &crowd{now: start, fleets: map[string]*Fleet{}, loads: map[string][]chicoryrock.OpenLoad{}, silent: map[string]bool{}}
	for i := range size {
		name := fmt.Sprintf("front-%03d", i)
		c.names = append(c.names, name)
		c.fleets[name] = &Fleet{Self: name}
	}
	return c
}

// change gives each process other loads on some of many servers.
func (c *crowd) change(random *rand.Rand) {
	for _, name := range c.names {
		var loads []chicoryrock.OpenLoad
		for of := range uint32(180) {
			if random.IntN(9) == 0 {
				loads = append(loads, chicoryrock.OpenLoad{KeyHash: of, Running: 1 + random.IntN(3), UnreadTokens: random.IntN(4000)})
			}
		}
		c.loads[name] = loads
	}
}

func (c *crowd) report(name string) Report {
	return Report{Process: name, Sent: c.now, Clock: c.now, Loads: c.loads[name]}
}

// all lets each process tell all others, as happens about once a second.
func (c *crowd) all() {
	for _, name := range c.names {
		report := c.report(name)
		for _, other := range c.names {
			if !c.silent[name] {
				c.fleets[other].Receive(c.now, c.now, &report)
			}
		}
	}
}

// round lets each process send its parcels once.
func (c *crowd) round(t *testing.T, pass time.Duration) {
	c.now = c.now.Add(pass)
	c.sent, c.bytes = 0, 0
	for _, name := range c.names {
		own := c.report(name)
		for _, parcel := range c.fleets[name].RelayMessages(c.now, &own) {
			if c.silent[name] {
				continue
			}
			data := parcel.Report.Append(nil)
			got, err := Parse(data)
			require.NoError(t, err)
			c.fleets[parcel.To].Receive(c.now, c.now, &got)
			c.sent++
			c.bytes += len(data)
		}
	}
}

func (c *crowd) truth(but string) map[uint32]chicoryrock.OpenLoad {
	sum := make(map[uint32]chicoryrock.OpenLoad)
	for _, name := range c.names {
		if name != but {
			add(sum, c.loads[name])
		}
	}
	return sum
}

func (c *crowd) requireTruth(t *testing.T) {
	for _, name := range c.names {
		if !c.silent[name] {
			require.Equal(t, c.truth(name), c.fleets[name].Loads(c.now), name)
		}
	}
}

// What all others have open reaches each process within three rounds, by a number of
// messages that grows with the fleet and not with its square.
func TestLoadsAreRelayed(t *testing.T) {
	for _, size := range []int{leastRelayed, 103, 320} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(size)))
			c := newCrowd(size)
			c.change(random)
			c.all()
			for range 3 {
				c.change(random)
				for range 3 {
					c.round(t, 200*time.Millisecond)
				}
				c.requireTruth(t)
			}
			heads := (size + groupSize - 1) / groupSize
			require.LessOrEqual(t, c.sent, 2*size+heads*heads)
		})
	}
}

// While a head is silent its group goes by what all tell all, and so do the others for
// that group.
func TestSilentHeadIsDoneWithout(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	c := newCrowd(103)
	c.change(random)
	c.all()
	for range 3 {
		c.round(t, 200*time.Millisecond)
	}
	c.silent[c.names[groupSize]] = true
	for range 4 {
		c.all()
		c.round(t, 200*time.Millisecond)
	}
	c.requireTruth(t)
	c.now = c.now.Add(aliveTime)
	for range 3 {
		c.all()
		c.round(t, 200*time.Millisecond)
	}
	// Another process heads its group by now. What the silent one had counts no more.
	c.loads[c.names[groupSize]] = nil
	c.requireTruth(t)
}

func TestSmallFleetsTellEachOther(t *testing.T) {
	c := newCrowd(leastRelayed - 1)
	c.change(rand.New(rand.NewPCG(3, 3)))
	c.all()
	c.round(t, 200*time.Millisecond)
	require.Zero(t, c.sent)
	c.requireTruth(t)
}
