package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// In a large fleet each process hears the loads of each other one only about once a
// second, and by then the engines that looked free are full: all have sent there what
// they had. So loads also go by way of heads, several times a second: each process
// tells the head of its group, heads tell each other the sums of their groups, and each
// process gets from its head the sum of all others. That is two small messages for each
// process, however many there are. Where a head is silent, what each process tells all
// others still holds.

const (
	// leastRelayed is the size of a fleet from which loads are relayed: below it all
	// hear each other as often.
	leastRelayed = 32
	// groupSize is how many processes have one head.
	groupSize = 18
	// sumTime is how long a sum holds: six times the interval of heads.
	sumTime = 300 * time.Millisecond
)

// LoadScope is what the loads of a report are.
type LoadScope byte

// The contents.
const (
	OwnLoads    LoadScope = iota // those of the sender
	GroupLoads                   // the sum of the sender's group
	OthersLoads                  // the sum of all but the receiver
)

// Message is a report for one process.
type Message struct {
	To     string
	Report Report
}

// RelaysLoads says whether loads go by way of heads.
func (f *Fleet) RelaysLoads(now time.Time) bool { return len(f.Alive(now)) >= leastRelayed }

// RelayMessages returns what this process has to send on the way of the loads by heads. Its
// own report has its own loads.
func (f *Fleet) RelayMessages(now time.Time, own *Report) []Message {
	alive := f.Alive(now)
	at := slices.Index(alive, f.Self)
	if len(alive) < leastRelayed || at < 0 {
		return nil
	}
	if at%groupSize != 0 {
		return []Message{{alive[at-at%groupSize], *own}}
	}
	return f.headParcels(now, alive, at, own)
}

// headParcels is Parcels of a head.
func (f *Fleet) headParcels(now time.Time, alive []string, at int, own *Report) []Message {
	members := alive[at:min(at+groupSize, len(alive))]
	group := make(map[uint32]chicoryrock.OpenLoad)
	add(group, own.Loads)
	for _, member := range members[1:] {
		add(group, f.loads(now, member))
	}
	var parcels []Message
	told := *own
	told.Scope, told.Loads = GroupLoads, list(group)
	all := maps.Clone(group)
	for head := 0; head < len(alive); head += groupSize {
		if head == at {
			continue
		}
		parcels = append(parcels, Message{alive[head], told})
		f.addGroup(now, all, alive[head:min(head+groupSize, len(alive))])
	}
	for _, member := range members[1:] {
		rest := maps.Clone(all)
		subtract(rest, f.loads(now, member))
		told.Scope, told.Loads = OthersLoads, list(rest)
		parcels = append(parcels, Message{member, told})
	}
	subtract(all, own.Loads)
	f.rest, f.summed = all, now
	return parcels
}

// addGroup adds the loads of another group: as its head tells, or else its members.
func (f *Fleet) addGroup(now time.Time, sum map[uint32]chicoryrock.OpenLoad, members []string) {
	if head := f.peers[members[0]]; head != nil && now.Sub(head.grouped) <= sumTime {
		add(sum, head.group)
		return
	}
	for _, member := range members {
		add(sum, f.loads(now, member))
	}
}

// loads returns what another process told of its own, if that still holds.
func (f *Fleet) loads(now time.Time, process string) []chicoryrock.OpenLoad {
	one := f.peers[process]
	if one == nil || now.Sub(one.loaded) > freshTime {
		return nil
	}
	return one.report.Loads
}

func add(sum map[uint32]chicoryrock.OpenLoad, loads []chicoryrock.OpenLoad) {
	for _, load := range loads {
		total := sum[load.KeyHash]
		total.KeyHash = load.KeyHash
		total.Running += load.Running
		total.GapSensitive += load.GapSensitive
		total.UnreadTokens += load.UnreadTokens
		sum[load.KeyHash] = total
	}
}

func subtract(sum map[uint32]chicoryrock.OpenLoad, loads []chicoryrock.OpenLoad) {
	for _, load := range loads {
		total := sum[load.KeyHash]
		total.Running -= load.Running
		total.GapSensitive -= load.GapSensitive
		total.UnreadTokens -= load.UnreadTokens
		if total.Running <= 0 && total.UnreadTokens <= 0 {
			delete(sum, load.KeyHash)
			continue
		}
		sum[load.KeyHash] = total
	}
}

func list(sum map[uint32]chicoryrock.OpenLoad) []chicoryrock.OpenLoad {
	loads := make([]chicoryrock.OpenLoad, 0, len(sum))
	for _, load := range sum {
		loads = append(loads, load)
	}
	return loads
}
