package chicoryrock

import (
	"net/netip"
	"slices"
	"time"
)

// Request holds the properties of a call that policies decide by. It holds
// neither the body nor the key. An entry is a process that takes callers' requests.
//
// Deadline is the time until which the request may wait for a backend server at most.
// Queues also deduct the expected time to its first token. Package entry sets it to the
// time when the first token is due; package front sets it to a share of the target
// after the arrival, or to the end of the caller's timeout if that is earlier. A retry
// may move it.
type Request struct {
	ID           string
	Workspace    string
	Class        string
	Route        string
	Pool         string
	Tier         int       // 1 is the highest
	Arrived      time.Time // when the entry had read the whole request
	Deadline     time.Time // latest end of the wait for a backend server, see above; zero if none
	ResumeBy     time.Time // when an interrupted answer must resume to meet its target; zero if not interrupted
	PromptTokens int       // estimated length of the prompt
	PrefixHash   uint64    // hash of the prompt's beginning; zero if unknown
	Idempotent   bool      // the call may run more than once
	Suspect      bool      // the call may crash an engine and never runs beside another suspect
	Model        string    // that is to answer; empty if not known
	Version      string    // the build that began the stream (BuildFor its model), the only one that may go on with it; empty for any
	Continues    bool      // its caller has the beginning of the stream
	Resumable    bool      // its stream may go on elsewhere, so that the version which begins it must be known to all
	Only         string    // the replica that keeps a copy of its memory, the only one that may go on with it; empty for any
	Regions      []string  // whose replicas may serve it; nil for any
	Not          string    // the replica that runs another attempt of it and may not run this one; empty for none

	Parts            []Part        // the prompt's parts, in order; nil if unknown
	MaxOutputTokens  int           // longest possible answer; zero if unknown
	FirstTokenTarget time.Duration // longest time to first token, from arrival, that counts as on time
	MaxTokenGap      time.Duration // longest pause between events that counts as on time; zero if not a stream
}

// Replica is one entry's view of one backend server. The view is stale: Running
// and Waiting arrive with answers; Open is the entry's own count.
type Replica struct {
	Name        string
	Pool        string
	Centre      string
	Region      string
	Address     netip.AddrPort
	StartedMs   int64     // its start, milliseconds since 1970; zero if not known
	Slots       int       // streams that the engine runs at once
	Running     int       // requests of all entries, as last reported by the agent
	Waiting     int       // requests of all entries, as last reported by the agent
	OthersLoad  int       // the part of Running and Waiting that is not this entry's
	Open        int       // this entry's requests that are not answered yet
	FullReports int       // consecutive reports of a full server
	LastSeen    time.Time // time of the agent's last report
	Leaving     bool      // gets no new work
	Evacuated   bool      // its data centre is being evacuated, so that it gets no new work
	RunsSuspect bool      // gets no other suspect until this entry's suspect there has ended or its probation is over
	SlowStart   bool      // joined while this entry was running; its share of the work ramps up
	ColdUntil   time.Time // slow until then, by its own report; zero if not cold
	ColdLimited bool      // while it is cold, all processes together keep to a rate that it bears
	Version     string    // its build (Server.Build); empty if not known
	Weights     string    // of its models; see Server
	RestUntil   time.Time // gets no requests until then; zero for none
	Unheard     bool      // its version isn't known here; its agent keeps to the one that a request names
	Unlisted    bool      // no resumable stream may begin there: other processes don't know of its version yet
}

// Allows reports whether a request may be sent to a replica, by the replica's data centre and
// region.
func (r *Request) Allows(replica *Replica) bool {
	return !replica.Evacuated && r.AllowsRegion(replica.Region)
}

// AllowsRegion reports whether replicas of a region may serve a request. Those whose region
// isn't known serve only requests that are bound to none.
func (r *Request) AllowsRegion(region string) bool {
	return r.Regions == nil || region != "" && slices.Contains(r.Regions, region)
}

// BuildAt returns the build of a replica as far as it decides on a request's answer.
func (r *Request) BuildAt(replica *Replica) string { return BuildFor(replica.Version, r.Model) }

// Load is the load that an agent reports with every answer.
type Load struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving,omitempty"`
	// Build names the engine's software and weights (Server.Build); empty if it doesn't state
	// its software.
	Build string `json:"build,omitempty"`
}

