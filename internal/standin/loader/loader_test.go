package loader

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/word"
)

const secret = "ck-secret"

func startEngine(t *testing.T) *engine.Server {
	t.Helper()
	server := &engine.Server{Listen: host.Loopback(), Model: "garland", Token: time.Microsecond}
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	return server
}

// run sends a few calls to an engine in place of the system.
func run(t *testing.T, server *engine.Server, change func(*Loader)) Report {
	t.Helper()
	loader := &Loader{
		Name:   "test",
		Calls:  Constant(Call{Key: "stall", Model: "garland", Prompt: 3, Output: 4, Stream: true}, 0, 2),
		Keys:   map[string]string{"stall": secret},
		Target: server.Addr(),
	}
	if change != nil {
		change(loader)
	}
	report, err := loader.Run(t.Context())
	require.NoError(t, err)
	return report
}

// last returns the section with all calls of the last way.
func last(report Report) Section { return report.Sections[len(report.Sections)-1] }

func TestWholeAnswers(t *testing.T) {
	for _, stream := range []bool{true, false} {
		report := run(t, startEngine(t), func(l *Loader) {
			l.Calls[0].Stream = stream
			l.Calls[1].Stream = stream
		})
		require.Zero(t, report.Faults())
		require.Equal(t, 2, last(report).Whole)
		require.Equal(t, 8, last(report).Tokens)
		require.Equal(t, stream, last(report).First.Count == 2)
		require.Equal(t, stream, last(report).Gap.Count == 6)
	}
}

func TestFaultsAreFound(t *testing.T) {
	for _, test := range []struct {
		fault    string
		switches engine.Switches
		calls    int // at fault
		stream   bool
	}{
		{"truncated", engine.Switches{Truncate: 2}, 2, true},
		{"lost", engine.Switches{Truncate: 2}, 2, false},
		{"foreign", engine.Switches{Cross: 1}, 2, true},
		{"lost", engine.Switches{Hangup: 1}, 1, true},
		{"late", engine.Switches{Straggle: 1e9}, 2, true},
	} {
		t.Run(test.fault, func(t *testing.T) {
			server := startEngine(t)
			server.Switch(test.switches)
			report := run(t, server, func(l *Loader) {
				if test.switches.Straggle > 0 {
					l.Timeout = 50 * time.Millisecond
				}
				l.Calls[0].Stream, l.Calls[1].Stream = test.stream, test.stream
			})
			require.Equal(t, map[string]int{test.fault: test.calls}, last(report).Faults)
		})
	}
}

// expectFault sends one call to a server that answers with these words.
func expectFault(t *testing.T, want string, words ...string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, text := range words {
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
		}
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}))
	defer server.Close()
	loader := &Loader{
		Name:   "test",
		Calls:  []Call{{Model: "garland", Prompt: 1, Output: 2, Stream: true}},
		Target: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}
	report, err := loader.Run(t.Context())
	require.NoError(t, err)
	if want == "" {
		require.Zero(t, report.Faults())
		return
	}
	require.Equal(t, map[string]int{want: 1}, last(report).Faults)
}

func TestWordsAreChecked(t *testing.T) {
	const id = "test-s-0"
	expectFault(t, "", word.At(id, 0), word.At(id, 1))
	expectFault(t, "disordered", word.At(id, 0), word.At(id, 0))
	expectFault(t, "disordered", word.At(id, 0), word.At(id, 2))
	expectFault(t, "miscounted", word.At(id, 0))
	expectFault(t, "miscounted", word.At(id, 0), word.At(id, 1), word.At(id, 2))
	expectFault(t, "foreign", word.At(id, 0), word.At("other", 1))
}

func TestDirectWayGetsTheSameLoadButNoKey(t *testing.T) {
	system, direct := startEngine(t), startEngine(t)
	report := run(t, system, func(l *Loader) { l.Direct = []netip.AddrPort{direct.Addr()} })
	require.Zero(t, report.Faults())
	require.NotNil(t, report.Added)
	require.Equal(t, 2, last(report).Whole)
	require.Equal(t, Direct, last(report).Way)
	require.True(t, system.Saw(secret))
	require.False(t, direct.Saw(secret))
}

func TestLoadIsBounded(t *testing.T) {
	server := startEngine(t)
	report := run(t, server, func(l *Loader) {
		l.Calls[1].At = 2 * time.Minute
		l.Longest = time.Minute
	})
	require.Equal(t, 1, report.Unsent)
	server.Switch(engine.Switches{Straggle: 1e9})
	report = run(t, server, func(l *Loader) {
		l.Open = 1
		l.Timeout = time.Second
	})
	require.Equal(t, 1, report.Unsent)
}

func TestOnlyLoopback(t *testing.T) {
	loader := &Loader{Target: netip.MustParseAddrPort("192.0.2.1:80")}
	_, err := loader.Run(t.Context())
	require.ErrorIs(t, err, chicoryrock.ErrInvalid)
}
