package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Placement is what decided where a request was placed.
type Placement struct {
	TimeToFirstToken time.Duration // predicted time to the first token
	UnreadTokens     int           // tokens of its prompt that the replica has to read, about
	BacklogTokens    int           // tokens that it had to read before
	OpenRequests     int           // requests of all processes on it
	Slowdown         float64       // observed against predicted times there
	TakesLongPrompts bool          // it is one that reads long prompts
	PeerLoadAge      time.Duration // age of what the other processes told
	Replicas         int           // how many replicas there were to choose from
	FetchFrom        string        // the replica from which parts of the prompt may be fetched
}

// Placement returns what decided the placing of a request that has a replica.
func (p *Placer) Placement(request *chicoryrock.Request) (Placement, bool) {
	j := p.pool(request.Pool).jobs[request]
	if j == nil {
		return Placement{}, false
	}
	return j.choice, true
}
