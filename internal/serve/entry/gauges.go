package entry

import (
	"io"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
)

// Measure brings the gauges of waiting and running requests up to date. It is
// called at a scrape, so that nothing is spent on them between two scrapes.
func (e *Entry) Measure() {
	table := e.Tables.Table()
	if table == nil {
		return
	}
	tiers := make(map[int]bool)
	for i := range table.Set.Classes {
		tiers[table.Set.Classes[i].Tier] = true
	}
	for i := range table.Set.Pools {
		pool := table.Set.Pools[i].Name
		e.Observer.Metrics.Running(pool, e.gate.Open(pool))
		for tier := range tiers {
			e.Observer.Metrics.Queue(pool, tier, e.gate.Count(pool, tier))
		}
	}
}

// meteredBody counts what a replica of another region sends.
type meteredBody struct {
	io.ReadCloser

	metrics  *metrics.Metrics
	from, to string
}

// Read implements io.Reader.
func (b *meteredBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.metrics.Across(b.from, b.to, int64(n))
	return n, err
}

// metered counts a request's body as sent over the link between regions, and
// wraps the answer's, when the replica stands in another region. Headers and the
// overhead of TLS are not in it.
func (c *call) metered(replica *chicoryrock.Replica, answer io.ReadCloser) io.ReadCloser {
	here := c.entry.Settings.Region
	if replica.Region == here {
		return answer
	}
	series := c.entry.Observer.Metrics
	series.Across(here, replica.Region, int64(len(c.body)))
	return &meteredBody{ReadCloser: answer, metrics: series, from: replica.Region, to: here}
}
