// Package retell tells the story of one request from the lines that a front wrote
// of it: the same sentences whether the process still runs or only its log is left.
package retell

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
)

// maxLine is the longest line that is read, bytes.
const maxLine = 1 << 20

// line is what a log line may hold of a request. Lines of other events, and those
// that are cut or foreign, lack most of it.
type line struct {
	Event     int      `json:"event"`
	Ref       string   `json:"ref"`
	At        string   `json:"at"`
	Reason    string   `json:"reason"`
	Route     string   `json:"route"`
	Service   string   `json:"service"`
	Workspace string   `json:"workspace"`
	Version   uint64   `json:"version"`
	Prompt    int      `json:"prompt"`
	Patience  string   `json:"patience"`
	Server    string   `json:"server"`
	Slow      string   `json:"slow"`
	First     string   `json:"first"`
	Pause     string   `json:"pause"`
	Unread    int      `json:"unread"`
	Ahead     int      `json:"ahead"`
	Open      int      `json:"open"`
	Age       string   `json:"age"`
	Speed     float64  `json:"speed"`
	Sent      int      `json:"sent"`
	Turned    int      `json:"turned"`
	Events    int      `json:"events"`
	Error     string   `json:"error"`
	Wait      string   `json:"wait"`
	Status    int      `json:"status"`
	Late      bool     `json:"late"`
	Higher    int      `json:"higher"`
	After     string   `json:"after"`
	Regions   []string `json:"regions"` // nil for a request that is bound to none
	Evacuated int      `json:"evacuated"`
	Outside   int      `json:"outside"`
}

// Story returns the sentences on a request, in the order of its lines. The lines of
// several processes may be mixed. Error: chicoryrock.ErrNotFound when no line is
// about it; the reader's.
func Story(log io.Reader, ref string) ([]string, error) {
	var story []string
	ended := false
	err := eachLine(log, func(one *line) {
		if one.Ref != ref {
			return
		}
		if sentence := one.sentence(); sentence != "" {
			story = append(story, sentence)
			ended = ended || one.ends()
		}
	})
	if err != nil {
		return story, err
	}
	if len(story) == 0 {
		return nil, errors.Wrapf(chicoryrock.ErrNotFound, "no line of the log is about request %q: it never came to a process whose log this is, or it was ordinary and there were many, or its process was killed while there were many", ref)
	}
	if !ended {
		story = append(story, "No end is written: its process was killed or cut off, or still serves it.")
	}
	return story, nil
}

// ends says whether nothing comes after a line.
func (l *line) ends() bool {
	switch l.Event {
	case event.Refused.Number, event.Failed.Number, event.Cancelled.Number, event.Answered.Number:
		return true
	}
	return false
}

// sentence says in plain words what a line tells.
func (l *line) sentence() string {
	said := l.decision()
	if said == "" {
		return ""
	}
	return fmt.Sprintf("%8s  %s", short(l.At), said)
}

func (l *line) decision() string {
	switch l.Event {
	case event.Accepted.Number:
		return fmt.Sprintf("Taken in for workspace %s on route %s to service %s, under configuration %d; prompt of %d tokens, its caller waits %s.%s",
			l.Workspace, l.Route, l.Service, l.Version, l.Prompt, short(l.Patience), l.binding())
	case event.Queued.Number:
		return fmt.Sprintf("It had to wait, as no backend server could have begun it in time; %d more urgent requests waited too.", l.Higher)
	case event.Placed.Number:
		return fmt.Sprintf("Given to %s, expected to begin within %s: %d tokens to read there behind %d, %d requests open on it, reports %s old.%s",
			l.Server, short(l.First), l.Unread, l.Ahead, l.Open, short(l.Age), l.passedOver())
	case event.Suspected.Number:
		return "It has broken off on several backend servers, so it is held to crash them and not tried again for a while."
	case event.AttemptEnded.Number:
		return fmt.Sprintf("The attempt on %s failed after %d events: %s.", l.Server, l.Events, l.Error)
	case event.Resumed.Number:
		return fmt.Sprintf("It goes on elsewhere after event %s.", l.After)
	case event.TakenOver.Number:
		return fmt.Sprintf("It goes on from its copy on %s after %d events.", l.Server, l.Events)
	case event.Hedged.Number:
		return fmt.Sprintf("%s had not answered, so it was sent to %s too, expected to begin within %s.", l.Slow, l.Server, short(l.First))
	case event.HedgeEnded.Number:
		return fmt.Sprintf("The other server answered; the attempt on %s was cancelled.", l.Server)
	case event.Refused.Number:
		return fmt.Sprintf("Refused, not run: %s Told to come back after %s.", sentenceOf(l.Reason), short(l.Wait))
	case event.Failed.Number:
		return fmt.Sprintf("Failed: %s The last error was: %s.", sentenceOf(l.Reason), l.Error)
	case event.Cancelled.Number:
		return fmt.Sprintf("Its caller left after %d events.", l.Events)
	case event.Answered.Number:
		late := "in time"
		if l.Late {
			late = "late"
		}
		return fmt.Sprintf("Answered with status %d, %s: first part after %s, longest pause %s, %d attempts.", l.Status, late, short(l.First), short(l.Pause), l.Sent)
	}
	return ""
}

// binding says which regions a request is bound to; empty for none.
func (l *line) binding() string {
	switch {
	case l.Regions == nil:
		return ""
	case len(l.Regions) == 0:
		return " Its route and its workspace allow no region in common."
	}
	return fmt.Sprintf(" Only backend servers in %s may serve it.", strings.Join(l.Regions, ", "))
}

// passedOver says which backend servers a request could not be given to by their places.
func (l *line) passedOver() string {
	said := ""
	if l.Evacuated > 0 {
		said += fmt.Sprintf(" %d others stand in data centres that are being evacuated.", l.Evacuated)
	}
	if l.Outside > 0 {
		said += fmt.Sprintf(" %d others stand in regions that are not allowed.", l.Outside)
	}
	return said
}

// sentenceOf returns the sentence of a reason's code, or the code itself.
func sentenceOf(code string) string {
	var reason chicoryrock.Reason
	if reason.UnmarshalText([]byte(code)) != nil {
		return code + "."
	}
	return reason.Sentence()
}

// short rounds a duration for a reader; what is none stays as it is.
func short(text string) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return text
	}
	return d.Round(100 * time.Microsecond).String()
}
