package vms

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

func TestListLags(t *testing.T) {
	start := time.Unix(1_000, 0)
	core := Core{Lag: 5 * time.Second}
	core.Set(start, []chicoryrock.VM{{Name: "a"}})
	core.Set(start.Add(3*time.Second), []chicoryrock.VM{{Name: "b"}})
	for _, test := range []struct {
		after time.Duration
		want  []chicoryrock.VM
	}{
		{0, []chicoryrock.VM{}},
		{5 * time.Second, []chicoryrock.VM{{Name: "a"}}},
		{7 * time.Second, []chicoryrock.VM{{Name: "a"}}},
		{8 * time.Second, []chicoryrock.VM{{Name: "b"}}},
	} {
		require.Equal(t, test.want, core.List(start.Add(test.after)), test.after)
	}
}
