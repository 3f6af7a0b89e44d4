package departure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTakesWhatEndsInTime(t *testing.T) {
	start := time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)
	type run struct {
		at, took time.Duration
	}
	cases := []struct {
		name        string
		runs        []run
		left, limit time.Duration
		want        bool
	}{
		{"its limit ends before", nil, 5 * time.Second, 5 * time.Second, true},
		{"nothing is known", nil, 5 * time.Second, 6 * time.Second, false},
		{"runs are short", []run{{0, time.Second}, {time.Second, 3 * time.Second}}, 5 * time.Second, 15 * time.Second, true},
		{"one run was long", []run{{0, 4 * time.Second}, {time.Second, time.Second}}, 5 * time.Second, 15 * time.Second, false},
		{"a long run is over for long", []run{{-3 * window, 4 * time.Second}, {time.Second, time.Second}}, 5 * time.Second, 15 * time.Second, true},
		{"a long run in the former window", []run{{-window + time.Second, 4 * time.Second}, {time.Second, time.Second}}, 5 * time.Second, 15 * time.Second, false},
		{"no time is left", []run{{0, time.Second}}, 0, time.Second, false},
	}
	for _, c := range cases {
		var runs Runs
		for _, one := range c.runs {
			runs.Record(start.Add(one.at), "r", one.took)
		}
		now := start.Add(2 * time.Second)
		require.Equal(t, c.want, runs.Takes(now, now.Add(c.left), "r", c.limit), c.name)
	}
}
