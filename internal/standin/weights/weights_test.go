package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReadingsShareTheRate(t *testing.T) {
	start := time.Unix(1_000, 0)
	core := Core{Rate: 100}
	for _, test := range []struct {
		at   time.Duration
		size int64
		want time.Duration
	}{
		{0, 200, 2 * time.Second},
		{time.Second, 100, 3 * time.Second},
		{9 * time.Second, 100, 10 * time.Second},
	} {
		require.Equal(t, start.Add(test.want), core.Fetch(start.Add(test.at), test.size))
	}
}
