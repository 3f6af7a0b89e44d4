package limit

import (
	"cmp"
	"slices"
	"time"
)

// Usage is the usage of one workspace at one entry, in tokens since the start of the
// entry's process. The numbers only grow, so a lost, repeated or late report does no
// harm.
type Usage struct {
	Workspace  string  `json:"workspace"`
	Used       float64 `json:"used"`
	UsedBefore float64 `json:"since"` // Used three exchanges ago
}

// Report is the usage report that an entry sends to its peers every
// ExchangeInterval. It lists only workspaces with recent usage.
type Report struct {
	Entry  string    `json:"entry"`
	Start  time.Time `json:"start"`
	Usages []Usage   `json:"uses,omitempty"`
}

// peer is another entry.
type peer struct {
	reportedAt   time.Time // time of its last report
	processStart time.Time
	reachable    bool // reported within PeerTimeout
}

// SetPeers replaces the list of the other entries. A new one counts as reachable
// until it has been silent for PeerTimeout.
func (l *Limiter) SetPeers(now time.Time, names []string) {
	peers := make(map[string]*peer, len(names))
	for _, name := range names {
		known, found := l.peers[name]
		if !found {
			known = &peer{reportedAt: now, reachable: true}
		}
		peers[name] = known
	}
	for name := range l.peers {
		if _, stays := peers[name]; !stays {
			l.dropUsage(now, name)
		}
	}
	l.peers = peers
	l.reachabilityVersion++
	l.updateReachability(now)
}

// NextReport ends an exchange and returns the report to send to the peers. It is
// called every ExchangeInterval.
func (l *Limiter) NextReport(now time.Time) Report {
	l.updateReachability(now)
	report := Report{Entry: l.Name, Start: l.Start}
	for name, a := range l.accounts {
		if a.needsReport() {
			usage := Usage{Workspace: name, Used: a.used, UsedBefore: a.usedHistory[reportsPerUsage-1]}
			report.Usages = append(report.Usages, usage)
		}
		used := a.endExchange()
		if !l.partitioned {
			a.recent.add(l.exchanges, used)
		}
	}
	if !l.partitioned {
		l.exchanges++
	}
	slices.SortFunc(report.Usages, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return report
}

// Merge applies a peer's report. It ignores reports of entries that are not among
// the peers.
func (l *Limiter) Merge(now time.Time, report Report) {
	sender, known := l.peers[report.Entry]
	if !known {
		return
	}
	if !sender.processStart.Equal(report.Start) {
		// A new process counts from zero.
		l.dropUsage(now, report.Entry)
		sender.processStart = report.Start
	}
	sender.reportedAt = now
	l.updateReachability(now)
	for _, usage := range report.Usages {
		a := l.account(now, usage.Workspace)
		if a == nil {
			continue
		}
		l.refill(now, a)
		u, found := a.peerUsages[report.Entry]
		if !found {
			u = &peerUsage{reportedAt: now}
			a.peerUsages[report.Entry] = u
		}
		used := a.mergeUsage(now, u, usage)
		if !l.partitioned {
			u.recent.add(l.exchanges, used)
		}
	}
}

// updateReachability determines which peers are reachable, and refills all buckets
// if that has changed.
func (l *Limiter) updateReachability(now time.Time) {
	partitioned := false
	changed := false
	for _, p := range l.peers {
		reachable := now.Sub(p.reportedAt) < PeerTimeout
		changed = changed || reachable != p.reachable
		p.reachable = reachable
		partitioned = partitioned || !reachable
	}
	if !changed && partitioned == l.partitioned {
		return
	}
	// Until now the buckets were filled at the old rate.
	for _, a := range l.accounts {
		l.refill(now, a)
	}
	l.partitioned = partitioned
	l.reachabilityVersion++
}

// dropUsage removes the usage that a peer has reported.
func (l *Limiter) dropUsage(now time.Time, name string) {
	for _, a := range l.accounts {
		if u, found := a.peerUsages[name]; found {
			l.refill(now, a)
			a.revertAssumed(now, u)
			delete(a.peerUsages, name)
		}
	}
}
