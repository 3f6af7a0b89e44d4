package assembly

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/burn"
	"github.com/chicoryrock/chicoryrock/internal/ops/cost"
	"github.com/chicoryrock/chicoryrock/internal/ops/explain"
	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/usage"
)

// questions returns the routes by which chicoryctl asks an entry about requests,
// service levels and cost.
func (p *Entry) questions() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/explain", Handler: p.explain},
		{Method: http.MethodGet, Path: "/summary", Handler: p.summary},
		{Method: http.MethodGet, Path: "/burn", Handler: p.burnReading},
		{Method: http.MethodGet, Path: "/cost", Handler: p.costReading},
		{Method: http.MethodGet, Path: "/usage", Handler: p.usageReading},
	}
}

// explain answers GET /explain?ref=REFERENCE with the record of one request.
func (p *Entry) explain(w http.ResponseWriter, r *http.Request) {
	record, err := p.records.Find(r.URL.Query().Get("ref"))
	if err != nil {
		problemOf(err).Write(w)
		return
	}
	answer(w, r, record)
}

// summary answers GET /summary?from=TIME&to=TIME&class=NAME&workspace=NAME, with
// times in RFC 3339, and either of the names left out for all. A span without
// requests here is answered with counts of zero, since other entries may have some.
func (p *Entry) summary(w http.ResponseWriter, r *http.Request) {
	from, to := readTime(r, "from"), readTime(r, "to")
	if from.IsZero() || to.IsZero() {
		errTime.Write(w)
		return
	}
	query := r.URL.Query()
	summary, err := p.records.Summary(from, to, query.Get("class"), query.Get("workspace"))
	if err != nil && !errors.Is(err, explain.ErrEmpty) {
		problemOf(err).Write(w)
		return
	}
	answer(w, r, summary)
}

// burnReading answers GET /burn?since=TIME with the counts against service levels.
func (p *Entry) burnReading(w http.ResponseWriter, r *http.Request) {
	since := readTime(r, "since")
	if since.IsZero() {
		errTime.Write(w)
		return
	}
	table := p.tableOrEmpty()
	answer(w, r, burn.Reading{Revision: table.Revision, Classes: table.Set.Classes, Snapshot: p.burn.Snapshot(since)})
}

// costReading answers GET /cost?since=TIME with what was paid and served.
func (p *Entry) costReading(w http.ResponseWriter, r *http.Request) {
	since := readTime(r, "since")
	if since.IsZero() {
		errTime.Write(w)
		return
	}
	table := p.tableOrEmpty()
	answer(w, r, cost.Reading{Revision: table.Revision, Pools: table.Set.Pools, Snapshot: p.cost.Snapshot(since)})
}

// tableOrEmpty returns the configuration in force, or an empty one before the
// first.
func (p *Entry) tableOrEmpty() *object.Table {
	if table := p.tables.Table(); table != nil {
		return table
	}
	return object.NewTable(0, &object.Set{})
}

// errTime answers a question whose span cannot be read.
var errTime = &admin.ProblemError{Status: http.StatusBadRequest, Text: "A time of the question is missing or not in the form of RFC 3339."}

// readTime returns a time of the query, or the zero time when it cannot be read.
func readTime(r *http.Request, name string) time.Time {
	moment, err := time.Parse(time.RFC3339, r.URL.Query().Get(name))
	if err != nil {
		return time.Time{}
	}
	return moment
}

// problemOf says why there is no value: never here (404), once here (410), or
// something else (500).
func problemOf(err error) *admin.ProblemError {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, chicoryrock.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, explain.ErrExpired):
		status = http.StatusGone
	}
	return &admin.ProblemError{Status: status, Text: err.Error()}
}

// answer sends a value as JSON, compressed for an asker who accepts it: the
// readings of many entries may come over the link between regions.
func answer(w http.ResponseWriter, r *http.Request, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The asker may be gone already; nothing is left to tell it then.
	if r.Header.Get("Accept-Encoding") != "gzip" {
		_ = json.NewEncoder(w).Encode(value)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	packed := gzip.NewWriter(w)
	_ = json.NewEncoder(packed).Encode(value)
	_ = packed.Close()
}

// shownWindows is how many usage windows an entry shows.
const shownWindows = 24

// usageReading answers GET /usage with the newest usage windows, as the store has
// them: open, sealed or sent, and what was late.
func (p *Entry) usageReading(w http.ResponseWriter, r *http.Request) {
	rows, err := usage.Overview(r.Context(), p.feed.Store, time.Now(), p.Settings.Window, shownWindows)
	if err != nil {
		problemOf(err).Write(w)
		return
	}
	answer(w, r, rows)
}
