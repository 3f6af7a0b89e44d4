package burn

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/ops/cell"
	"github.com/chicoryrock/chicoryrock/internal/ops/layout"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// maxUsers is how many workspaces the table shows for a class. JSON has all.
const maxUsers = 3

// Report is the burn of every class. Durations are in nanoseconds.
type Report struct {
	Now       time.Time     `json:"now"`
	Period    time.Duration `json:"period"`
	Long      time.Duration `json:"long"`
	Short     time.Duration `json:"short"`
	Processes int           `json:"processes"` // whose counts are in the report
	Missing   []string      `json:"missing"`   // processes whose counts are not
	Removed   []string      `json:"removed"`   // classes with counts that are no longer configured
	Whole     time.Time     `json:"whole"`     // counts from before are not complete; zero when all are
	Traced    time.Time     `json:"traced"`    // use by workspace from before is not complete; zero when all is
	Classes   []Level       `json:"classes"`   // by tier and name
}

// Level is the service level of one class.
type Level struct {
	Class      string        `json:"class"`
	Tier       int           `json:"tier"`
	First      time.Duration `json:"first"` // target for the first token
	Token      time.Duration `json:"token"` // target between tokens
	Goal       float64       `json:"goal"`  // share of requests, 0 to 1
	Good       int64         `json:"good"`
	Bad        int64         `json:"bad"`
	Attainment float64       `json:"attainment"` // share of requests, 0 to 1
	Used       float64       `json:"used"`       // share of the period's error budget; above 1 it is overspent
	Long       float64       `json:"long"`       // burn over the long span; 1 uses the budget up exactly
	Short      float64       `json:"short"`      // burn over the short span
	Alarm      bool          `json:"alarm"`      // both burns are at AlarmBurn or above
	Users      []User        `json:"users"`      // the greatest share of the budget first
	Trend      []Point       `json:"trend"`      // by time
}

// User is what one workspace used of a class's error budget.
type User struct {
	Workspace  string  `json:"workspace"`
	Good       int64   `json:"good"`
	Bad        int64   `json:"bad"`
	Attainment float64 `json:"attainment"`
	Share      float64 `json:"share"` // of the class's bad requests whose workspace is known
}

// Point is one cell of a class over all workspaces.
type Point struct {
	Start time.Time `json:"start"`
	Good  int64     `json:"good"`
	Bad   int64     `json:"bad"`
	Burn  float64   `json:"burn"`
}

// ledger is the counts of one class.
type ledger struct {
	period, long, short count
	users               map[string]count
	trend               map[int64]count
}

func (l *ledger) level(class *object.Class) Level {
	if l == nil {
		l = &ledger{}
	}
	level := Level{
		Class:      class.Name,
		Tier:       class.Tier,
		First:      class.First,
		Token:      class.Token,
		Goal:       class.Goal,
		Good:       l.period.good,
		Bad:        l.period.bad,
		Attainment: l.period.attainment(),
		Used:       l.period.burn(class.Goal),
		Long:       l.long.burn(class.Goal),
		Short:      l.short.burn(class.Goal),
	}
	level.Alarm = level.Long >= AlarmBurn && level.Short >= AlarmBurn
	var known int64 // bad requests whose workspace is known
	for _, value := range l.users {
		known += value.bad
	}
	for name, value := range l.users {
		level.Users = append(level.Users, User{name, value.good, value.bad, value.attainment(), share(value.bad, known)})
	}
	slices.SortFunc(level.Users, func(a, b User) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Workspace, b.Workspace))
	})
	for _, start := range slices.Sorted(maps.Keys(l.trend)) {
		value := l.trend[start]
		level.Trend = append(level.Trend, Point{cell.Key{Start: start}.Begins(), value.good, value.bad, value.burn(class.Goal)})
	}
	return level
}

// Worst returns the workspace with the lowest attainment, or false when the class
// had no requests.
func (l *Level) Worst() (User, bool) {
	if len(l.Users) == 0 {
		return User{}, false
	}
	return slices.MinFunc(l.Users, func(a, b User) int { return cmp.Compare(a.Attainment, b.Attainment) }), true
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	return layout.JSON(w, r)
}

