package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Choice is what decided where a request was placed.
type Choice struct {
	First   time.Duration // predicted time to the first token
	Unread  int           // tokens of its prompt that the replica has to read, about
	Ahead   int           // tokens that it had to read before
	Open    int           // requests of all processes on it
	Speed   float64       // observed against predicted times there
	Reader  bool          // it is one that reads long prompts
	Others  time.Duration // age of what the other processes told
	Replica int           // how many replicas there were to choose from
	Fetch   string        // the replica from which parts of the prompt may be fetched
}

// Choice returns what decided the placing of a request that has a replica.
func (p *Placer) Choice(request *chicoryrock.Request) (Choice, bool) {
	j := p.pool(request.Pool).jobs[request]
	if j == nil {
		return Choice{}, false
	}
	return j.choice, true
}
