package entry

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/burn"
	"github.com/chicoryrock/chicoryrock/internal/ops/cost"
	"github.com/chicoryrock/chicoryrock/internal/ops/explain"
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
	"github.com/chicoryrock/chicoryrock/internal/serve/gate"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// Observer keeps what operators ask about: metrics, the records of the newest
// requests, the counts against service levels, and the use of backend servers.
type Observer struct {
	Metrics *metrics.Metrics
	Records *explain.Recorder
	Burn    *burn.Counter
	Cost    *cost.Meter
}

// refused notes a request that was refused before it was classified.
func (o *Observer) refused(now time.Time, request *chicoryrock.Request, reason chicoryrock.Reason) {
	o.refusedUnder(now, request, reason, explain.Object{})
}

// refusedUnder does the same where an operator's object set the rule.
func (o *Observer) refusedUnder(now time.Time, request *chicoryrock.Request, reason chicoryrock.Reason, rule explain.Object) {
	o.Records.Begin(now, request)
	o.Records.End(now, request.ID, explain.Result{Outcome: chicoryrock.OutcomeRefused, Reason: reason, Rule: rule})
	o.Metrics.Request(metrics.Ended{Workspace: request.Workspace, Outcome: chicoryrock.OutcomeRefused, Reason: reason})
}

// configured takes in a configuration: workspaces that it does not have make room
// among the limited number of series.
func (o *Observer) configured(table *object.Table) {
	o.Metrics.Keep(func(workspace string) bool { return table.Workspace(workspace) != nil })
}

// progress is what is noted of one call on its way.
type progress struct {
	observer *Observer
	request  *chicoryrock.Request
	class    *object.Class
	table    *object.Table // the configuration that the call came under
	key      string        // name of the caller's key
	first    time.Time     // of the first token
	last     time.Time     // of the newest token
	output   int           // tokens that the caller got
	prompt   int           // tokens as the engine counted them
	centre   string        // of the last replica that did not turn the call away
	held     time.Time     // since when a replica has it; zero while none has
}

// begin opens the call's record, from the time at which its target counts.
func (p *progress) begin() {
	p.observer.Records.Begin(p.request.Arrived, p.request)
	p.observer.Metrics.Goal(p.class.Name, p.class.Goal)
}

func (p *progress) step(now time.Time, step explain.Step) {
	p.observer.Records.Step(now, p.request.ID, step)
}

// waited notes that the request waited from begin until now for one of its pool's
// slots. Where requests of a higher tier waited too, those go first by their rank,
// and a slot more might not have helped.
func (p *progress) waited(begin time.Time, seen gate.Queued) {
	if !seen.Waits {
		return
	}
	step := explain.Step{
		Action: explain.ActionQueue,
		Cause:  explain.CauseCapacity,
		Rule:   poolRule(p.table, p.request.Pool),
	}
	if seen.Higher > 0 {
		step.Cause = explain.CauseTier
		step.Known.Ahead = seen.Higher
		step.Rule = classRule(p.table, p.class.Name)
	}
	p.step(begin, step)
}

// sent notes the replica that was chosen and what was known of it then.
func (p *progress) sent(now time.Time, replica *chicoryrock.Replica, resume bool) {
	p.centre, p.held = replica.Centre, now
	action := explain.ActionSend
	if resume {
		action = explain.ActionResume
	}
	known := explain.Known{Running: max(replica.Running, replica.Open), Slots: replica.Slots}
	if !replica.LastSeen.IsZero() {
		known.Age = now.Sub(replica.LastSeen)
	}
	p.step(now, explain.Step{
		Action: action,
		Choice: replica.Name,
		Cause:  explain.CauseLoad,
		Known:  known,
		Rule:   routeRule(p.table, p.request.Route),
	})
}

// retried notes that a replica did not serve the request.
func (p *progress) retried(now time.Time, replica string, cause explain.Cause) {
	if cause == explain.CauseBusy {
		p.centre = ""
	} else {
		p.observer.Cost.Hold(now, p.request.Pool, p.centre, now.Sub(p.held))
		p.observer.Metrics.Retry(p.class.Name)
	}
	p.held = time.Time{}
	p.step(now, explain.Step{Action: explain.ActionRetry, Choice: replica, Cause: cause, Rule: poolRule(p.table, p.request.Pool)})
}

// tokens notes output that goes to the caller now.
func (p *progress) tokens(now time.Time, count int) {
	if p.first.IsZero() {
		p.first = now
		p.observer.Metrics.First(p.class.Name, now.Sub(p.request.Arrived))
		p.step(now, explain.Step{Action: explain.ActionToken})
	} else {
		p.observer.Metrics.Gap(p.class.Name, now.Sub(p.last))
	}
	p.last = now
	p.output += count
}

// end notes how the call ended.
func (p *progress) end(now time.Time, outcome chicoryrock.Outcome, reason chicoryrock.Reason) {
	if p.first.IsZero() {
		p.first = now
		p.last = now
	}
	verdict := burn.Judge(p.class, burn.Observed{
		Outcome: outcome,
		Reason:  reason,
		First:   p.first.Sub(p.request.Arrived),
		Last:    p.last.Sub(p.request.Arrived),
		Tokens:  p.output,
	})
	p.observer.Burn.Add(now, p.class.Name, p.request.Workspace, verdict)
	if verdict != burn.VerdictVoid {
		p.observer.Metrics.Verdict(p.class.Name, verdict == burn.VerdictGood)
	}
	p.observer.Metrics.Request(metrics.Ended{Class: p.class.Name, Workspace: p.request.Workspace, Outcome: outcome, Reason: reason})
	p.observer.Metrics.Used(p.class.Name, p.used(outcome))
	p.cost(now, verdict, p.used(outcome))
	p.observer.Records.End(now, p.request.ID, explain.Result{
		Outcome: outcome,
		Reason:  reason,
		Rule:    ruleOf(p.table, p.request, p.key, reason),
		Output:  p.output,
	})
}

// cost counts what the call took from and gave on the last replica that had it. A
// call that no replica took on cost nothing; it stands in the report on burn.
func (p *progress) cost(now time.Time, verdict burn.Verdict, used metrics.Tokens) {
	if p.centre == "" {
		return
	}
	var busy time.Duration
	if !p.held.IsZero() {
		busy = now.Sub(p.held)
	}
	if verdict == burn.VerdictVoid {
		p.observer.Cost.Hold(now, p.request.Pool, p.centre, busy)
		return
	}
	p.observer.Cost.Serve(now, cost.Served{
		Pool:   p.request.Pool,
		Centre: p.centre,
		Busy:   busy,
		Good:   verdict == burn.VerdictGood,
		Output: used.Output,
		Wasted: used.Wasted,
	})
}

// used returns the tokens of the call; output that reached its caller late or
// never is wasted.
func (p *progress) used(outcome chicoryrock.Outcome) metrics.Tokens {
	used := metrics.Tokens{Prompt: p.prompt, Output: p.output}
	if outcome != chicoryrock.OutcomeServed || p.first.After(p.request.Deadline) {
		used.Wasted = p.output
	}
	return used
}

// outcomeOf translates what the caller is told into what is recorded.
func outcomeOf(refusal wire.Refusal, started bool) chicoryrock.Outcome {
	switch {
	case started:
		return chicoryrock.OutcomeFailed
	case refusal.Outcome == wire.OutcomeNotRun:
		return chicoryrock.OutcomeRefused
	default:
		return chicoryrock.OutcomeUnknown
	}
}
