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
		m.Used("quote", "hanoi", Tokens{Prompt: 10, Output: 20})
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
					m.Used(fmt.Sprint("class", class), fmt.Sprint("workspace", w), Tokens{Prompt: 1, Output: 1})
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
