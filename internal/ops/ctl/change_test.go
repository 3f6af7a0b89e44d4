package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
	"github.com/chicoryrock/chicoryrock/platform"
)

// patience ends a test that hangs; no test waits for it.
const patience = 30 * time.Second

// bench is a store over a real socket, a folder to publish, and a chicoryctl.
type bench struct {
	t      *testing.T
	server *store.Server
	dir    string
	broken *brokenStore
}

// brokenStore loses the answers of all writes of the head, and then reads fail.
type brokenStore struct {
	chicoryrock.Store
	lost bool
}

func (b *brokenStore) Put(ctx context.Context, change chicoryrock.Change) (uint64, error) {
	revision, err := b.Store.Put(ctx, change)
	if change.Key != publish.HeadKey {
		return revision, err
	}
	b.lost = true
	return 0, chicoryrock.ErrUnknownOutcome
}

func (b *brokenStore) Get(ctx context.Context, key string) (chicoryrock.KeyValue, error) {
	if b.lost {
		return chicoryrock.KeyValue{}, chicoryrock.ErrUnavailable
	}
	return b.Store.Get(ctx, key)
}

func newBench(t *testing.T) *bench {
	server := &store.Server{Listen: host.Loopback()}
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(examples+"/phoolgadi")))
	return &bench{t: t, server: server, dir: dir}
}

// expect runs chicoryctl and returns its output after checking the exit code.
func (b *bench) expect(want int, part string, args ...string) string {
	b.t.Helper()
	env := &Env{
		Environ: []string{"CHICORYROCK_STORE=" + b.server.Addr().String(), "USER=asha"},
		Connect: func(address netip.AddrPort) chicoryrock.Store {
			client := &platform.Store{Address: address, Timeout: patience}
			if b.broken == nil {
				return client
			}
			b.broken.Store = client
			return b.broken
		},
	}
	code, out, errOut := run(env, args...)
	require.Equal(b.t, want, code, out+errOut)
	require.Contains(b.t, out+errOut, part)
	return out
}

// edit replaces text in one file of the folder.
func (b *bench) edit(file, old, text string) {
	b.t.Helper()
	name := filepath.Join(b.dir, file)
	content, err := os.ReadFile(name)
	require.NoError(b.t, err)
	require.Contains(b.t, string(content), old)
	require.NoError(b.t, os.WriteFile(name, []byte(strings.Replace(string(content), old, text, 1)), 0o600))
}

func TestPublishAndRollback(t *testing.T) {
	b := newBench(t)
	b.expect(ExitFine, "Publishing would make 34 changes", "plan", b.dir)
	b.expect(ExitFine, "Revision 1 is published", "publish", b.dir)
	b.expect(ExitFine, "nothing to publish", "publish", b.dir)
	b.edit("classes.yaml", "first: 400ms", "first: 600ms")
	plan := b.expect(ExitFine, "changed  class/questions", "plan", b.dir)
	require.Contains(t, plan, "first: 400ms -> 600ms")
	require.Contains(t, plan, "1 change.")
	b.expect(ExitFine, "Revision 2 is published", "publish", b.dir, "-note", "slower")
	b.expect(ExitFine, "Revision 3 is published", "rollback", "1")
	b.expect(ExitFine, "first: 400ms -> 600ms", "plan", b.dir)
	b.expect(ExitFaults, "there is no such thing", "rollback", "9")
	b.expect(ExitUsage, "no revision", "rollback", "first")
}

func TestPublishFaultsAndClash(t *testing.T) {
	b := newBench(t)
	b.expect(ExitFine, "Revision 1", "publish", b.dir)
	b.edit("classes.yaml", "first: 400ms", "first: 300ms")
	b.expect(ExitFine, "Revision 2", "publish", b.dir)
	b.edit("classes.yaml", "first: 300ms", "first: 200ms")
	b.expect(ExitFaults, `revision 2 by "asha" went first. Both of you changed class/questions`, "publish", b.dir, "-base", "1")
	b.edit("classes.yaml", "tier: 1", "tier: 0")
	b.expect(ExitFaults, "classes.yaml:5: class/orders: The tier", "publish", b.dir)
	b.expect(ExitFaults, "classes.yaml:5: class/orders: The tier", "plan", b.dir)
}

