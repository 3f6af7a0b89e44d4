// Package member assigns roles to processes by the platform's list of VMs, which
// lags behind: which entries read the store for a data centre, and which peers a
// process asks for the configuration. It does no I/O.
package member

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

// Roles of VMs in the platform's list.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// readersPerCentre is how many entries of a data centre read the store. With two,
// one can fail without a gap; more would make the store's load grow with the fleet.
const readersPerCentre = 2

// Self identifies this process and its location.
type Self struct {
	Name   string
	Centre string
	Region string
}

// IsReader reports whether the process reads the store for its data centre. All
// entries of a data centre rank each other by the same hash, so they agree without
// messages as long as their lists of VMs are equal. While the lists differ, there
// can be a reader too many, or none, and then the entries ask each other.
func IsReader(self Self, vms []chicoryrock.VM) bool {
	ranked := liveEntries(self.Centre, vms)
	at := slices.IndexFunc(ranked, func(vm chicoryrock.VM) bool { return vm.Name == self.Name })
	if at < 0 {
		// The list does not contain this process yet. A data centre without listed
		// entries still needs a reader.
		return len(ranked) == 0
	}
	return at < readersPerCentre
}

// Sources returns the peers to ask for the configuration, in order of preference:
// readers of the own data centre, its other entries, entries of the own region,
// other entries, and leaving entries last. Peers of one class are ordered
// differently in each process, to spread the load.
func Sources(self Self, vms []chicoryrock.VM) []netip.AddrPort {
	var candidates []candidate
	readers := liveEntries(self.Centre, vms)
	readers = readers[:min(len(readers), readersPerCentre)]
	for i := range vms {
		vm := &vms[i]
		if vm.Role != RoleEntry || vm.Name == self.Name || !vm.Address.IsValid() {
			continue
		}
		candidates = append(candidates, candidate{
			vm:    vm,
			class: classOf(self, vm, readers),
			rank:  xxhash.Sum64String(self.Name + "\x00" + vm.Name),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.rank, b.rank))
	})
	addresses := make([]netip.AddrPort, len(candidates))
	for i := range candidates {
		addresses[i] = candidates[i].vm.Address
	}
	return addresses
}

type candidate struct {
	vm    *chicoryrock.VM
	class sourceClass
	rank  uint64
}

// sourceClass ranks peers as sources of the configuration; lower is better.
type sourceClass int

const (
	sourceReader sourceClass = iota
	sourceCentre
	sourceRegion
	sourceRemote
	sourceLeaving
)

func classOf(self Self, vm *chicoryrock.VM, readers []chicoryrock.VM) sourceClass {
	switch {
	case vm.State == chicoryrock.VMLeaving:
		return sourceLeaving
	case slices.ContainsFunc(readers, func(reader chicoryrock.VM) bool { return reader.Name == vm.Name }):
		return sourceReader
	case vm.Centre == self.Centre:
		return sourceCentre
	case vm.Region == self.Region:
		return sourceRegion
	default:
		return sourceRemote
	}
}

// liveEntries returns the live entries of a data centre, in an order that is the
// same in all processes.
func liveEntries(centre string, vms []chicoryrock.VM) []chicoryrock.VM {
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
