package explain

// fold takes in that a backend server turned the request away because it had no
// room, and says whether it did. Under load a request may be sent and turned away
// many times within a second. To its caller that is one wait, so the sending and
// the turning away become one step of waiting with a count, such as "sent to one,
// turned away, sent to two, turned away" as one wait with two tries. A step that
// stays on its own keeps its place among the few that a record has.
func (r *Record) fold(step Step) bool {
	last := len(r.Steps) - 1
	if step.Action != ActionRetry || step.Cause != CauseBusy || last < 0 {
		return false
	}
	sent := &r.Steps[last]
	if sent.Action != ActionSend && sent.Action != ActionResume || sent.Choice != step.Choice {
		return false
	}
	wait := Step{Time: sent.Time, Action: ActionQueue, Cause: CauseBusy, Known: Known{Tries: 1}, Rule: step.Rule}
	r.Steps = r.Steps[:last]
	if before := last - 1; before >= 0 && r.Steps[before].busyWait() {
		r.Steps[before].Known.Tries++
		return true
	}
	r.Steps = append(r.Steps, wait)
	return true
}

// busyWait says whether the step is a wait that fold made.
func (s *Step) busyWait() bool {
	return s.Action == ActionQueue && s.Cause == CauseBusy
}
