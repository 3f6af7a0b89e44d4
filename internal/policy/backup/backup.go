// Package backup decides which running requests have a copy of their memory kept on
// another backend server, and on which one. When the server that runs such a request
// crashes, the request goes on from its copy instead of being lost.
//
// A copy costs bandwidth between the servers and memory on the one that keeps it. It is
// made only for streams that could not go on without it, and only while its server has
// memory to spare. The package answers a load in which some servers crash while many
// streams run, up to the load at which the servers need all of their memory themselves.
package backup

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// maxTransferTime bounds the time for which a copy may occupy the link between two
	// servers: longer transfers delay those of other copies and fetched prompts.
	maxTransferTime = 50 * time.Millisecond
	// minAnswerShare is the share of a request's tokens that its answer makes up at least.
	// With a longer prompt the copy costs more than the run is worth: it moves the whole
	// prompt, while a short answer is soon over.
	minAnswerShare = 0.2
	// maxLoad is the share of a server's places up to which it keeps copies. Above it,
	// its own requests need the memory.
	maxLoad = 0.75
	// longPromptLoad is added to the load of a server that takes long prompts: a stream
	// that goes on there has longer pauses.
	longPromptLoad = 0.25
	// otherCentreLoad is added to the load of a server in another data centre, to which
	// copies take longer.
	otherCentreLoad = 0.5
)

// Engines holds the properties of a pool's engines that the decision needs.
type Engines struct {
	Enabled      bool          // they can keep copies
	TransferTime time.Duration // for the memory of one token, between two of them
}

// Server is a backend server that may keep a copy.
type Server struct {
	Name        string
	Centre      string
	Region      string
	Load        float64 // share of its places in use, by all processes
	LongPrompts bool    // it takes long prompts
	Unfit       bool    // it is leaving, resting, cold, or has just failed
}

// Wanted reports whether a request is to have a copy. A stream that may be resumed needs
// none: reading its prompt again costs less.
func (e *Engines) Wanted(request *chicoryrock.Request) bool {
	if !e.Enabled || request.MaxTokenGap <= 0 || request.Idempotent || request.Resumable || request.PromptTokens <= 0 {
		return false
	}
	tokens := request.PromptTokens + request.MaxOutputTokens
	if float64(request.MaxOutputTokens) < minAnswerShare*float64(tokens) {
		return false
	}
	return time.Duration(tokens)*e.TransferTime <= maxTransferTime
}

// Choose returns the index of the server that is to keep the copy of a request that runs
// on the server called primary, or false if none has room. Copies stay within the region.
func Choose(primary *Server, servers []Server) (int, bool) {
	best, bestLoad := -1, maxLoad+otherCentreLoad
	for i := range servers {
		s := &servers[i]
		if s.Name == primary.Name || s.Unfit || s.Region != primary.Region || s.Load > maxLoad {
			continue
		}
		load := s.Load
		if s.LongPrompts {
			load += longPromptLoad
		}
		if s.Centre != primary.Centre {
			load += otherCentreLoad
		}
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best, best >= 0
}

// Takeover is what is known when the run of a request that has a copy has broken off.
type Takeover struct {
	Now      time.Time
	Deadline time.Time // when the caller or the route gives up
	Sent     int       // attempts that reached a server, without this one
	Allowed  int       // servers that the route lets a request run on
	Down     bool      // the server that ran it takes no connections any more
	Closed   bool      // the connection to it is closed
}

// Allows reports whether the request may go on from its copy. A server that still runs
// counts as one that ran the request; one that has gone down doesn't, as nothing is left of
// the run there.
func (t *Takeover) Allows() bool {
	if !t.Now.Before(t.Deadline) {
		return false
	}
	return t.Down || t.Closed && t.Sent+1 < t.Allowed
}
