package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// In a large fleet, a process receives the loads of each peer only about once a second
// (with 83 peers). By then, engines that looked idle are full, because all processes
// have sent their requests to them. Loads are therefore also relayed by group heads, 20
// times a second: each process sends its loads to the head of its group, the heads
// exchange the sums of their groups, and each head sends each member the sum of all
// others. Each time, a member sends and receives one small message, whatever the size
// of the fleet; a head sends one to each of its members and one to every other head. If
// a head is silent, the loads that each process sends to all others still apply.

const (
	// minRelayedFleet is the smallest fleet in which loads are relayed. In a smaller one,
	// each process sends its loads to all others at least every 0.4 s, so that relaying
	// is not needed.
	minRelayedFleet = 32
	// groupSize is the number of processes in a group, including the head.
	groupSize = 18
	// sumLifetime is how long a relayed sum is valid: six intervals of the relay.
	sumLifetime = 300 * time.Millisecond
)

// LoadScope is whose loads a report contains.
type LoadScope byte

// Scopes of loads.
const (
	OwnLoads    LoadScope = iota // the sender's own
	GroupLoads                   // sum of the sender's group
	OthersLoads                  // sum of all processes except the receiver
)

// Message is a report to one process.
type Message struct {
	To     string
	Report Report
}

// RelaysLoads reports whether the fleet is large enough to relay loads.
func (f *Fleet) RelaysLoads(now time.Time) bool { return len(f.Alive(now)) >= minRelayedFleet }

// RelayMessages returns the messages that this process has to send to relay loads. own
// is its report with its own loads.
func (f *Fleet) RelayMessages(now time.Time, own *Report) []Message {
	alive := f.Alive(now)
	at := slices.Index(alive, f.Self)
	if len(alive) < minRelayedFleet || at < 0 {
		return nil
	}
	if at%groupSize != 0 {
		return []Message{{alive[at-at%groupSize], *own}}
	}
	return f.headMessages(now, alive, at, own)
}

// headMessages is RelayMessages for a head, whose index among the live processes is at.
func (f *Fleet) headMessages(now time.Time, alive []string, at int, own *Report) []Message {
	members := alive[at:min(at+groupSize, len(alive))]
	group := make(map[uint32]chicoryrock.OpenLoad)
	addLoads(group, own.Loads)
	for _, member := range members[1:] {
		addLoads(group, f.loadsOf(now, member))
	}
	var messages []Message
	report := *own
	report.Scope, report.Loads = GroupLoads, loadList(group)
	all := maps.Clone(group)
	for head := 0; head < len(alive); head += groupSize {
		if head == at {
			continue
		}
		messages = append(messages, Message{alive[head], report})
		f.addGroupLoads(now, all, alive[head:min(head+groupSize, len(alive))])
	}
	for _, member := range members[1:] {
		others := maps.Clone(all)
		subtractLoads(others, f.loadsOf(now, member))
		report.Scope, report.Loads = OthersLoads, loadList(others)
		messages = append(messages, Message{member, report})
	}
	subtractLoads(all, own.Loads)
	f.othersLoads, f.othersReceived = all, now
	return messages
}

// addGroupLoads adds the loads of another group: the sum from its head if that is
// recent, otherwise those of the members.
func (f *Fleet) addGroupLoads(now time.Time, sum map[uint32]chicoryrock.OpenLoad, members []string) {
	if head := f.peers[members[0]]; head != nil && now.Sub(head.groupReceived) <= sumLifetime {
		addLoads(sum, head.groupLoads)
		return
	}
	for _, member := range members {
		addLoads(sum, f.loadsOf(now, member))
	}
}

// loadsOf returns the own loads of a peer, if they are still valid.
func (f *Fleet) loadsOf(now time.Time, process string) []chicoryrock.OpenLoad {
	p := f.peers[process]
	if p == nil || now.Sub(p.loadsReceived) > loadLifetime {
		return nil
	}
	return p.report.Loads
}

func addLoads(sum map[uint32]chicoryrock.OpenLoad, loads []chicoryrock.OpenLoad) {
	for _, load := range loads {
		total := sum[load.KeyHash]
		total.KeyHash = load.KeyHash
		total.Open += load.Open
		total.GapSensitive += load.GapSensitive
		total.UnreadTokens += load.UnreadTokens
		sum[load.KeyHash] = total
	}
}

func subtractLoads(sum map[uint32]chicoryrock.OpenLoad, loads []chicoryrock.OpenLoad) {
	for _, load := range loads {
		total := sum[load.KeyHash]
		total.Open -= load.Open
		total.GapSensitive -= load.GapSensitive
		total.UnreadTokens -= load.UnreadTokens
		if total.Open <= 0 && total.UnreadTokens <= 0 {
			delete(sum, load.KeyHash)
			continue
		}
		sum[load.KeyHash] = total
	}
}

func loadList(sum map[uint32]chicoryrock.OpenLoad) []chicoryrock.OpenLoad {
	loads := make([]chicoryrock.OpenLoad, 0, len(sum))
	for _, load := range sum {
		loads = append(loads, load)
	}
	return loads
}
