package servers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// A list that has taken in a removal which never happened is repaired by the next complete list,
// the store's or that of a process that has it right: a list as of a version isn't stated without
// its content, or others would take the wrong one over.
func TestWrongRemovalIsRepairedByTheNextCompleteList(t *testing.T) {
	server := chicoryrock.Server{ID: "s", Service: "llm", StartedMs: 5, Heartbeat: 7}
	stored := []Written{{server, VersionOf(9)}}
	cases := []struct {
		name   string
		repair func(list, right *VersionedList)
	}{
		{"by a read of the same revision", func(list, _ *VersionedList) { list.ApplyFullRead(start, 12, stored) }},
		{"by a read of a later revision", func(list, _ *VersionedList) { list.ApplyFullRead(start, 15, stored) }},
		{"by a later list of another process", func(list, right *VersionedList) {
			right.ApplyFullRead(start, 15, []Written{{chicoryrock.Server{ID: "t"}, VersionOf(15)}, {server, VersionOf(9)}})
			_, newer := pass(start, right, list)
			require.True(t, newer)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var list, right VersionedList
			for _, l := range []*VersionedList{&list, &right} {
				l.ApplyFullRead(start, 10, stored)
			}
			remove(start, &list, 12, "s")
			require.Empty(t, list.Servers())
			right.ApplyWatch(start, 10, 12, nil)
			_, differ := list.Compare(start, []Summary{summaryOf(t, &right)}, true)
			require.Len(t, differ, 1)
			c.repair(&list, &right)
			require.Contains(t, list.Servers(), server)
			require.Equal(t, VersionOf(9), list.present.versions["s"])
			// A process that is as late as the wrong list takes over what is right.
			pass(start, &list, &right)
			require.Contains(t, right.Servers(), server)
		})
	}
}

func summaryOf(t *testing.T, list *VersionedList) Summary {
	summary, exact := list.Summary()
	require.True(t, exact)
	summary.Process = "other"
	return summary
}
