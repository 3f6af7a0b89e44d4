package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Placement holds the estimates by which a request was placed on a replica, all of the
// time of placing.
type Placement struct {
	TimeToFirstToken time.Duration // predicted
	UnreadTokens     int           // prompt tokens that the replica has to prefill
	BacklogTokens    int           // tokens of other prompts to prefill before them
	OpenRequests     int           // of all processes on the replica, this one included
	Slowdown         float64       // observed over predicted time to first token there
	TakesLongPrompts bool          // the replica is one of those for long prompts
	PeerLoadAge      time.Duration // time since the last SetPeerLoads
	Replicas         int           // number of replicas to choose from
	Limited          bool          // a cheaper replica was passed over, as its limit allowed no request
	Evacuated        int           // number of other replicas, passed over as their data centres are being evacuated
	OutOfRegion      int           // number of further ones, passed over as the request is bound to other regions
	FetchFrom        string        // replica from which parts may be fetched; empty for none
}

// Placement returns the estimates by which an open request was placed, or false for one
// that is not open.
func (p *Placer) Placement(request *chicoryrock.Request) (Placement, bool) {
	j := p.pool(request.Pool).jobs[request]
	if j == nil {
		return Placement{}, false
	}
	return j.placement, true
}
