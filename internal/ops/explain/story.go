package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// clockForm is how times of day are written in stories.
const clockForm = "15:04:05"

// causePhrases completes the sentence "... because".
var causePhrases = map[Cause]string{
	CauseCapacity: "every place on the backend servers was in use",
	CauseTier:     "requests of a higher tier go first",
	CauseFloor:    "the free places are kept for another class that is guaranteed them",
	CauseShare:    "other workspaces of the same tier were further below their share",
	CauseLimit:    "its workspace had reached its limit",
	CauseLoad:     "it was the least busy",
	CausePrefix:   "it had already read the beginning of this request",
	CauseRegion:   "no backend server nearer by could have met the target",
	CauseBusy:     "the backend servers that were tried could take no more",
	CauseFailure:  "that backend server failed",
	CauseLeaving:  "that backend server is shutting down",
}

// advice says what would have changed a refusal or a failure.
var advice = map[chicoryrock.Reason]string{
	chicoryrock.ReasonMalformed:      "The caller has to correct the request.",
	chicoryrock.ReasonTooLarge:       "A shorter request, or a higher limit on the size of requests, would have been let in.",
	chicoryrock.ReasonUnknownKey:     "A key that has been published for a workspace would have been let in.",
	chicoryrock.ReasonWithdrawn:      "A key that is still valid would have been let in.",
	chicoryrock.ReasonNoRoute:        "A published route that offers this model or service to the workspace would have served it.",
	chicoryrock.ReasonStaleConfig:    "It would have been served once this process could confirm its configuration again.",
	chicoryrock.ReasonLimit:          "A later request, or a higher limit for the workspace, would have been let in.",
	chicoryrock.ReasonLate:           "More backend servers, fewer requests at that moment, or a longer target would have let it in.",
	chicoryrock.ReasonServerLimit:    "More backend servers of the pool would have let it in, or the same ones once they state no limit.",
	chicoryrock.ReasonQueueFull:      "More backend servers, or fewer requests at that moment, would have let it in.",
	chicoryrock.ReasonNoRoom:         "More memory for the process, or fewer and smaller requests at that moment, would have let it in.",
	chicoryrock.ReasonNoServer:       "A backend server that could be reached in the route's pools would have served it.",
	chicoryrock.ReasonRegion:         "A backend server in a region that both the route and the workspace allow would have served it, or a longer list of allowed regions.",
	chicoryrock.ReasonEvacuated:      "It would have been served once the evacuation is taken back, or by backend servers in other data centres.",
	chicoryrock.ReasonResting:        "It would have been served after the pause that Retry-After names, or by further backend servers.",
	chicoryrock.ReasonVersionUnknown: "It would have gone on where the store could be read, or where the front that began it had lived for a moment longer; the whole request can be sent again.",
	chicoryrock.ReasonVersionGone:    "A backend server with the software version of event 318 would have gone on with it; the whole request can be sent again.",
	chicoryrock.ReasonCrashPart:      "A prompt without that part would have been served; event 313 names it. Look at what it does to the backend servers.",
	chicoryrock.ReasonCrashRequest:   "A different request would have been served, or this one as a trial after the time that Retry-After names; look at what it does to the backend servers.",
	chicoryrock.ReasonSuspect:        "A different request would have been served; look at what this one does to the backend servers.",
	chicoryrock.ReasonClaimed:        "The first request with this key decides; a new call needs a new idempotency key.",
	chicoryrock.ReasonNoStore:        "It would have been let in once the platform's key-value service could be reached.",
	chicoryrock.ReasonShutdown:       "The same request sent to another process would have been let in.",
	chicoryrock.ReasonRetries:        "Backend servers that do not fail, or a later attempt, would have served it.",
	chicoryrock.ReasonBroken:         "A backend server that does not fail, or one that can resume answers, would have finished it.",
	chicoryrock.ReasonUnknownOutcome: "Nothing can be said before the backend server's own records are read; do not send it again blindly.",
}

// ruleKinds says which kinds of object can set the rule behind a reason. An object
// of another kind is not named, however it came into the record: a shutdown, for
// instance, is nothing that an operator declared.
var ruleKinds = map[chicoryrock.Reason][]string{
	chicoryrock.ReasonWithdrawn:   {"key"},
	chicoryrock.ReasonNoRoute:     {"route"},
	chicoryrock.ReasonLimit:       {"workspace"},
	chicoryrock.ReasonLate:        {"class"},
	chicoryrock.ReasonQueueFull:   {"class", "pool"},
	chicoryrock.ReasonServerLimit: {"pool"},
	chicoryrock.ReasonNoServer:    {"route", "pool"},
	chicoryrock.ReasonRegion:      {"route", "workspace"},
	chicoryrock.ReasonClaimed:     {"route"},
	chicoryrock.ReasonNoStore:     {"route"},
	chicoryrock.ReasonBroken:      {"pool"},
}

// Story tells the record in plain sentences, with times of day in zone.
func (r *Record) Story(zone *time.Location) []string {
	story := []string{r.opening(zone)}
	for i := range r.Steps {
		if text := r.stepSentence(i, zone); text != "" {
			story = append(story, text)
		}
	}
	if r.Omitted > 0 {
		story = append(story, fmt.Sprintf("%s followed that are not recorded.", plural(r.Omitted, "further step")))
	}
	return append(story, r.ending(zone)...)
}

func (r *Record) opening(zone *time.Location) string {
	text := fmt.Sprintf("Request %s came in at %s", r.Ref, r.Arrived.In(zone).Format(clockForm))
	if r.Workspace != "" {
		text += " from workspace " + r.Workspace
	}
	if r.Class != "" {
		text += fmt.Sprintf(" and belongs to class %s (tier %d)", r.Class, r.Tier)
	}
	if !r.Deadline.IsZero() {
		text += fmt.Sprintf(", whose answers should begin within %s", span(r.Deadline.Sub(r.Arrived)))
	}
	return text + "."
}

