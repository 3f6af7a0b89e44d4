package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/cell"
)

// ReasonCount is how many requests ended with a reason.
type ReasonCount struct {
	Reason chicoryrock.Reason `json:"reason"`
	Count  int                `json:"count"`
}

// CauseWait is how long requests waited for a cause, all together, in nanoseconds.
type CauseWait struct {
	Cause Cause         `json:"cause"`
	Total time.Duration `json:"total"`
}

// Summary tells what became of the requests that came in a span. An empty Class
// or Workspace stands for all.
type Summary struct {
	From      time.Time     `json:"from"`
	To        time.Time     `json:"to"`
	Class     string        `json:"class,omitempty"`
	Workspace string        `json:"workspace,omitempty"`
	Served    int           `json:"served"`
	Late      int           `json:"late"` // of those served
	Refused   int           `json:"refused"`
	Failed    int           `json:"failed"`
	Unknown   int           `json:"unknown"`
	Cancelled int           `json:"cancelled"`
	Reasons   []ReasonCount `json:"reasons"` // the most frequent first
	Waits     []CauseWait   `json:"waits"`   // the longest first
	Slowest   string        `json:"slowest,omitempty"`
	Delay     time.Duration `json:"delay,omitempty"` // of the slowest beyond its target
	Whole     time.Time     `json:"whole"`           // nothing from before is complete; zero when all is
}

// Summary adds up what ended of the requests that came between from and to, both
// widened to whole five minutes. Error: ErrEmpty.
func (r *Recorder) Summary(from, to time.Time, class, workspace string) (Summary, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	cells := &r.cells
	if workspace == "" {
		cells = &r.total
	}
	summary := Summary{From: from.Truncate(cell.Span), To: widen(to), Class: class, Workspace: workspace, Whole: cells.Whole()}
	for key, tally := range cells.All() {
		start := key.Begins()
		if start.Before(summary.From) || !start.Before(summary.To) {
			continue
		}
		if class != "" && key.Class != class || workspace != "" && key.Workspace != workspace {
			continue
		}
		summary.Merge(tally.summary())
	}
	if summary.Requests() == 0 {
		return summary, errors.Wrapf(ErrEmpty, "no request of %s ended here that came between %s and %s",
			summary.subject(), summary.From.Format(time.RFC3339), summary.To.Format(time.RFC3339))
	}
	return summary, nil
}

// Requests returns how many requests ended.
func (s *Summary) Requests() int {
	return s.Served + s.Refused + s.Failed + s.Unknown + s.Cancelled
}

// Merge adds the counts of another summary, for instance of another process, of
// the same span.
func (s *Summary) Merge(other Summary) {
	s.Served += other.Served
	s.Late += other.Late
	s.Refused += other.Refused
	s.Failed += other.Failed
	s.Unknown += other.Unknown
	s.Cancelled += other.Cancelled
	for _, add := range other.Reasons {
		s.addReason(add)
	}
	for _, add := range other.Waits {
		s.addWait(add)
	}
	if other.Delay > s.Delay {
		s.Delay, s.Slowest = other.Delay, other.Slowest
	}
	if other.Whole.After(s.Whole) {
		s.Whole = other.Whole
	}
}

func (s *Summary) addReason(add ReasonCount) {
	i := slices.IndexFunc(s.Reasons, func(c ReasonCount) bool { return c.Reason == add.Reason })
	if i < 0 {
		s.Reasons = append(s.Reasons, add)
	} else {
		s.Reasons[i].Count += add.Count
	}
	slices.SortFunc(s.Reasons, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
}

func (s *Summary) addWait(add CauseWait) {
	i := slices.IndexFunc(s.Waits, func(w CauseWait) bool { return w.Cause == add.Cause })
	if i < 0 {
		s.Waits = append(s.Waits, add)
	} else {
		s.Waits[i].Total += add.Total
	}
	slices.SortFunc(s.Waits, func(a, b CauseWait) int {
		return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Cause, b.Cause))
	})
}

// summary returns the counts of one cell alone.
func (t *tally) summary() Summary {
	summary := Summary{
		Served:    int(t.outcomes[0]),
		Refused:   int(t.outcomes[1]),
		Failed:    int(t.outcomes[2]),
		Unknown:   int(t.outcomes[3]),
		Cancelled: int(t.outcomes[4]),
		Late:      int(t.late),
		Slowest:   t.slowest,
		Delay:     t.delay,
	}
	for reason, count := range t.reasons {
		if count > 0 {
			summary.Reasons = append(summary.Reasons, ReasonCount{chicoryrock.Reason(reason), int(count)})
		}
	}
	for i, total := range t.waits {
		if total > 0 {
			summary.Waits = append(summary.Waits, CauseWait{waitCauses[i], total})
		}
	}
	return summary
}

// Story tells the summary in plain sentences, with times of day in zone.
func (s *Summary) Story(zone *time.Location) []string {
	story := []string{s.countSentence(zone)}
	if s.Late > 0 {
		story = append(story, fmt.Sprintf("Of those served, %d of %d began later than their target; the slowest was %s, by %s.",
			s.Late, s.Served, s.Slowest, span(s.Delay)))
	}
	story = append(story, s.waitSentences()...)
	for _, reason := range s.Reasons {
		story = append(story, fmt.Sprintf("%s ended so: %s %s",
			plural(reason.Count, "request"), reason.Reason.Sentence(), advice[reason.Reason]))
	}
	if s.From.Before(s.Whole) {
		story = append(story, fmt.Sprintf("What came before %s is no longer counted in full.", s.Whole.In(zone).Format(clockForm)))
	}
	return story
}

func (s *Summary) countSentence(zone *time.Location) string {
	text := fmt.Sprintf("Between %s and %s, %s of %s ended: %d served, %d refused", s.From.In(zone).Format(clockForm),
		s.To.In(zone).Format(clockForm), plural(s.Requests(), "request"), s.subject(), s.Served, s.Refused)
	if s.Failed > 0 {
		text += fmt.Sprintf(", %d failed", s.Failed)
	}
	if s.Unknown > 0 {
		text += fmt.Sprintf(", %d with an unknown outcome", s.Unknown)
	}
	if s.Cancelled > 0 {
		text += fmt.Sprintf(", %d given up by their callers", s.Cancelled)
	}
	return text + "."
}

func (s *Summary) subject() string {
	var parts []string
	if s.Class != "" {
		parts = append(parts, "class "+s.Class)
	}
	if s.Workspace != "" {
		parts = append(parts, "workspace "+s.Workspace)
	}
	if len(parts) == 0 {
		return "all classes and workspaces"
	}
	return strings.Join(parts, " and ")
}

// waitSentences says which causes the waiting is due to.
func (s *Summary) waitSentences() []string {
	var total time.Duration
	for _, wait := range s.Waits {
		total += wait.Total
	}
	if total == 0 {
		return nil
	}
	average := total / time.Duration(s.Requests())
	story := []string{fmt.Sprintf("They waited %s on average before they were sent.", span(average))}
	for _, wait := range s.Waits {
		if phrase, found := causePhrases[wait.Cause]; found {
			story = append(story, fmt.Sprintf("%.0f%% of the waiting was because %s.", 100*float64(wait.Total)/float64(total), phrase))
		}
	}
	return story
}

// widen returns the end of the five minutes in which t lies.
func widen(t time.Time) time.Time {
	start := t.Truncate(cell.Span)
	if start.Equal(t) {
		return t
	}
	return start.Add(cell.Span)
}
