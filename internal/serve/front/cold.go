package front

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/place"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
	"github.com/chicoryrock/chicoryrock/platform"
)

// coldServers knows until when backend servers are cold. An entry says for how long from
// when it was written, and stays as it is until its server writes it again.
type coldServers struct {
	byBoot  map[boot]coldness
	limited map[uint64]time.Time // the ends of the limits in force, by place.ColdKey
}

// coldness is what a start of a backend server has last said of itself.
type coldness struct {
	heartbeat uint64
	until     time.Time
}

// set takes in the entries of all backend servers.
func (c *coldServers) set(now time.Time, list []chicoryrock.Server) {
	byBoot := make(map[boot]coldness)
	for i := range list {
		s := &list[i]
		this := boot{s.ID, s.StartedMs}
		known, found := c.byBoot[this]
		// An older entry that comes late says nothing new.
		if !found || s.Heartbeat > known.heartbeat {
			until := time.Time{}
			if s.ColdFor > 0 {
				until = now.Add(s.ColdFor)
			}
			known = coldness{s.Heartbeat, until}
		}
		byBoot[this] = known
	}
	c.byBoot = byBoot
}

// until returns until when a backend server is cold; the past or the zero value for one that
// isn't.
func (c *coldServers) until(s *chicoryrock.Server) time.Time {
	return c.byBoot[boot{s.ID, s.StartedMs}].until
}

// coldLimit returns the limit, requests a second, under which all processes together send a
// cold backend server no more in any second than the platform's bound; zero for no limit.
func coldLimit(rate float64, bounds *platform.Bounds) float64 {
	if rate <= 0 {
		return 0
	}
	return min(rate, quota.LimitWithin(rate*bounds.ColdOver+bounds.ColdSlack, time.Second))
}

// limitCold limits the backend servers that are cold, if their service says what they bear.
// The lock of the placer is held.
func (f *Front) limitCold(now time.Time, list []chicoryrock.Server, pools map[string][]chicoryrock.Replica) {
	table := f.Table()
	if table == nil {
		return
	}
	bounds := f.Bounds()
	limited := make(map[uint64]time.Time)
	for i := range list {
		s := &list[i]
		service := table.Service(s.Service)
		until := f.cold.until(s)
		if service == nil || !now.Before(until) {
			continue
		}
		limit := coldLimit(service.ColdRate, &bounds)
		if limit <= 0 {
			continue
		}
		key := place.ColdKey(s.ID)
		limited[key] = until
		if f.Placer.Quota.Limit(now, key) != limit {
			f.Placer.Quota.Observe(now, now, key, limit)
		}
		for j := range pools[s.Service] {
			if pools[s.Service][j].Name == s.ID {
				pools[s.Service][j].ColdLimited = true
			}
		}
	}
	for key := range f.cold.limited {
		if _, still := limited[key]; !still {
			f.Placer.Quota.Observe(now, now, key, chicoryrock.Unlimited)
		}
	}
	f.cold.limited = limited
}

// liftCold ends the limits of backend servers that are no longer cold.
func (f *Front) liftCold(now time.Time) {
	f.placing.Lock()
	defer f.placing.Unlock()
	for key, until := range f.cold.limited {
		if now.Before(until) {
			continue
		}
		delete(f.cold.limited, key)
		f.Placer.Quota.Observe(now, now, key, chicoryrock.Unlimited)
	}
}