func (r *Record) stepSentence(i int, zone *time.Location) string {
	step := &r.Steps[i]
	switch step.Action {
	case ActionQueue:
		return r.waitSentence(i)
	case ActionSend:
		return fmt.Sprintf("At %s it was sent to backend server %s%s%s.",
			step.Time.In(zone).Format(clockForm), step.Choice, because(step.Cause), ruleClause(step.Rule))
	case ActionRetry:
		return fmt.Sprintf("It was taken back from backend server %s to be tried elsewhere%s%s.",
			step.Choice, because(step.Cause), ruleClause(step.Rule))
	case ActionResume:
		return fmt.Sprintf("The answer had begun and went on from the same place on backend server %s%s%s.",
			step.Choice, because(step.Cause), ruleClause(step.Rule))
	case ActionToken:
		return fmt.Sprintf("The answer began %s after the request came in.", span(step.Time.Sub(r.Arrived)))
	}
	return ""
}

func (r *Record) waitSentence(i int) string {
	step := &r.Steps[i]
	var text strings.Builder
	text.WriteString("It had to wait")
	switch {
	case i+1 < len(r.Steps):
		fmt.Fprintf(&text, " %s", span(r.Steps[i+1].Time.Sub(step.Time)))
	case !r.Ended.IsZero():
		fmt.Fprintf(&text, " %s", span(r.Ended.Sub(step.Time)))
	}
	text.WriteString(because(step.Cause))
	if step.Known.Slots > 0 {
		fmt.Fprintf(&text, " (%d of %d places)", step.Known.Running, step.Known.Slots)
	}
	if step.Known.Tries > 0 {
		fmt.Fprintf(&text, " (tried %s)", plural(step.Known.Tries, "time"))
	}
	if step.Known.Ahead > 0 {
		fmt.Fprintf(&text, "; %s went first", plural(step.Known.Ahead, "request"))
	}
	text.WriteString(ruleClause(step.Rule))
	return text.String() + "."
}

// ending says how the request ended, why, and what would have changed it.
func (r *Record) ending(zone *time.Location) []string {
	if r.Ended.IsZero() {
		return []string{"It has not ended yet."}
	}
	at := r.Ended.In(zone).Format(clockForm)
	switch r.Result.Outcome {
	case chicoryrock.OutcomeServed:
		return r.servedEnding(at)
	case chicoryrock.OutcomeCancelled:
		return []string{fmt.Sprintf("At %s the caller hung up, and the work was stopped.", at)}
	case chicoryrock.OutcomeRefused:
		return r.failedEnding(fmt.Sprintf("It was refused at %s and was not run.", at))
	case chicoryrock.OutcomeUnknown:
		return r.failedEnding(fmt.Sprintf("It ended at %s, and it is not known whether it ran.", at))
	default:
		return r.failedEnding(fmt.Sprintf("It failed at %s after it had begun.", at))
	}
}

func (r *Record) servedEnding(at string) []string {
	if !r.Late() {
		return []string{fmt.Sprintf("It was served whole, in time, at %s.", at)}
	}
	ending := []string{fmt.Sprintf("It was served whole at %s, but began %s later than its class's target%s.",
		at, span(r.begun().Sub(r.Deadline)), ruleClause(r.Result.Rule))}
	return append(ending, r.delayAdvice())
}

// delayAdvice says what would have made a late request an early one.
func (r *Record) delayAdvice() string {
	var waited time.Duration
	r.waits(func(_ Cause, span time.Duration) { waited += span })
	if waited >= r.begun().Sub(r.Deadline) {
		return fmt.Sprintf("Without the %s of waiting it would have been in time; more backend servers or fewer requests at that moment would have spared it.", span(waited))
	}
	return "It would have been late without any waiting too; a faster backend server, a shorter request or a longer target would have changed that."
}

func (r *Record) failedEnding(first string) []string {
	ending := []string{first, "Why: " + r.Result.Reason.Sentence()}
	if known := r.Result.Known; known.Expected > 0 {
		ending = append(ending, fmt.Sprintf("The wait for an answer was expected to be %s.", span(known.Expected)))
	} else if known.Ahead > 0 {
		ending = append(ending, fmt.Sprintf("%s were ahead of it.", plural(known.Ahead, "request")))
	}
	if rule := r.Result.Rule; rule.Name != "" && slices.Contains(ruleKinds[r.Result.Reason], rule.Kind) {
		ending = append(ending, fmt.Sprintf("The rule was set by %s.", rule.phrase()))
	}
	return append(ending, "What would have changed it: "+advice[r.Result.Reason])
}

// phrase names the object, with its file when that is known.
func (o Object) phrase() string {
	if o.File == "" {
		return o.Kind + " " + o.Name
	}
	return fmt.Sprintf("%s %s in %s", o.Kind, o.Name, o.File)
}

func ruleClause(rule Object) string {
	if rule.Name == "" {
		return ""
	}
	return ", as set by " + rule.phrase()
}

func because(cause Cause) string {
	if phrase, found := causePhrases[cause]; found {
		return " because " + phrase
	}
	return ""
}

func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

// span writes a length of time with as much precision as a reader needs.
func span(d time.Duration) string {
	switch {
	case d < time.Second:
		return fmt.Sprintf("%d milliseconds", d.Milliseconds())
	case d < time.Minute:
		return fmt.Sprintf("%.1f seconds", d.Seconds())
	default:
		return fmt.Sprintf("%d minutes %d seconds", d/time.Minute, d%time.Minute/time.Second)
	}
}
