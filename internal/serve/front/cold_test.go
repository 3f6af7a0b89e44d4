package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform"
)

// Guards against servers that count as cold for ever, as each new list states it anew, and
// against ones that are taken for warm although they have become cold again.
func TestColdServers(t *testing.T) {
	start := time.Unix(1000, 0)
	server := func(heartbeat uint64, coldFor time.Duration) chicoryrock.Server {
		return chicoryrock.Server{ID: "s", StartedMs: 7, Heartbeat: heartbeat, ColdFor: coldFor}
	}
	type step struct {
		at    time.Duration
		entry chicoryrock.Server
		until time.Duration // zero for not cold
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"the same entry again", []step{{0, server(1, 3*time.Second), 3 * time.Second}, {time.Second, server(1, 3*time.Second), 3 * time.Second}}},
		{"what is left, stated anew", []step{{0, server(1, 3*time.Second), 3 * time.Second}, {time.Second, server(2, 2500*time.Millisecond), 3500 * time.Millisecond}}},
		{"warm before that time", []step{{0, server(1, 3*time.Second), 3 * time.Second}, {time.Second, server(2, 0), 0}}},
		{"cold again", []step{{0, server(1, 0), 0}, {time.Second, server(5, 3*time.Second), 4 * time.Second}}},
		{"an older entry that comes late", []step{{0, server(5, 0), 0}, {time.Second, server(4, 3*time.Second), 0}}},
	}
	for _, c := range cases {
		var cold coldServers
		for i, s := range c.steps {
			cold.set(start.Add(s.at), []chicoryrock.Server{s.entry})
			got, want := cold.until(&s.entry), time.Time{}
			if s.until > 0 {
				want = start.Add(s.until)
			}
			require.Equal(t, want, got, "%s, step %d", c.name, i)
		}
	}
}

// Guards against more requests to a cold server in a second than the platform's bound: the
// permits of a second may be used with those that were saved up before it.
func TestColdLimit(t *testing.T) {
	cases := []struct {
		rate, over, slack, want float64
	}{
		{0, 1.5, 5, 0},
		{16, 1.5, 5, 28 / 2.3},
		{16, 4, 50, 16},
		{0.1, 1, 0, 0},
	}
	for _, c := range cases {
		require.InDelta(t, c.want, coldLimit(c.rate, &platform.Bounds{ColdOver: c.over, ColdSlack: c.slack}), 1e-9)
	}
}
