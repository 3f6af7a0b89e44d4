// Package member decides, from the platform's lagging list of VMs, which
// processes play which part: who reads the store for a data centre, and whom a
// process asks for what the readers know. It does no input or output.
package member

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

// RoleEntry and RoleAgent are the roles of VMs in the platform's list.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// readersPerCentre is how many entries of a data centre read the store. Two, so
// that one may die without a gap; no more, so that the store's load does not grow
// with the fleet.
const readersPerCentre = 2

// Self is what a process knows of itself.
type Self struct {
	Name   string
	Centre string
	Region string
}

// IsReader says whether the process reads the store for its data centre. Each
// entry of a data centre ranks all of them by the same hash, so that they agree
// without a message as far as their lists agree; where these differ for a while,
// there is a reader too many or all fall back on each other.
func IsReader(self Self, vms []chicoryrock.VM) bool {
	ranked := entriesOf(self.Centre, vms)
	at := slices.IndexFunc(ranked, func(vm chicoryrock.VM) bool { return vm.Name == self.Name })
	if at < 0 {
		// The list does not show this process yet. A data centre without any listed
		// entry still needs a reader.
		return len(ranked) == 0
	}
	return at < readersPerCentre
}

// Sources returns the peers to ask for the configuration, the best first: the
// readers of the own data centre, its other entries, then entries of the own
// region, then the rest. Within a group each process has an order of its own, so
// that the asking is spread.
func Sources(self Self, vms []chicoryrock.VM) []netip.AddrPort {
	var candidates []source
	readers := entriesOf(self.Centre, vms)
	readers = readers[:min(len(readers), readersPerCentre)]
	for i := range vms {
		vm := &vms[i]
		if vm.Role != RoleEntry || vm.Name == self.Name || !vm.Address.IsValid() {
			continue
		}
		candidates = append(candidates, source{
			vm:    vm,
			group: groupOf(self, vm, readers),
			rank:  xxhash.Sum64String(self.Name + "\x00" + vm.Name),
		})
	}
	slices.SortFunc(candidates, func(a, b source) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.rank, b.rank))
	})
	addresses := make([]netip.AddrPort, len(candidates))
	for i := range candidates {
		addresses[i] = candidates[i].vm.Address
	}
	return addresses
}

type source struct {
	vm    *chicoryrock.VM
	group group
	rank  uint64
}

// group orders peers by how near they are to what the process wants to know.
type group int

const (
	groupReader group = iota
	groupCentre
	groupRegion
	groupFar
	groupLeaving
)

func groupOf(self Self, vm *chicoryrock.VM, readers []chicoryrock.VM) group {
	switch {
	case vm.State == chicoryrock.VMLeaving:
		return groupLeaving
	case slices.ContainsFunc(readers, func(reader chicoryrock.VM) bool { return reader.Name == vm.Name }):
		return groupReader
	case vm.Centre == self.Centre:
		return groupCentre
	case vm.Region == self.Region:
		return groupRegion
	default:
		return groupFar
	}
}

// entriesOf returns the live entries of a data centre in an order that all of
// them compute alike.
func entriesOf(centre string, vms []chicoryrock.VM) []chicoryrock.VM {
	var entries []chicoryrock.VM
	for i := range vms {
		if vms[i].Role == RoleEntry && vms[i].Centre == centre && vms[i].State == chicoryrock.VMLive {
			entries = append(entries, vms[i])
		}
	}
	slices.SortFunc(entries, func(a, b chicoryrock.VM) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	return entries
}