func TestWithdraw(t *testing.T) {
	b := newBench(t)
	b.expect(ExitFine, "Revision 1", "publish", b.dir)
	b.expect(ExitFine, "Revision 2", "withdraw", "naroda-1")
	b.expect(ExitFaults, "no such thing", "withdraw", "nobody-1")
	b.expect(ExitFaults, "keys.yaml:", "publish", b.dir)
	b.expect(ExitFaults, "key/naroda-1: The key was withdrawn", "plan", b.dir)
	b.expect(ExitFine, "nothing to publish", "rollback", "1")
	b.expect(ExitFine, "naroda-1 was withdrawn and stays so", "rollback", "1")
}

func TestStoreFailures(t *testing.T) {
	b := newBench(t)
	b.server.Switch(store.Switches{Lose: 100})
	b.expect(ExitFine, "Revision 1 is published", "publish", b.dir)
	b.server.Switch(store.Switches{Outage: true})
	b.expect(ExitFailed, "Nothing was changed", "publish", b.dir)
	b.expect(ExitFailed, "cannot be read", "plan", b.dir)
	b.server.Switch(store.Switches{Rubbish: true})
	b.expect(ExitFailed, "Nothing was changed", "withdraw", "naroda-1")
	b.server.Switch(store.Switches{})
	b.expect(ExitUsage, "-store needs one address", "publish", b.dir, "-store", "127.0.0.1:1,127.0.0.1:2")
	b.expect(ExitUsage, "no IP address with port", "publish", b.dir, "-store", "localhost")
}

// TestLostAnswer publishes without learning the outcome, and then asks for it.
func TestLostAnswer(t *testing.T) {
	b := newBench(t)
	b.broken = &brokenStore{}
	var first result
	out := b.expect(ExitUnknown, "may or may not be in force", "publish", b.dir, "-json")
	require.NoError(t, json.Unmarshal([]byte(out), &first))
	b.broken = nil
	b.edit("classes.yaml", "first: 400ms", "first: 600ms")
	b.expect(ExitFine, "Revision 2", "publish", b.dir)
	b.expect(ExitFine, "Revision 1 is published", "publish", b.dir, "-id", first.ID)
}

// startProcess serves the status of a process that takes a revision only after
// it was asked a few times.
func startProcess(t *testing.T, name string, revision uint64, after int64) string {
	var asked atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		one := process{Name: name, Role: "entry", Age: time.Second}
		if asked.Add(1) > after {
			one.Revision = revision
		}
		_ = json.NewEncoder(w).Encode(one)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestStatus(t *testing.T) {
	b := newBench(t)
	current := startProcess(t, "a", 1, 0)
	older := startProcess(t, "b", 0, 0)
	rubbish := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(rubbish.Close)
	b.expect(ExitUsage, "-admin is missing", "status")
	b.expect(ExitUsage, "-wait needs -admin", "publish", b.dir, "-wait", "1s")
	b.expect(ExitFailed, "does not say which revision", "status", "-admin", current)
	b.expect(ExitFine, "Revision 1", "publish", b.dir)
	b.expect(ExitFine, "revision 1      in force, confirmed 1s ago", "status", "-admin", current)
	out := b.expect(ExitPending, "behind, has not yet taken 1", "status", "-admin", current+","+older)
	require.Contains(t, out, "in force")
	b.expect(ExitFailed, "did not answer: it answered with status 404", "status", "-admin",
		current+","+strings.TrimPrefix(rubbish.URL, "http://"))
}

func TestPublishWaits(t *testing.T) {
	b := newBench(t)
	fast, slow, never := startProcess(t, "a", 1, 0), startProcess(t, "b", 1, 2), startProcess(t, "c", 0, 0)
	b.expect(ExitFine, "It is in force in all 2", "publish", b.dir, "-wait", patience.String(), "-admin", fast+","+slow)
	b.expect(ExitPending, "not yet known to be in force in 1 process of 2", "publish", b.dir, "-wait", "1ms", "-admin", fast+","+never)
}

func TestPrune(t *testing.T) {
	b := newBench(t)
	b.expect(ExitFine, "Revision 1", "publish", b.dir)
	b.edit("classes.yaml", "first: 400ms", "first: 600ms")
	b.expect(ExitFine, "Revision 2", "publish", b.dir)
	b.expect(ExitUsage, "at least 512 revisions", "prune", "-keep", "1")
	b.expect(ExitFine, "0 chunks removed", "prune")
	b.expect(ExitFine, "Revision 3", "rollback", "1")
	b.server.Switch(store.Switches{Outage: true})
	b.expect(ExitFailed, "Running it again is safe", "prune")
}
