package entry

import (
	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/pick"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// nearSubset is how many replicas of a pool an entry uses in its own region.
	nearSubset = 20
	// farSubset is how many it knows across the link between regions, for the time
	// when its own region has none.
	farSubset = 4
)

// replicasByPool sorts the backend servers of a list of VMs into the pools of a
// configuration, each pool cut down to the subset that this entry uses.
func replicasByPool(self member.Self, table *object.Table, vms []chicoryrock.VM) map[string][]chicoryrock.Replica {
	near := make(map[string][]chicoryrock.Replica)
	far := make(map[string][]chicoryrock.Replica)
	var nearEntries, allEntries []string
	for i := range vms {
		vm := &vms[i]
		switch pool := table.Pool(vm.Pool); {
		case vm.Role == member.RoleEntry:
			allEntries = append(allEntries, vm.Name)
			if vm.Region == self.Region {
				nearEntries = append(nearEntries, vm.Name)
			}
		case pool == nil:
		case vm.Region == self.Region:
			near[pool.Name] = append(near[pool.Name], replicaOf(vm, pool))
		default:
			far[pool.Name] = append(far[pool.Name], replicaOf(vm, pool))
		}
	}
	pools := make(map[string][]chicoryrock.Replica, len(table.Set.Pools))
	for i := range table.Set.Pools {
		name := table.Set.Pools[i].Name
		pools[name] = append(
			pick.Subset(self.Name, nearEntries, near[name], nearSubset),
			pick.Subset(self.Name, allEntries, far[name], farSubset)...)
	}
	return pools
}

func replicaOf(vm *chicoryrock.VM, pool *object.Pool) chicoryrock.Replica {
	return chicoryrock.Replica{
		Name:    vm.Name,
		Pool:    pool.Name,
		Centre:  vm.Centre,
		Region:  vm.Region,
		Address: vm.Address,
		Slots:   pool.Slots,
		Leaving: vm.State == chicoryrock.VMLeaving,
		Unheard: true,
	}
}
