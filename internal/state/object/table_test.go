package object

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

func expectRoute(t *testing.T, routes []Route, model, workspace, want string) {
	t.Helper()
	route, err := NewTable(1, &Set{Routes: routes}).Model(model, workspace)
	if want == "" {
		require.ErrorIs(t, err, chicoryrock.ErrNoRoute)
		return
	}
	require.NoError(t, err)
	require.Equal(t, want, route.Name)
}

func TestTableModel(t *testing.T) {
	open := Route{Name: "open", Model: "garland"}
	own := Route{Name: "own", Model: "garland", Workspaces: []string{"jamal"}}
	expectRoute(t, []Route{open, own}, "garland", "jamal", "own")
	expectRoute(t, []Route{open, own}, "garland", "other", "open")
	expectRoute(t, []Route{own}, "garland", "other", "")
	expectRoute(t, []Route{open}, "lens", "jamal", "")
}
