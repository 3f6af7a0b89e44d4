package limit

import (
	"cmp"
	"slices"
	"time"
)

// Usage is what one workspace has used at one entry, in tokens since the start of
// the entry's process. The figures only grow, so a statement that is lost,
// repeated or late does no harm.
type Usage struct {
	Workspace  string  `json:"workspace"`
	Used       float64 `json:"used"`
	UsedBefore float64 `json:"since"` // the figure three exchanges ago
}

// Report is what an entry tells its peers at every Exchange. It names only the
// workspaces that have used something of late.
type Report struct {
	Entry  string    `json:"entry"`
	Start  time.Time `json:"start"`
	Usages []Usage   `json:"uses,omitempty"`
}

// peer is another entry.
type peer struct {
	seen  time.Time // when it was last heard
	start time.Time // of its process
	heard bool
}

// SetPeers replaces the list of the other entries. One that is new counts as
// heard until it has been silent for PeerTimeout.
func (l *Limiter) SetPeers(now time.Time, names []string) {
	peers := make(map[string]*peer, len(names))
	for _, name := range names {
		known, found := l.peers[name]
		if !found {
			known = &peer{seen: now, heard: true}
		}
		peers[name] = known
	}
	for name := range l.peers {
		if _, stays := peers[name]; !stays {
			l.forget(now, name)
		}
	}
	l.peers = peers
	l.view++
	l.look(now)
}

// NextReport ends an exchange and returns what to tell the peers. The shell calls it
// every ExchangeInterval.
func (l *Limiter) NextReport(now time.Time) Report {
	l.look(now)
	statement := Report{Entry: l.Name, Start: l.Start}
	for name, a := range l.accounts {
		if a.active() {
			use := Usage{Workspace: name, Used: a.used, UsedBefore: a.history[restated-1]}
			statement.Usages = append(statement.Usages, use)
		}
		used := a.roll()
		if !l.cut {
			a.recent.add(l.exchange, used)
		}
	}
	if !l.cut {
		l.exchange++
	}
	slices.SortFunc(statement.Usages, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return statement
}

// Merge takes in a peer's statement. One from an entry that is not among the peers
// is passed over.
func (l *Limiter) Merge(now time.Time, statement Report) {
	from, known := l.peers[statement.Entry]
	if !known {
		return
	}
	if !from.start.Equal(statement.Start) {
		// A new process counts from zero.
		l.forget(now, statement.Entry)
		from.start = statement.Start
	}
	from.seen = now
	l.look(now)
	for _, use := range statement.Usages {
		a := l.account(now, use.Workspace)
		if a == nil {
			continue
		}
		l.refill(now, a)
		c, found := a.cells[statement.Entry]
		if !found {
			c = &cell{at: now}
			a.cells[statement.Entry] = c
		}
		used := a.hear(now, c, use)
		if !l.cut {
			c.recent.add(l.exchange, used)
		}
	}
}

// look notes which peers are heard.
func (l *Limiter) look(now time.Time) {
	cut := false
	changed := false
	for _, p := range l.peers {
		heard := now.Sub(p.seen) < PeerTimeout
		changed = changed || heard != p.heard
		p.heard = heard
		cut = cut || !heard
	}
	if !changed && cut == l.cut {
		return
	}
	// Up to now the buckets have filled at the old rate.
	for _, a := range l.accounts {
		l.refill(now, a)
	}
	l.cut = cut
	l.view++
}

// forget drops what a peer has stated.
func (l *Limiter) forget(now time.Time, name string) {
	for _, a := range l.accounts {
		if c, found := a.cells[name]; found {
			l.refill(now, a)
			a.unassume(now, c)
			delete(a.cells, name)
		}
	}
}
