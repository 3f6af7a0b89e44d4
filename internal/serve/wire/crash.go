package wire

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Comments that an agent writes into a stream: its load now and then, and before
// it cuts the stream the reason why. Backend servers' own comments are not passed on.
const (
	commentPreempted = "preempted"
	commentCrash     = "crash "
	commentLoad      = "load "
	aloneSuffix      = " alone"
)

// ErrPreempted says that an answer was stopped to make room for a higher tier.
var ErrPreempted = errors.New("preempted")

// Crash names one crash of one engine. Alone says that only one request ran.
type Crash struct {
	Name  string
	Alone bool
}

// CrashError says that an answer ended because the engine crashed. It matches
// chicoryrock.ErrTruncated and chicoryrock.ErrUnknownOutcome.
type CrashError struct {
	Crash Crash
}

// Error implements error.
func (e *CrashError) Error() string { return "the backend server crashed: " + e.Crash.Name }

// Is implements the matching of errors.Is.
func (e *CrashError) Is(target error) bool {
	return target == chicoryrock.ErrTruncated || target == chicoryrock.ErrUnknownOutcome
}

// String returns the crash as it stands in the CrashHeader.
func (c Crash) String() string {
	if c.Alone {
		return c.Name + aloneSuffix
	}
	return c.Name
}

// ParseCrash reads what String wrote.
func ParseCrash(text string) Crash {
	name, alone := strings.CutSuffix(text, aloneSuffix)
	return Crash{Name: name, Alone: alone}
}

// PreemptedComment returns the comment of a stream that was preempted.
func PreemptedComment() []byte { return []byte(": " + commentPreempted + "\n\n") }

// CrashComment returns the comment of a stream whose engine crashed.
func CrashComment(crash Crash) []byte { return []byte(": " + commentCrash + crash.String() + "\n\n") }

// LoadComment returns the comment by which an agent states its load.
func LoadComment(load chicoryrock.Load) []byte {
	// A load always has a JSON form.
	text, _ := json.Marshal(load)
	return []byte(": " + commentLoad + string(text) + "\n\n")
}

// comment takes in a comment. Error: that of commentError.
func (r *EventReader) comment(line string) error {
	text, found := strings.CutPrefix(strings.TrimSpace(strings.TrimPrefix(line, ":")), commentLoad)
	if !found {
		return commentError(line)
	}
	var load chicoryrock.Load
	if err := json.Unmarshal([]byte(text), &load); err == nil && r.Heard != nil {
		r.Heard(load)
	}
	return nil
}

// commentError returns what a comment says of the end of its stream, or nil.
func commentError(line string) error {
	comment := strings.TrimSpace(strings.TrimPrefix(line, ":"))
	if comment == commentPreempted {
		return errors.WithStack(ErrPreempted)
	}
	if crash, found := strings.CutPrefix(comment, commentCrash); found {
		return errors.WithStack(&CrashError{Crash: ParseCrash(crash)})
	}
	return nil
}
