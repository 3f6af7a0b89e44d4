package program

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/intake"
	state "github.com/chicoryrock/chicoryrock/internal/state/usage"
)

// billing is a path whose entries and agent count usage in short windows.
type billing struct {
	*path
	intake  *intake.Server
	entries map[string]*process
	admins  map[string]netip.AddrPort
}

func startBilling(t *testing.T) *billing {
	t.Helper()
	b := &billing{
		path: &path{
			store:  start(t, "standin", "store", "-listen", "127.0.0.1:0"),
			vms:    start(t, "standin", "vms", "-listen", "127.0.0.1:0"),
			engine: start(t, "standin", "engine", "-listen", "127.0.0.1:0", "-model", "garland-7b"),
			plain:  start(t, "standin", "plain", "-listen", "127.0.0.1:0"),
		},
		intake:  &intake.Server{Listen: netip.MustParseAddrPort("127.0.0.1:0")},
		entries: map[string]*process{},
		admins:  map[string]netip.AddrPort{},
	}
	require.NoError(t, b.intake.Start())
	t.Cleanup(b.intake.Close)
	peers := map[string]netip.AddrPort{"entry-1": host.Own(), "entry-2": host.Own()}
	known := peers["entry-1"].String() + "," + peers["entry-2"].String()
	b.agent = startAgent(t, "agent-1", "garland", b.engine, "-peers", known, "-window", "1s")
	b.plainAgent = startAgent(t, "agent-2", "orders", b.plain, "-peers", known, "-window", "1s")
	vms := []chicoryrock.VM{vmOf("agent-1", "garland", b.agent), vmOf("agent-2", "orders", b.plainAgent)}
	for name := range peers {
		b.admins[name] = host.Own()
		vms = append(vms, chicoryrock.VM{Name: name, Role: "entry", Centre: "jamalpur", Region: "ahmedabad", Address: peers[name], State: chicoryrock.VMLive})
	}
	b.vms.post("/vms", vms, nil)
	b.putConfig(testSet())
	for name, address := range peers {
		b.entries[name] = b.startEntry(t, name, "-peer", address.String(), "-admin", b.admins[name].String(),
			"-intake", b.intake.Addr().String(), "-window", "1s")
	}
	return b
}

// reported adds up what the intake has of a workspace.
func (b *billing) reported(workspace string) state.Counts {
	var sum state.Counts
	for _, report := range b.intake.Taken() {
		if report.Workspace == workspace {
			sum.Requests += report.Requests
			sum.PromptTokens += report.PromptTokens
			sum.OutputTokens += report.OutputTokens
		}
	}
	return sum
}

// serve runs whole and streamed requests of four tokens each.
func (b *billing) serve(t *testing.T, entry *process, count int) {
	t.Helper()
	var group sync.WaitGroup
	for i := range count {
		body := fmt.Sprintf(`{"model":"garland","max_tokens":4,"stream":%t,"messages":[]}`, i%2 == 0)
		group.Go(func() {
			status, _, _ := ask(t, entry, http.MethodPost, "/v1/chat/completions", lensKey, body)
			require.Equal(t, http.StatusOK, status)
		})
	}
	group.Wait()
}

func (b *billing) expectReported(t *testing.T, requests int64) {
	t.Helper()
	eventually(t, func() bool { return b.reported("lens").Requests >= requests }, "the intake has all requests")
	require.Equal(t, requests, b.reported("lens").Requests)
	require.Equal(t, 4*requests, b.reported("lens").OutputTokens)
}

// Usage is reported once, also over a crash of the process with the duty and an
// outage of the store.
func TestUsageReachesIntakeOnce(t *testing.T) {
	b := startBilling(t)
	b.serve(t, b.entries["entry-1"], 6)
	b.serve(t, b.entries["entry-2"], 6)
	b.expectReported(t, 12)

	// The process with the duty dies right after serving, before it can have sent
	// its own counts: the agent's end still has them.
	killed := b.holderOf("usage")
	b.serve(t, b.entries[killed], 6)
	require.NoError(t, b.entries[killed].command.Process.Kill())
	b.expectReported(t, 18)

	b.store.post("/switch", map[string]any{"outage": true}, nil)
	other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[killed]
	b.serve(t, b.entries[other], 6)
	b.store.post("/switch", map[string]any{"outage": false, "lose": 2}, nil)
	b.expectReported(t, 24)

	// The agent dies: the entry's end has what the agent served.
	b.serve(t, b.entries[other], 6)
	require.NoError(t, b.agent.command.Process.Kill())
	b.expectReported(t, 30)

	response, err := http.Get("http://" + b.admins[other].String() + "/usage")
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Contains(t, string(text), `"state":"sent"`)
	require.Contains(t, string(text), `"state":"open"`)
	require.Contains(t, string(text), `"workspace":"lens"`)
	for _, report := range b.intake.Received() {
		taken := b.intake.Taken()[report.ID]
		require.Equal(t, taken.Requests, report.Requests, "no window with two figures")
		require.Equal(t, time.Second, report.Window)
	}
}
