package assembly

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/burn"
	"github.com/chicoryrock/chicoryrock/internal/ops/cost"
	"github.com/chicoryrock/chicoryrock/internal/ops/explain"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// TestQuestions puts good and bad questions to an entry that can keep one record
// and has had two.
func TestQuestions(t *testing.T) {
	p := &Entry{tables: &object.Holder{}, records: &explain.Recorder{Capacity: 1}, burn: &burn.Counter{}, cost: &cost.Meter{}}
	now := time.Date(2026, time.March, 1, 9, 0, 0, 0, time.UTC)
	for _, ref := range []string{"old", "new"} {
		p.records.Begin(now, &chicoryrock.Request{ID: ref, Class: "quotes"})
		p.records.End(now, ref, explain.Result{Outcome: chicoryrock.OutcomeServed})
	}
	const span = "from=2026-03-01T09:00:00Z&to=2026-03-01T09:05:00Z"
	cases := []struct {
		handler http.HandlerFunc
		query   string
		status  int
		part    string
	}{
		{p.explain, "ref=new", http.StatusOK, `"ref":"new"`},
		{p.explain, "ref=old", http.StatusGone, "has made room"},
		{p.explain, "ref=other", http.StatusNotFound, "No request other"},
		{p.summary, span, http.StatusOK, `"served":2`},
		{p.summary, span + "&class=lots", http.StatusOK, `"served":0`},
		{p.summary, "from=nine&to=ten", http.StatusBadRequest, "RFC 3339"},
		{p.burnReading, "since=2026-03-01T09:00:00Z", http.StatusOK, `"revision":0`},
		{p.burnReading, "", http.StatusBadRequest, "RFC 3339"},
		{p.costReading, "since=2026-03-01T09:00:00Z", http.StatusOK, `"snapshot"`},
		{p.costReading, "since=x", http.StatusBadRequest, "RFC 3339"},
	}
	for _, c := range cases {
		recorder := httptest.NewRecorder()
		c.handler(recorder, httptest.NewRequest(http.MethodGet, "/?"+c.query, nil))
		require.Equal(t, c.status, recorder.Code, c.query)
		require.Contains(t, recorder.Body.String(), c.part)
	}
}

// TestAnswerIsCompressed asks with and without saying that gzip is accepted.
func TestAnswerIsCompressed(t *testing.T) {
	long := strings.Repeat("workspace", 1000)
	cases := []struct {
		accepts string
		smaller bool
	}{{"", false}, {"gzip", true}}
	for _, c := range cases {
		request := httptest.NewRequest(http.MethodGet, "/burn", nil)
		request.Header.Set("Accept-Encoding", c.accepts)
		recorder := httptest.NewRecorder()
		answer(recorder, request, long)
		require.Equal(t, c.smaller, recorder.Body.Len() < len(long)/10, c.accepts)
		require.Equal(t, c.accepts, recorder.Header().Get("Content-Encoding"))
	}
}