// Observation is what an entry measured on one replica. Fields that were not
// measured are zero.
type Observation struct {
	TimeToFirstToken time.Duration // from sending the request
	TokenInterval    time.Duration // mean time between tokens since the last observation
	Failed           bool          // the replica could not be reached, or a stream broke
}

// Observer is a Picker that adapts to the entry's measurements. Dispatchers pass
// observations to a Picker that implements it.
type Observer interface {
	// Observe records an observation of a replica of a pool.
	Observe(now time.Time, pool, replica string, seen Observation)
	// IsStraggler reports whether a replica produces tokens far more slowly than
	// the others, according to the observations.
	IsStraggler(pool, replica string) bool
	// DeadlineMissed records that a waiting request of a pool was dropped because
	// it would have been late.
	DeadlineMissed(now time.Time, pool string)
	// Sort puts a pool's replicas into the order that Pick expects.
	Sort(replicas []Replica)
}

// Picker chooses the backend server for a request. It returns the index of the
// chosen replica, or false if no replica can take the request now. Implementations
// are in internal/policy/pick.
type Picker interface {
	Pick(now time.Time, request *Request, replicas []Replica) (int, bool)
}

// Queue holds the requests of one pool that wait for a backend server, and
// decides their order. Implementations are below internal/policy.
type Queue interface {
	// Push adds a request, or returns the reason to refuse it at once. A full
	// queue may instead evict a waiting request of the same or a lower tier: it
	// returns the evicted request, which the caller must refuse at once with
	// ReasonQueueFull.
	Push(now time.Time, request *Request) (*Request, Reason)
	// Peek returns the request that Pop would return, without removing it.
	Peek(now time.Time) (*Request, bool)
	// Pop removes and returns the request to serve next.
	Pop(now time.Time) (*Request, bool)
	// Requeue puts back a request that Pop returned and that certainly did not
	// run. It keeps its place and is not charged twice.
	Requeue(now time.Time, request *Request)
	// Remove removes a request whose caller has gone or whose key was withdrawn,
	// and reports whether it was waiting.
	Remove(now time.Time, request *Request) bool
	// Expire removes and returns all requests that can no longer meet their
	// deadlines, so that they can be refused without delay.
	Expire(now time.Time) []*Request
	// Charge adds produced tokens to the account of the request's workspace.
	Charge(now time.Time, request *Request, tokens int)
	// Finish records that a request returned by Pop has ended.
	Finish(now time.Time, request *Request)
	// RetryAfter returns how long the caller of a refused request should wait
	// before it retries. Callers refused together get different times.
	RetryAfter(now time.Time, request *Request) time.Duration
	// Len returns the number of waiting requests.
	Len() int
}

// Part is a section of a prompt. Requests can share parts: an engine that holds a
// part and all parts before it in its prefix cache skips their prefill.
type Part struct {
	ID     uint64
	Tokens int
}

// RequestHeader holds what the headers of a request state.
type RequestHeader struct {
	ID               string
	Key              string        // as presented; never logged
	Timeout          time.Duration // how long the caller waits; zero if not stated
	PromptTokens     int           // length of the prompt
	MaxOutputTokens  int           // longest possible answer
	OutputTokensHint int           // the caller's estimate of the answer's length; zero if not stated
	Parts            []Part
	LastEvent        string // ID of the last event that the caller has of a stream that it takes up; empty for a new request
	Resumes          string // ID of the request that brought the stream's first event; empty if not stated
	Model            string // that is to answer; empty if not stated
}

// CachedPrefix states that a backend server has prefilled the parts that a
// session's prompts share.
type CachedPrefix struct {
	SessionHash uint32 // XOR of the two 32-bit halves of the ID of the session's part
	ServerHash  uint32 // hash of the server's name
}

// OpenLoad is an element of the load reports between processes, or the sum of several
// processes' elements with the same key. Under the key of a backend server, it holds
// the open requests there. Other keys stand for figures of a pool:
//   - an estimate: Open is its weight, UnreadTokens the product of weight, value and
//     scale;
//   - the demand of the requests with the same target and tier: UnreadTokens is in
//     prompt tokens per second;
//   - the load by long or by short prompts: Open counts open requests, UnreadTokens is
//     their prefill time in milliseconds per second.
type OpenLoad struct {
	KeyHash      uint32 // hash of the key: the server's name, or the pool's name with a suffix
	Open         int    // open requests, whether or not their answers have begun
	GapSensitive int    // of Open, streams that would be late beside long prompts
	UnreadTokens int    // prompt tokens of the open requests that are still to prefill, estimated
}
