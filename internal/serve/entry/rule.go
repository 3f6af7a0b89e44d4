package entry

import (
	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/explain"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// ruleOf returns the object that sets the rule behind a reason, so that explain
// can name its file. It is empty for a reason that no operator's object sets, such
// as a shutdown. The key is the name of the caller's key.
func ruleOf(table *object.Table, request *chicoryrock.Request, key string, reason chicoryrock.Reason) explain.Object {
	switch reason {
	case chicoryrock.ReasonWithdrawn:
		return keyRule(table, key)
	case chicoryrock.ReasonLimit:
		return workspaceRule(table, request.Workspace)
	case chicoryrock.ReasonNone, chicoryrock.ReasonLate, chicoryrock.ReasonQueueFull:
		return classRule(table, request.Class)
	case chicoryrock.ReasonNoServer:
		if request.Pool == "" {
			return routeRule(table, request.Route)
		}
		return poolRule(table, request.Pool)
	case chicoryrock.ReasonBroken:
		return poolRule(table, request.Pool)
	case chicoryrock.ReasonClaimed, chicoryrock.ReasonNoStore:
		return routeRule(table, request.Route)
	default:
		return explain.Object{}
	}
}

func classRule(table *object.Table, name string) explain.Object {
	rule := explain.Object{Kind: string(object.KindClass), Name: name}
	if class := table.Class(name); class != nil {
		rule.File = class.File
	}
	return rule
}

func poolRule(table *object.Table, name string) explain.Object {
	rule := explain.Object{Kind: string(object.KindPool), Name: name}
	if pool := table.Pool(name); pool != nil {
		rule.File = pool.File
	}
	return rule
}

func workspaceRule(table *object.Table, name string) explain.Object {
	rule := explain.Object{Kind: string(object.KindWorkspace), Name: name}
	if workspace := table.Workspace(name); workspace != nil {
		rule.File = workspace.File
	}
	return rule
}

// routeRule looks through the routes, of which there are few.
func routeRule(table *object.Table, name string) explain.Object {
	rule := explain.Object{Kind: string(object.KindRoute), Name: name}
	for i := range table.Set.Routes {
		if table.Set.Routes[i].Name == name {
			rule.File = table.Set.Routes[i].File
		}
	}
	return rule
}

// keyRule names a key, never its digest. A key that was withdrawn before this
// configuration has no file any more.
func keyRule(table *object.Table, name string) explain.Object {
	rule := explain.Object{Kind: string(object.KindKey), Name: name}
	for i := range table.Set.Keys {
		if table.Set.Keys[i].Name == name {
			rule.File = table.Set.Keys[i].File
		}
	}
	return rule
}

// withdrawalOf returns the withdrawal of a key that was withdrawn.
func withdrawalOf(table *object.Table, digest string) object.Withdrawal {
	for _, withdrawal := range table.Set.Withdrawn {
		if withdrawal.Digest == digest {
			return withdrawal
		}
	}
	return object.Withdrawal{}
}
