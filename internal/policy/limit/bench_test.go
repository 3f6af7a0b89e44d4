package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/limit"
)

// BenchmarkAllow sends one request per iteration, of 570 workspaces in turn that have
// usage at 2 or 319 peers as well.
func BenchmarkAllow(b *testing.B) {
	const workspaces = 570
	for _, peers := range []int{2, 319} {
		b.Run(fmt.Sprintf("%d peers", peers), func(b *testing.B) {
			l, requests := newLoadedLimiter(peers, workspaces)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				l.Allow(start.Add(time.Duration(i)*time.Microsecond), requests[i%workspaces])
			}
		})
	}
}

// BenchmarkExchange merges the report of one peer and produces the entry's own report
// per iteration.
func BenchmarkExchange(b *testing.B) {
	l, _ := newLoadedLimiter(319, 570)
	report := l.NextReport(start)
	report.Entry = "1"
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(limit.ExchangeInterval)
		l.Merge(now, report)
		l.NextReport(now)
	}
}

// newLoadedLimiter returns a limiter with usage of all workspaces at itself and at all
// peers, and a request of each workspace.
func newLoadedLimiter(peers, workspaces int) (*limit.Limiter, []*chicoryrock.Request) {
	l := &limit.Limiter{Name: "0", Start: start}
	limits := map[string]limit.Limit{}
	var requests []*chicoryrock.Request
	var usages []limit.Usage
	for i := range workspaces {
		name := fmt.Sprint("workspace", i)
		limits[name] = limit.Limit{Rate: 1e9, Burst: 1e9}
		usages = append(usages, limit.Usage{Workspace: name, Used: 100})
		requests = append(requests, &chicoryrock.Request{ID: name, Workspace: name, PromptTokens: 100})
	}
	var names []string
	for i := range peers {
		names = append(names, fmt.Sprint(i+1))
	}
	l.SetPeers(start, names)
	l.SetLimits(start, limits)
	for _, name := range names {
		l.Merge(start, limit.Report{Entry: name, Start: start, Usages: usages})
	}
	for _, request := range requests {
		l.Allow(start, request)
	}
	return l, requests
}
