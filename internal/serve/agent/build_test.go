package agent

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

// ask sends a completion call with some headers through an agent.
func ask(a *Agent, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"garland","max_tokens":4,"prompt":"lots"}`))
	request.Header.Set(wire.RequestID, "ref")
	request.Header.Set(wire.Tier, "1")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	a.handle(recorder, request)
	return recorder
}

// agentOf returns an agent of a backend server that isn't opened itself.
func agentOf(address netip.AddrPort) *Agent {
	a := &Agent{Settings: &settings.Agent{Engine: address, Slots: 4}, Log: event.NewNop(), engine: web.NewService("engine", newEngineClient())}
	a.Prepare()
	return a
}

// Guards against a call that resumes on a build that hasn't begun its answer, or that its entry doesn't name.
func TestCallsResumeOnTheBuildThatBeganThemOnly(t *testing.T) {
	own := []string{wire.Resume, "2", wire.Build, "1 garland=1"}
	// "no" is for not run, "runs" for an answer, "vain" for one that isn't passed on.
	results := map[string]string{"no": wire.OutcomeNotRun, "runs": "", "vain": wire.OutcomeUnknown}
	cases := []struct {
		name     string
		header   []string
		switches engine.Switches
		unheard  string // the agent knows nothing of its engine
		heard    string // it has an answer from before the switches
	}{
		{"first answer", nil, engine.Switches{Weights: "garland=2"}, "runs", "runs"},
		{"same build", own, engine.Switches{}, "runs", "runs"},
		{"other weights", own, engine.Switches{Weights: "garland=2"}, "no", "no"},
		{"other weights, heedless", own, engine.Switches{Weights: "garland=2", Heedless: true}, "vain", "vain"},
		{"other software", own, engine.Switches{Version: "2"}, "vain", "vain"},
		{"an entry that names the software only", []string{wire.Resume, "2", wire.Version, "1"}, engine.Switches{}, "no", "no"},
		{"an empty build", []string{wire.Resume, "2", wire.Build, ""}, engine.Switches{}, "no", "no"},
		{"software without weights", []string{wire.Resume, "2", wire.Build, "1"}, engine.Switches{}, "vain", "no"},
	}
	for _, c := range cases {
		for i, want := range []string{c.unheard, c.heard} {
			server := &engine.Server{Listen: host.Own(), Model: "garland", Token: 1}
			require.NoError(t, server.Start())
			t.Cleanup(server.Close)
			a := agentOf(server.Addr())
			for range i {
				require.Equal(t, http.StatusOK, ask(a).Code)
			}
			server.Switch(c.switches)
			answer := ask(a, c.header...)
			require.Equal(t, want != "no", server.Stats().Begun > i, "%s, %d", c.name, i)
			require.Equal(t, results[want], answer.Header().Get(wire.Outcome), "%s, %d", c.name, i)
		}
	}
}

// Guards against an answer under the build of another one that came at the same time.
func TestAnswerStatesItsOwnBuild(t *testing.T) {
	a := agentOf(netip.AddrPort{})
	a.room.built("1 garland=2")
	for _, kind := range []string{"application/json", "text/event-stream"} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/v1/completions", http.NoBody)
		(&visit{agent: a, w: recorder, r: request, ctx: t.Context(), request: readRequest(time.Now(), request.Header)}).relay(&http.Response{
			StatusCode:    http.StatusOK,
			Header:        http.Header{"Content-Type": {kind}, wire.Version: {"1"}, wire.Weights: {"garland=1"}},
			Body:          http.NoBody,
			ContentLength: 0,
			Request:       request,
		})
		load, _ := wire.ReadLoad(recorder.Result().Header)
		require.Equal(t, "1 garland=1", load.Build, kind)
	}
}
