package chicoryrock

import (
	"net/netip"
	"time"
)

// Request is what the decisions know of one call. It holds no body and no key.
type Request struct {
	ID           string
	Workspace    string
	Class        string
	Route        string
	Pool         string
	Tier         int       // 1 is the highest
	Arrived      time.Time // when the entry had read the whole request
	Deadline     time.Time // when the first token is due
	ResumeBy     time.Time // when an answer that broke off has to go on to meet its target; zero before
	PromptTokens int       // estimated prompt length, tokens
	PrefixHash   uint64    // hash of the prompt's beginning; zero when unknown
	Idempotent   bool      // the call is idempotent and may run more than once
	Suspect      bool      // the call may crash an engine and runs beside no other suspect

	Parts            []Part        // of the prompt, in order; nil when unknown
	MaxOutputTokens  int           // most tokens of the answer; zero when unknown
	FirstTokenTarget time.Duration // from its arrival, within which its first token is on time
	MaxTokenGap      time.Duration // longest pause between events that is on time; zero for no stream
}

// Replica is what one entry knows of one backend server. The view is stale:
// Running and Waiting come with answers, Open is this entry's own count.
type Replica struct {
	Name        string
	Pool        string
	Centre      string
	Region      string
	Address     netip.AddrPort
	Slots       int       // streams the engine runs at once
	Running     int       // as last reported by the agent, all entries together
	Waiting     int       // as last reported by the agent
	OthersLoad  int       // of Running and Waiting, those that were not this entry's
	Open        int       // requests of this entry not yet answered
	FullReports int       // reports in a row that said it has no room
	LastSeen    time.Time // when the agent was last heard
	Leaving     bool      // gets no new work
	RunsSuspect bool      // runs a suspect of this entry; gets no other one
	SlowStart   bool      // joined while this entry was running; gets work step by step
	ColdUntil   time.Time // it is slow until then, by its own word; zero for not
}

// Load is what an agent says of itself with every answer.
type Load struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving,omitempty"`
}

// Observation is what an entry measured itself on one replica. A field that is
// zero was not measured.
type Observation struct {
	TimeToFirstToken time.Duration // from sending the request to its first token
	TokenInterval    time.Duration // mean time between tokens since the last observation
	Failed           bool          // the replica could not be reached, or a stream broke
}

// Observer is a Picker that learns from what the entry measures. Dispatchers
// pass observations on when their Picker is one.
type Observer interface {
	// Observe takes in one observation on a replica of a pool.
	Observe(now time.Time, pool, replica string, seen Observation)
	// IsStraggler says whether a replica is a straggler by what was observed: its tokens
	// come far slower than the others'.
	IsStraggler(pool, replica string) bool
	// DeadlineMissed says that a waiting request of a pool was given up as late.
	DeadlineMissed(now time.Time, pool string)
	// Sort puts a pool's replicas into the order that Pick expects.
	Sort(replicas []Replica)
}

// Picker chooses the backend server for a request. The index of the chosen
// replica is returned, or false when none can take it now. Implementations
// stand below internal/policy/pick.
type Picker interface {
	Pick(now time.Time, request *Request, replicas []Replica) (int, bool)
}

// Queue holds the requests of one pool that wait for a backend server and says
// which goes next. Implementations stand below internal/policy.
type Queue interface {
	// Push takes a request in, or returns the reason why it is refused at once.
	// A full queue may give up a waiting request of the same or a lower tier in
	// its place: that one is returned, is no longer held, and gets its refusal
	// (ReasonQueueFull) at once.
	Push(now time.Time, request *Request) (*Request, Reason)
	// Peek returns the request that Pop would give out, and leaves it in place.
	Peek(now time.Time) (*Request, bool)
	// Pop removes and returns the request that should be served next.
	Pop(now time.Time) (*Request, bool)
	// Requeue puts back a request that Pop gave out and that certainly did not
	// run. It keeps its place and is not charged twice.
	Requeue(now time.Time, request *Request)
	// Remove takes out a request that its caller has given up, or whose key was
	// withdrawn, and says whether it was waiting.
	Remove(now time.Time, request *Request) bool
	// Expire removes and returns every request that can no longer meet its
	// deadline, so that it can be refused without delay.
	Expire(now time.Time) []*Request
	// Charge adds tokens to a workspace's account as they are produced.
	Charge(now time.Time, request *Request, tokens int)
	// Finish tells the queue that a request it gave out has ended.
	Finish(now time.Time, request *Request)
	// RetryAfter returns how long the caller of a refused request should wait before
	// it asks again. Callers refused together are told different times.
	RetryAfter(now time.Time, request *Request) time.Duration
	// Len returns how many requests wait.
	Len() int
}

// Part is a piece of a prompt. Requests share parts; an engine that keeps a part
// and all before it in memory need not read them again.
type Part struct {
	ID     uint64
	Tokens int
}

// RequestHeader is what a request's headers say of it.
type RequestHeader struct {
	ID               string
	Key              string        // as presented; never logged
	Timeout          time.Duration // how long the caller waits; zero when it doesn't say
	PromptTokens     int           // tokens
	MaxOutputTokens  int           // most tokens of the answer
	OutputTokensHint int           // the caller's estimate of the answer's tokens; zero for none
	Parts            []Part
}

// CachedPrefix is that a backend server has read the parts that a session's prompts share.
type CachedPrefix struct {
	SessionHash uint32 // short form of the session's part
	ServerHash  uint32 // hash of the name
}

// OpenLoad is what one process, or several together, have open at one backend
// server, or ask of a pool.
type OpenLoad struct {
	KeyHash      uint32 // hash of the name
	Running      int    // requests whose answer has begun
	GapSensitive int    // of Running, streams that long prompts beside them would make late
	UnreadTokens int    // tokens of prompts whose answer has not begun
}
