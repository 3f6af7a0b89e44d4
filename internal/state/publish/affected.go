package publish

import (
	"slices"

	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// objectUsers maps each object of a set to the workspaces that use it.
type objectUsers map[object.Ref]map[string]bool

func (u objectUsers) add(ref object.Ref, workspace string) {
	if u[ref] == nil {
		u[ref] = map[string]bool{}
	}
	u[ref][workspace] = true
}

// newObjectUsers resolves every route as a request of each workspace would, so that
// a route open to all is not attributed to workspaces with one of their own.
func newObjectUsers(set *object.Set) objectUsers {
	table := object.NewTable(0, set)
	users := objectUsers{}
	for _, workspace := range set.Workspaces {
		users.add(object.Ref{Kind: object.KindWorkspace, Name: workspace.Name}, workspace.Name)
		for i := range set.Routes {
			route, err := table.Model(set.Routes[i].Model, workspace.Name)
			if set.Routes[i].Service != "" {
				route, err = table.Service(set.Routes[i].Service, workspace.Name)
			}
			if err == nil {
				users.addRoute(route, workspace.Name)
			}
		}
	}
	for _, key := range set.Keys {
		users.add(object.Ref{Kind: object.KindKey, Name: key.Name}, key.Workspace)
	}
	return users
}

func (u objectUsers) addRoute(route *object.Route, workspace string) {
	u.add(object.Ref{Kind: object.KindRoute, Name: route.Name}, workspace)
	u.add(object.Ref{Kind: object.KindClass, Name: route.Class}, workspace)
	for _, pool := range route.Pools {
		u.add(object.Ref{Kind: object.KindPool, Name: pool}, workspace)
	}
}

// AffectedWorkspaces returns, for each change, the sorted names of the workspaces
// that use the object before or after it.
func AffectedWorkspaces(from, to *object.Set, changes []Change) [][]string {
	before, after := newObjectUsers(from), newObjectUsers(to)
	affected := make([][]string, 0, len(changes))
	for _, change := range changes {
		names := []string{}
		for name := range before[change.Ref] {
			names = append(names, name)
		}
		for name := range after[change.Ref] {
			names = append(names, name)
		}
		slices.Sort(names)
		affected = append(affected, slices.Compact(names))
	}
	return affected
}
