package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/limit"
)

// BenchmarkAllow is one request among 570 workspaces that 319 peers use as well.
func BenchmarkAllow(b *testing.B) {
	const workspaces = 570
	for _, peers := range []int{2, 319} {
		b.Run(fmt.Sprintf("%d peers", peers), func(b *testing.B) {
			l, requests := loaded(peers, workspaces)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				l.Allow(start.Add(time.Duration(i)*time.Microsecond), requests[i%workspaces])
			}
		})
	}
}

// BenchmarkExchange is one exchange: the entry states its use and hears one peer.
func BenchmarkExchange(b *testing.B) {
	l, _ := loaded(319, 570)
	heard := l.NextReport(start)
	heard.Entry = "1"
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(limit.ExchangeInterval)
		l.Merge(now, heard)
		l.NextReport(now)
	}
}

func loaded(peers, workspaces int) (*limit.Limiter, []*chicoryrock.Request) {
	l := &limit.Limiter{Name: "0", Start: start}
	limits := map[string]limit.Limit{}
	var requests []*chicoryrock.Request
	var uses []limit.Usage
	for i := range workspaces {
		name := fmt.Sprint("workspace", i)
		limits[name] = limit.Limit{Rate: 1e9, Burst: 1e9}
		uses = append(uses, limit.Usage{Workspace: name, Used: 100})
		requests = append(requests, &chicoryrock.Request{ID: name, Workspace: name, PromptTokens: 100})
	}
	var names []string
	for i := range peers {
		names = append(names, fmt.Sprint(i+1))
	}
	l.SetPeers(start, names)
	l.SetLimits(start, limits)
	for _, name := range names {
		l.Merge(start, limit.Report{Entry: name, Start: start, Usages: uses})
	}
	for _, request := range requests {
		l.Allow(start, request)
	}
	return l, requests
}
