package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While a newer build starts beside the former one, a pool has twice its replicas, and the part
// for long prompts grows with it. When the former build leaves at once, the streams of short
// prompts need replicas of their own from then on, not one more with each step of the partition.
func TestStreamsKeepReplicasAsAPoolShrinks(t *testing.T) {
	cases := []struct {
		name          string
		long, before  int // the part for long prompts, and the pool, before replicas leave
		after, wanted int
		expected      int // the part for long prompts
	}{
		{"half of them leave, as many as the part for long prompts stay", 12, 24, 12, 9, 9},
		{"half of them leave, fewer than that part stay", 16, 24, 12, 9, 9},
		{"half of them leave, and long prompts need all they can get", 12, 24, 12, 11, 11},
		{"half of them leave, and few long prompts come", 12, 24, 12, 1, 6},
		{"one leaves, and the part is as wanted", 9, 12, 11, 9, 9},
		{"one leaves, and few long prompts come", 9, 12, 11, 1, 8},
		{"all but two leave", 9, 12, 2, 1, 1},
		{"all but one leave", 9, 12, 1, 1, 1},
		{"none leaves, and few long prompts come", 9, 12, 12, 1, 9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			pt := &partition{order: make([]*replica, tc.before)}
			pt.resize(now, tc.long)
			require.Equal(t, tc.long, pt.longReplicas)
			now = now.Add(shrinkInterval / 2)
			pt.order = pt.order[:tc.after]
			pt.resize(now, tc.wanted)
			require.Equal(t, tc.expected, pt.longReplicas)
		})
	}
}
