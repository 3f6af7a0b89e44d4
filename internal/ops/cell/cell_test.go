package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func TestTableDropsTheOldest(t *testing.T) {
	table := &Table[Key, int]{Limit: 2}
	*table.At(KeyAt(start, "a", "w"))++
	*table.At(KeyAt(start.Add(Span-1), "a", "w"))++
	require.Equal(t, 2, *table.At(KeyAt(start, "a", "w")), "both moments lie in one cell")
	*table.At(KeyAt(start, "b", "w"))++
	require.True(t, table.Whole().IsZero())
	*table.At(KeyAt(start.Add(Span), "a", "w"))++
	require.Equal(t, start.Add(Span), table.Whole())
	count := 0
	for key, value := range table.All() {
		count += *value
		require.NotEqual(t, KeyAt(start, "a", "w"), key)
	}
	require.Equal(t, 2, count)
}

func TestKeyBegins(t *testing.T) {
	require.Equal(t, start, KeyAt(start.Add(4*time.Minute), "a", "w").Begins())
}
