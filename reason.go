package chicoryrock

// Reason is why a request was refused or failed. The set is closed: each refusal
// carries the code and the sentence of exactly one reason.
type Reason int

// Reasons, in the order in which a request is checked for them.
const (
	ReasonNone Reason = iota
	ReasonMalformed
	ReasonTooLarge
	ReasonUnknownKey
	ReasonWithdrawn
	ReasonNoRoute
	ReasonStaleConfig
	ReasonLimit
	ReasonLate
	ReasonQueueFull
	ReasonNoRoom
	ReasonServerLimit
	ReasonNoServer
	ReasonVersionUnknown
	ReasonVersionGone
	ReasonRegion
	ReasonEvacuated
	ReasonResting
	ReasonSuspect
	ReasonCrashPart
	ReasonCrashRequest
	ReasonClaimed
	ReasonNoStore
	ReasonShutdown
	ReasonRetries
	ReasonBroken
	ReasonUnknownOutcome
)

type reasonText struct {
	code     string
	sentence string
	status   int
}

var reasonTexts = []reasonText{
	ReasonNone:           {"none", "The request was served.", 200},
	ReasonMalformed:      {"malformed", "The request could not be read: its body or headers are not in the expected form.", 400},
	ReasonTooLarge:       {"too-large", "The request is larger than this system accepts.", 413},
	ReasonUnknownKey:     {"unknown-key", "The key that came with the request belongs to no workspace.", 401},
	ReasonWithdrawn:      {"withdrawn", "The key that came with the request has been withdrawn.", 401},
	ReasonNoRoute:        {"no-route", "No route for this model or service is open to the workspace.", 404},
	ReasonStaleConfig:    {"stale-config", "This process has been cut off from the configuration for too long to serve safely.", 503},
	ReasonLimit:          {"limit", "The workspace has used up its limit for now.", 429},
	ReasonLate:           {"late", "The answer could not have begun within the class's target.", 503},
	ReasonQueueFull:      {"queue-full", "Too many requests of the same or a higher tier were already waiting.", 503},
	ReasonNoRoom:         {"no-room", "This process had no memory for the request, as others use that up for now.", 503},
	ReasonServerLimit:    {"server-limit", "Each backend server of the pool has stated how many requests it takes, and others use that up for now.", 503},
	ReasonNoServer:       {"no-server", "No backend server of the route's pools could be reached.", 503},
	ReasonVersionUnknown: {"version-unknown", "It could not be found out which software version began this stream, and it goes on at no other one.", 503},
	ReasonVersionGone:    {"version-gone", "No backend server has the software version that began this stream any more, and it goes on at no other one.", 503},
	ReasonRegion:         {"region", "No backend server that could run the request stands in a region that its route and workspace allow.", 503},
	ReasonEvacuated:      {"evacuated", "Each backend server that could run the request stands in a data centre that is being evacuated.", 503},
	ReasonResting:        {"resting", "Each backend server that could run the request has asked for a pause, which lasts for longer than the request may wait.", 503},
	ReasonSuspect:        {"suspect", "This same request was running when backend servers crashed, so it is not run again.", 422},
	ReasonCrashPart:      {"crash-part", "Backend servers crashed under a part of this request's prompt, so no request with that part is run for now.", 503},
	ReasonCrashRequest:   {"crash-request", "Backend servers crashed under this same request, so it is not run for now.", 503},
	ReasonClaimed:        {"claimed", "A request with the same idempotency key has already been started.", 409},
	ReasonNoStore:        {"no-store", "The call must run at most once, and the store that guards this cannot be reached.", 503},
	ReasonShutdown:       {"shutdown", "This process is shutting down and takes no new requests.", 503},
	ReasonRetries:        {"retries", "The request failed on a backend server and the allowance for retries is used up.", 503},
	ReasonBroken:         {"broken", "The answer broke off and could not be resumed elsewhere.", 502},
	ReasonUnknownOutcome: {"unknown-outcome", "The call may have run, but its answer was lost.", 502},
}

// String returns the reason's code, which is stable and appears in headers and
// records.
func (r Reason) String() string { return reasonTexts[r].code }

// Sentence returns an explanation for readers without a technical background.
func (r Reason) Sentence() string { return reasonTexts[r].sentence }

// Status returns the reason's HTTP status code.
func (r Reason) Status() int { return reasonTexts[r].status }

// Reasons returns all reasons except ReasonNone, in order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(reasonTexts)-1)
	for r := ReasonNone + 1; int(r) < len(reasonTexts); r++ {
		all = append(all, r)
	}
	return all
}
