package measure

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/loader"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
)

const (
	// agentStreams and entryStreams are how many streams stay open at the measured
	// agent and at the entry: the size of two years.
	agentStreams = 148
	entryStreams = 330
	// shortOutput is the length of a measured answer, tokens.
	shortOutput = 8
)

// rates are the loads at which the added latency is taken.
var rates = []struct {
	perSecond int
	span      time.Duration
}{
	{31, 20 * time.Second},
	{310, 10 * time.Second},
}

// measureLatency sends every call both through entry and agent and straight to
// the engine, in one run, while other streams are open: some at the same agent,
// the rest at a second one.
func measureLatency(ctx context.Context, m *Measure) (*Table, error) {
	entry, agents := m.Fleet.of(member.RoleEntry)[0], m.Fleet.of(member.RoleAgent)
	if len(agents) < 2 {
		return nil, errors.Wrap(chicoryrock.ErrInvalid, "two agents are needed")
	}
	for i, count := range []int{agentStreams, entryStreams - agentStreams} {
		opened, err := m.openStreams(ctx, &entry, &agents[i], modelName(i), count)
		if err != nil {
			return nil, err
		}
		defer opened.cancel()
	}
	table := &Table{
		Head: []string{"rate/s", "calls", "whole", "first direct p50", "p99", "first system p50", "p99", "first added p50", "p99", "end added p50", "p99", "sent late p99"},
		Note: fmt.Sprintf("%d streams open at the entry, %d of them at the agent; every call once each way in one run", entryStreams, agentStreams),
	}
	for _, rate := range rates {
		report, err := m.callBothWays(ctx, &entry, &agents[0], rate.perSecond, rate.span)
		if err != nil {
			return nil, err
		}
		system, direct := report.Sections[len(report.Sections)-2], report.Sections[len(report.Sections)-1]
		table.add(rate.perSecond, system.Calls, fmt.Sprintf("%d+%d", system.Whole, direct.Whole),
			direct.First.P50, direct.First.P99, system.First.P50, system.First.P99,
			report.Added.First.P50, report.Added.First.P99, report.Added.End.P50, report.Added.End.P99, report.Sent.P99)
	}
	return table, nil
}

func (m *Measure) callBothWays(ctx context.Context, entry, agent *Process, perSecond int, span time.Duration) (loader.Report, error) {
	call := loader.Call{Key: keyName, Model: modelName(0), Prompt: promptTokens, Output: shortOutput, Stream: true}
	interval := time.Second / time.Duration(perSecond)
	load := &loader.Loader{
		Name:   fmt.Sprintf("rate-%d", perSecond),
		Calls:  loader.Constant(call, interval, int(span/interval)),
		Keys:   map[string]string{keyName: secretOf(0, 0)},
		Target: entry.Listen,
		Direct: []netip.AddrPort{agent.Engine},
		Model:  engineModel,
	}
	report, err := load.Run(ctx)
	if err != nil {
		return report, err
	}
	if report.Added == nil {
		return report, errors.Wrapf(chicoryrock.ErrUnavailable, "no call was answered; see %s", wire.Reason)
	}
	return report, nil
}
