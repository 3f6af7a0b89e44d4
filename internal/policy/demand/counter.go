package demand

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// initialSlotTime is the expected slot time of a request before any has ended.
	initialSlotTime = time.Second
	// slotTimeWeight is the weight of a new request in the mean slot time.
	slotTimeWeight = 0.05
)

// Counter counts the slot-seconds that the requests of one process needed. It is
// safe for concurrent use.
type Counter struct {
	Entry string // name of the process

	mu     sync.Mutex
	usages map[poolTier]*slotUsage
}

// slotUsage is the use of slots by the requests of one pool and tier.
type slotUsage struct {
	total float64 // slot-seconds, estimates for refused requests included
	mean  float64 // moving average, seconds for each request
}

// RecordSlotTime adds the time for which a request held a slot.
func (c *Counter) RecordSlotTime(request *chicoryrock.Request, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usage := c.usage(request)
	usage.total += duration.Seconds()
	usage.mean += slotTimeWeight * (duration.Seconds() - usage.mean)
}

// RecordRefusal adds the mean slot time for a request that was refused for lack of
// capacity. Other reasons are ignored.
func (c *Counter) RecordRefusal(request *chicoryrock.Request, reason chicoryrock.Reason) {
	switch reason {
	case chicoryrock.ReasonLate, chicoryrock.ReasonQueueFull, chicoryrock.ReasonServerLimit, chicoryrock.ReasonNoServer, chicoryrock.ReasonEvacuated:
	default:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	usage := c.usage(request)
	usage.total += usage.mean
}

func (c *Counter) usage(request *chicoryrock.Request) *slotUsage {
	key := poolTier{pool: request.Pool, tier: request.Tier}
	if c.usages == nil {
		c.usages = make(map[poolTier]*slotUsage)
	}
	if c.usages[key] == nil {
		c.usages[key] = &slotUsage{mean: initialSlotTime.Seconds()}
	}
	return c.usages[key]
}

// Report returns the totals since the start of this process, for the other
// processes.
func (c *Counter) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := Report{Entry: c.Entry}
	for key, usage := range c.usages {
		report.Totals = append(report.Totals, Total{Pool: key.pool, Tier: key.tier, SlotSeconds: usage.total})
	}
	slices.SortFunc(report.Totals, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Tier, b.Tier))
	})
	return report
}