// WriteTable writes the report for a terminal.
func (r *Report) WriteTable(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Service-level burn at %s over %s, from %d processes\n", r.Now.Format(time.RFC3339), Spoken(r.Period), r.Processes)
	for _, note := range r.Notes() {
		fmt.Fprintln(&text, note)
	}
	return layout.Table(w, text.String(), r.rows())
}

// rows returns the table's lines, with a tab between two columns.
func (r *Report) rows() string {
	var rows strings.Builder
	fmt.Fprintf(&rows, "CLASS\tTIER\tTARGET\tGOAL\tATTAINED\tREQUESTS\tBUDGET USED\tBURN %s\tBURN %s\tUSED BY\n", Spoken(r.Long), Spoken(r.Short))
	for i := range r.Classes {
		level := &r.Classes[i]
		fmt.Fprintf(&rows, "%s\t%d\t%s\t%s\t%s\t%d\t%s\t%.1f\t%.1f\t%s\n", level.Class, level.Tier, level.Target(), Percent(level.Goal),
			level.Attained(), level.Good+level.Bad, Percent(level.Used), level.Long, level.Short, level.UsedBy())
	}
	return rows.String()
}

// Notes returns sentences on what the report lacks and which classes need someone
// to act.
func (r *Report) Notes() []string {
	var notes []string
	if len(r.Missing) > 0 {
		notes = append(notes, "The report is partial: no answer came from "+strings.Join(r.Missing, ", ")+".")
	}
	if begin := r.Now.Add(-r.Period); begin.Before(r.Whole) {
		notes = append(notes, fmt.Sprintf("Counts from before %s are not complete.", r.Whole.Format(time.RFC3339)))
	}
	if begin := r.Now.Add(-r.Period); begin.Before(r.Traced) && r.Traced.After(r.Whole) {
		notes = append(notes, fmt.Sprintf("Which workspaces used the budget is known from %s on only.", r.Traced.Format(time.RFC3339)))
	}
	if len(r.Removed) > 0 {
		notes = append(notes, "Requests of classes that are no longer configured are left out: "+strings.Join(r.Removed, ", ")+".")
	}
	for i := range r.Classes {
		if level := &r.Classes[i]; level.Alarm {
			notes = append(notes, fmt.Sprintf("Class %s burns its budget %.1f times as fast as allowed, and still does: act now.", level.Class, level.Long))
		}
	}
	return notes
}

// Target returns the class's targets in words.
func (l *Level) Target() string {
	var parts []string
	if l.First > 0 {
		parts = append(parts, "first "+l.First.String())
	}
	if l.Token > 0 {
		parts = append(parts, "token "+l.Token.String())
	}
	return strings.Join(parts, ", ")
}

// Attained returns the attainment in words.
func (l *Level) Attained() string {
	if l.Good+l.Bad == 0 {
		return "no requests"
	}
	return Percent(l.Attainment)
}

// UsedBy names the workspaces that used most of the budget.
func (l *Level) UsedBy() string {
	var parts []string
	for _, user := range l.Users[:min(maxUsers, len(l.Users))] {
		if user.Bad > 0 {
			parts = append(parts, fmt.Sprintf("%s %s", user.Workspace, Percent(user.Share)))
		}
	}
	return strings.Join(parts, ", ")
}

func (r *Report) total() int64 {
	var total int64
	for i := range r.Classes {
		total += r.Classes[i].Good + r.Classes[i].Bad
	}
	return total
}

// Spoken writes whole hours and minutes without the parts that are zero.
func Spoken(d time.Duration) string {
	text := strings.TrimSuffix(d.String(), "0s")
	if trimmed := strings.TrimSuffix(text, "h0m"); trimmed != text {
		return trimmed + "h"
	}
	return text
}

// Percent writes a share with one decimal.
func Percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
