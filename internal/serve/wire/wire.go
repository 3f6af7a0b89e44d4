// Package wire names the HTTP headers that callers, entries, agents and backend
// servers exchange, and the error body that callers get.
package wire

import (
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Headers that callers see.
const (
	RequestID      = "X-Request-Id"      // reference for chicoryctl explain
	Outcome        = "X-Chicory-Outcome" // OutcomeNotRun or OutcomeUnknown, on refusals and failures
	Reason         = "X-Chicory-Reason"  // code of a chicoryrock.Reason
	IdempotencyKey = "Idempotency-Key"
	RetryAfter     = "Retry-After"    // whole seconds
	RetryAfterMs   = "Retry-After-Ms" // milliseconds, read by the official clients before RetryAfter
)

// Headers between the system's own processes and towards backend servers.
const (
	Workspace = "X-Chicory-Workspace"
	Class     = "X-Chicory-Class"
	Tier      = "X-Chicory-Tier"
	Limit     = "X-Chicory-Limit"    // requests a second that the backend server takes, in its answers; missing for any number
	Load      = "X-Chicory-Load"     // JSON of chicoryrock.Load
	Resume    = "X-Chicory-Resume"   // output tokens that the caller already has
	Version   = "X-Chicory-Version"  // of an engine's software, in its answers
	Weights   = "X-Chicory-Weights"  // versions of an engine's weights, in its answers; on a call that resumes, those that an engine without them answers 421 for
	Build     = "X-Chicory-Build"    // on a call that resumes, the build that began it, as chicoryrock.Load states it
	Prompt    = "X-Chicory-Prompt"   // estimated prompt length, tokens
	Due       = "X-Chicory-Due"      // milliseconds until the first token is due
	Suspect   = "X-Chicory-Suspect"  // "1" on a call that was in flight at a crash
	CrashName = "X-Chicory-Crash"    // the crash that ended a call before its answer began
	Once      = "X-Chicory-Once"     // "1" on a call that may not be repeated
	Claim     = "X-Chicory-Claim"    // digest of its idempotency key, when it has one
	Process   = "X-Chicory-Process"  // the sending process, by a name that none had before
	Window    = "X-Chicory-Window"   // number of the usage window that the call counts in
	Unframed  = "X-Chicory-Unframed" // "1" on an answer whose end the backend server showed only by the end of its connection
)

// Values of the Outcome header.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	// OutcomePreempted is between agent and entry only: the call ran and was stopped
	// for a higher tier before its answer began.
	OutcomePreempted = "preempted"
)

// ErrorBody is the usual error shape that callers' tools expect.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the inner object of ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
}

// Refusal is everything that a caller is told when a request is not served.
type Refusal struct {
	Reason  chicoryrock.Reason
	Detail  string        // added to the reason's sentence, may be empty
	Outcome string        // OutcomeNotRun or OutcomeUnknown
	After   time.Duration // when to come back; zero for never
}

// Body returns the error body of the refusal.
func (r Refusal) Body() ErrorBody {
	message := r.Reason.Sentence()
	if r.Detail != "" {
		message += " " + r.Detail
	}
	return ErrorBody{Error: ErrorDetail{
		Message: message,
		Type:    errorType(r.Reason.Status()),
		Code:    r.Reason.String(),
	}}
}

// Write sends the refusal as the whole answer.
func (r Refusal) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(Reason, r.Reason.String())
	header.Set(Outcome, r.Outcome)
	if r.After > 0 {
		header.Set(RetryAfter, strconv.Itoa(int(math.Ceil(r.After.Seconds()))))
		header.Set(RetryAfterMs, strconv.FormatInt(r.After.Milliseconds(), 10))
	}
	w.WriteHeader(r.Reason.Status())
	// The caller may be gone already; nothing is left to tell it then.
	_ = json.NewEncoder(w).Encode(r.Body())
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// SetLoad writes an agent's load into a header.
func SetLoad(header http.Header, load chicoryrock.Load) {
	text, err := json.Marshal(load)
	if err != nil {
		return
	}
	header.Set(Load, string(text))
}

// ReadLoad reads an agent's load from a header.
func ReadLoad(header http.Header) (chicoryrock.Load, bool) {
	var load chicoryrock.Load
	text := header.Get(Load)
	if text == "" {
		return load, false
	}
	err := json.Unmarshal([]byte(text), &load)
	return load, err == nil
}

// BuildOf returns the build that an engine's answer states (chicoryrock.Server.Build); empty
// where it doesn't state its software.
func BuildOf(header http.Header) string {
	// A space separates the two.
	server := chicoryrock.Server{Version: url.PathEscape(header.Get(Version)), Weights: header.Get(Weights)}
	return server.Build()
}

// WeightsOf returns the weights that a build of BuildOf names; empty for none.
func WeightsOf(build string) string {
	_, weights, _ := strings.Cut(build, " ")
	return weights
}
