package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/explain"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

func TestRuleOf(t *testing.T) {
	table := object.NewTable(1, &object.Set{
		Workspaces: []object.Workspace{{Name: "hanoi", File: "w.yaml"}},
		Keys:       []object.Key{{Name: "hanoi-1", Workspace: "hanoi", File: "k.yaml"}},
		Classes:    []object.Class{{Name: "quotes", File: "c.yaml"}},
		Routes:     []object.Route{{Name: "wording", Model: "m", Class: "quotes", File: "r.yaml"}},
		Pools:      []object.Pool{{Name: "lens", File: "p.yaml"}},
	})
	placed := &chicoryrock.Request{Workspace: "hanoi", Class: "quotes", Route: "wording", Pool: "lens"}
	nowhere := &chicoryrock.Request{Workspace: "hanoi", Class: "quotes", Route: "wording"}
	class := explain.Object{Kind: "class", Name: "quotes", File: "c.yaml"}
	pool := explain.Object{Kind: "pool", Name: "lens", File: "p.yaml"}
	route := explain.Object{Kind: "route", Name: "wording", File: "r.yaml"}
	cases := []struct {
		reason  chicoryrock.Reason
		request *chicoryrock.Request
		want    explain.Object
	}{
		{chicoryrock.ReasonNone, placed, class},
		{chicoryrock.ReasonLate, placed, class},
		{chicoryrock.ReasonQueueFull, placed, class},
		{chicoryrock.ReasonLimit, placed, explain.Object{Kind: "workspace", Name: "hanoi", File: "w.yaml"}},
		{chicoryrock.ReasonWithdrawn, placed, explain.Object{Kind: "key", Name: "hanoi-1", File: "k.yaml"}},
		{chicoryrock.ReasonClaimed, placed, route},
		{chicoryrock.ReasonNoStore, placed, route},
		{chicoryrock.ReasonNoServer, placed, pool},
		{chicoryrock.ReasonNoServer, nowhere, route},
		{chicoryrock.ReasonBroken, placed, pool},
		{chicoryrock.ReasonNoRoute, nowhere, explain.Object{}},
		{chicoryrock.ReasonShutdown, placed, explain.Object{}},
		{chicoryrock.ReasonSuspect, placed, explain.Object{}},
	}
	for _, c := range cases {
		require.Equal(t, c.want, ruleOf(table, c.request, "hanoi-1", c.reason), c.reason)
	}
}
