package gossip

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
)

// waitTime ends a test that hangs; no test waits for it.
const waitTime = 20 * time.Second

// heard is a report with where it came from.
type heard struct {
	from   netip.AddrPort
	report fleet.Report
}

// start runs a process that tells its peers a report and passes on what it hears.
func start(t *testing.T, name string, listen netip.AddrPort, peers []netip.AddrPort, news <-chan struct{}) <-chan heard {
	t.Helper()
	got := make(chan heard, 1000)
	g := &Gossip{
		Listen: listen,
		Peers:  func() []netip.AddrPort { return peers },
		Log:    event.NewNop(),
		News:   news,
		Report: func(now time.Time, brief bool) fleet.Report {
			report := fleet.Report{Process: name, Sent: now, Clock: now, OmitsLoads: brief}
			if !brief {
				report.Loads = []chicoryrock.OpenLoad{{KeyHash: 1, Open: 2}}
			}
			return report
		},
		Heard: func(_ time.Time, from netip.AddrPort, report *fleet.Report) { got <- heard{from, *report} },
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-ended)
	})
	return got
}

// next returns the next report that is brief or not, as asked.
func next(t *testing.T, got <-chan heard, brief bool) heard {
	t.Helper()
	for {
		select {
		case one := <-got:
			if one.report.OmitsLoads == brief {
				return one
			}
		case <-time.After(waitTime):
			require.Fail(t, "nothing is heard")
		}
	}
}

// Reports tell loads from time to time, and without them what is news at once: with
// so few peers nothing else makes a report brief.
func TestNewsIsToldAtOnce(t *testing.T) {
	one, two := host.Own(), host.Own()
	news := make(chan struct{}, 1)
	got := start(t, "two", two, nil, nil)
	start(t, "one", one, []netip.AddrPort{two}, news)
	full := next(t, got, false)
	require.Equal(t, "one", full.report.Process)
	require.Equal(t, one, full.from, "where its process is")
	require.Len(t, full.report.Loads, 1)
	require.Eventually(t, func() bool {
		select {
		case news <- struct{}{}:
		default:
		}
		select {
		case first := <-got:
			return first.report.OmitsLoads
		default:
			return false
		}
	}, waitTime, time.Millisecond)
}

// What is no report is passed over, and the next one is heard.
func TestRubbishIsPassedOver(t *testing.T) {
	listen := host.Own()
	got := start(t, "one", listen, nil, nil)
	caller, err := net.Dial("udp", listen.String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	report := fleet.Report{Process: "other", Clock: time.Unix(0, 0)}
	var first heard
	require.Eventually(t, func() bool {
		for _, data := range [][]byte{{}, []byte("rubbish"), report.Append(nil)[:12], report.Append(nil)} {
			// It may not listen yet.
			_, _ = caller.Write(data)
		}
		select {
		case first = <-got:
			return true
		default:
			return false
		}
	}, waitTime, time.Millisecond)
	require.Equal(t, "other", first.report.Process)
}

// Guards against a report that is longer than what is read of it, and counts with the loads
// that were read.
func TestLongReportsAreNotCut(t *testing.T) {
	to := host.Own()
	got := start(t, "reader", to, nil, nil)
	sender, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	require.NoError(t, err)
	defer func() { _ = sender.Close() }()
	const loadSize = 12
	cut := fleet.Report{Process: "long"}
	for (maxReport-len(cut.Append(nil)))%loadSize != 0 {
		cut.Process += "-"
	}
	cut.Loads = make([]chicoryrock.OpenLoad, maxReport/loadSize)
	whole := fleet.Report{Process: "whole", Loads: make([]chicoryrock.OpenLoad, maxReport/loadSize-10)}
	require.Eventually(t, func() bool {
		// Nothing arrives before the reader has its socket.
		_, _ = sender.Write(cut.Append(nil))
		_, _ = sender.Write(whole.Append(nil))
		return len(got) > 0
	}, waitTime, time.Millisecond)
	first := <-got
	require.Equal(t, "whole", first.report.Process)
	require.Len(t, first.report.Loads, len(whole.Loads))
}
