package assembly

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"
)

// questions returns the routes by which chicoryctl asks an entry about requests
// and service levels.
func (p *Entry) questions() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/explain", Handler: p.explain},
		{Method: http.MethodGet, Path: "/summary", Handler: p.summary},
		{Method: http.MethodGet, Path: "/burn", Handler: p.burnCells},
	}
}

// explain answers GET /explain?ref=REFERENCE with the record of one request.
func (p *Entry) explain(w http.ResponseWriter, r *http.Request) {
	record, err := p.records.Find(r.URL.Query().Get("ref"))
	answer(w, record, err)
}

// summary answers GET /summary?from=TIME&to=TIME&class=NAME&workspace=NAME, with
// times in RFC 3339, and either of the names left out for all.
func (p *Entry) summary(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := time.Parse(time.RFC3339, query.Get("from"))
	if err != nil {
		answer(w, nil, err)
		return
	}
	to, err := time.Parse(time.RFC3339, query.Get("to"))
	if err != nil {
		answer(w, nil, err)
		return
	}
	summary, err := p.records.Summary(from, to, query.Get("class"), query.Get("workspace"))
	answer(w, summary, err)
}

// burnCells answers GET /burn?since=TIME with the counts against service levels.
func (p *Entry) burnCells(w http.ResponseWriter, r *http.Request) {
	since, err := time.Parse(time.RFC3339, r.URL.Query().Get("since"))
	answer(w, p.burn.Snapshot(since), err)
}

// answer sends a value as JSON, or the error's sentence with status 404.
func answer(w http.ResponseWriter, value any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The asker may be gone already; nothing is left to tell it then.
	_ = json.NewEncoder(w).Encode(value)
}
