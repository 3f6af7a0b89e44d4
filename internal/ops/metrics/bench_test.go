package metrics

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

func BenchmarkGap(b *testing.B) {
	m := newMetrics()
	b.ReportAllocs()
	for b.Loop() {
		m.Gap("quote", 40*time.Millisecond)
	}
}

func BenchmarkRequest(b *testing.B) {
	m := newMetrics()
	b.ReportAllocs()
	for b.Loop() {
		m.Request(Ended{Class: "quote", Workspace: "hanoi", Outcome: chicoryrock.OutcomeServed})
		m.Used("quote", Tokens{Prompt: 10, Output: 20})
		m.Verdict("quote", true)
	}
}

// BenchmarkScrape scrapes a process that has served so many workspaces in three
// classes each, and reports its memory too.
func BenchmarkScrape(b *testing.B) {
	for _, workspaces := range []int{10, 100, 570} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := newMetrics()
			for w := range workspaces {
				for class := range 3 {
					m.Request(Ended{fmt.Sprint("class", class), fmt.Sprint("workspace", w), chicoryrock.OutcomeServed, chicoryrock.ReasonNone})
					m.Used(fmt.Sprint("class", class), Tokens{Prompt: 1, Output: 1})
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			size := 0
			for b.Loop() {
				recorder := httptest.NewRecorder()
				m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
				size = recorder.Body.Len()
			}
			packed := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodGet, "/metrics", nil)
			request.Header.Set("Accept-Encoding", "gzip")
			m.Handler().ServeHTTP(packed, request)
			b.ReportMetric(float64(size), "page-B")
			b.ReportMetric(float64(packed.Body.Len()), "gzip-B")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "held-B")
		})
	}
}

// BenchmarkScrapeOfTwoYears scrapes an entry with every class, pool and tier of the
// size in two years in use.
func BenchmarkScrapeOfTwoYears(b *testing.B) {
	const classes, pools, tiers, workspaces = 21, 19, 7, 570
	m := newMetrics()
	for w := range workspaces {
		for class := range classes {
			name := fmt.Sprint("class", class)
			m.Request(Ended{name, fmt.Sprint("workspace", w), chicoryrock.OutcomeServed, chicoryrock.ReasonNone})
			m.Request(Ended{name, fmt.Sprint("workspace", w), chicoryrock.OutcomeRefused, chicoryrock.ReasonLate})
			m.Used(name, Tokens{Prompt: 1, Output: 1})
			m.First(name, time.Duration(w)*time.Millisecond)
			m.Gap(name, time.Duration(w)*time.Millisecond)
			m.Verdict(name, w%20 > 0)
		}
	}
	for pool := range pools {
		for tier := range tiers {
			m.Queue(fmt.Sprint("pool", pool), tier+1, pool)
		}
	}
	var plain, packed *httptest.ResponseRecorder
	request := httptest.NewRequest(http.MethodGet, "/metrics", nil)
	for b.Loop() {
		plain, packed = httptest.NewRecorder(), httptest.NewRecorder()
		request.Header.Del("Accept-Encoding")
		m.Handler().ServeHTTP(plain, request)
		request.Header.Set("Accept-Encoding", "gzip")
		m.Handler().ServeHTTP(packed, request)
	}
	b.ReportMetric(float64(plain.Body.Len()), "page-B")
	b.ReportMetric(float64(packed.Body.Len()), "gzip-B")
}
