package chicoryrock

import (
	"net/netip"
	"time"
)

// Request is what the decisions know of one call. It holds no body and no key.
type Request struct {
	ID        string
	Workspace string
	Class     string
	Route     string
	Pool      string
	Tier      int       // 1 is the highest
	Arrived   time.Time // when the entry had read the whole request
	Deadline  time.Time // when the first token is due
	Prompt    int       // estimated prompt length, tokens
	Prefix    uint64    // hash of the prompt's beginning; zero when unknown
	Repeat    bool      // the call is idempotent and may run more than once
}

// Replica is what one entry knows of one backend server. The view is stale:
// Running and Waiting come with answers, Open is this entry's own count.
type Replica struct {
	Name    string
	Pool    string
	Centre  string
	Region  string
	Address netip.AddrPort
	Slots   int       // streams the engine runs at once
	Running int       // as last reported by the agent, all entries together
	Waiting int       // as last reported by the agent
	Open    int       // requests of this entry not yet answered
	Seen    time.Time // when the agent was last heard
	Leaving bool      // gets no new work
}

// Load is what an agent says of itself with every answer.
type Load struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving,omitempty"`
}

// Picker chooses the backend server for a request. The index of the chosen
// replica is returned, or false when none can take it now. Implementations
// stand below internal/policy/pick.
type Picker interface {
	Pick(now time.Time, request *Request, replicas []Replica) (int, bool)
}
