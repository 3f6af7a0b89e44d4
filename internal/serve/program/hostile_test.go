package program

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
	"github.com/chicoryrock/chicoryrock/platform"
)

const short = `{"model":"garland","max_tokens":1,"messages":[]}`

func (p *path) expectStatus(t *testing.T, key string, want int) {
	t.Helper()
	status, _, body := ask(t, p.entry, http.MethodPost, "/v1/chat/completions", key, short)
	require.Equal(t, want, status, body)
}

func (p *path) awaitStatus(t *testing.T, key string, want int) {
	t.Helper()
	eventually(t, func() bool {
		status, _, _ := ask(t, p.entry, http.MethodPost, "/v1/chat/completions", key, short)
		return status == want
	}, "the status of a call")
}

// tryPublish returns the error of a publication.
func (p *path) tryPublish(set *object.Set) error {
	publisher := publish.Publisher{Store: &platform.Store{Address: p.store.address}}
	_, err := publisher.Publish(context.Background(), time.Now(), publish.Publication{ID: rand.Text()}, set)
	return err
}

// withoutLens is the set after the key of the workspace lens was withdrawn.
func withoutLens() *object.Set {
	set := testSet()
	set.Keys = set.Keys[:1]
	return set
}

// outageSeconds is the length of the stream that is the clock of an outage. By
// default it is above the limit of 10 s for a stale configuration and above every
// timeout of a call or header; TEST_OUTAGE_SECONDS=130 goes above the two
// minutes for idle connections too.
func outageSeconds(t *testing.T) int {
	t.Helper()
	text := os.Getenv("TEST_OUTAGE_SECONDS")
	if text == "" {
		return 13
	}
	seconds, err := strconv.Atoi(text)
	require.NoError(t, err)
	return seconds
}

// In an outage of the store, the entry serves on beyond the age at which a
// process that is cut off would refuse. What is published when the store is back
// comes in force; what was refused in the outage never does.
func TestOutageOfTheStore(t *testing.T) {
	t.Parallel()
	p := startPath(t)
	slow := start(t, "standin", "engine", "-listen", "127.0.0.1:0", "-model", "garland-7b", "-token", "1s")
	agent := startAgent(t, "agent-3", "slow", slow)
	p.vms.post("/vms", []chicoryrock.VM{
		vmOf("agent-1", "garland", p.agent), vmOf("agent-2", "orders", p.plainAgent), vmOf("agent-3", "slow", agent),
	}, nil)
	extend := func(set *object.Set) *object.Set {
		set.Pools = append(set.Pools, object.Pool{Name: "slow", Model: "garland-7b", Slots: 8, Max: 4})
		set.Routes = append(set.Routes, object.Route{Name: "slow", Model: "slow", Class: "quick", Pools: []string{"slow"}})
		return set
	}
	p.putConfig(extend(testSet()))
	eventually(t, func() bool {
		status, _, _ := ask(t, p.entry, http.MethodPost, "/v1/completions", trolleyKey, `{"model":"slow","max_tokens":1,"prompt":"a"}`)
		return status == http.StatusOK
	}, "the slow model is served")

	p.store.post("/switch", map[string]any{"outage": true}, nil)
	running := openStream(t, p.entry, "slow", outageSeconds(t))
	require.Error(t, p.tryPublish(extend(withoutLens())), "nothing is accepted in an outage")
	running.expectWhole()
	p.expectStatus(t, lensKey, http.StatusOK)

	p.store.post("/switch", map[string]any{"outage": false}, nil)
	require.NoError(t, p.tryPublish(extend(withoutLens())))
	p.awaitStatus(t, lensKey, http.StatusUnauthorized)
	p.expectStatus(t, trolleyKey, http.StatusOK)
}

// A platform that answers rubbish takes no process down and no configuration out
// of force. An entry that starts meanwhile serves nothing, and says not run.
func TestRubbishFromThePlatform(t *testing.T) {
	p := startPath(t)
	for _, source := range []*process{p.store, p.vms} {
		source.post("/switch", map[string]any{"rubbish": true}, nil)
	}
	require.Error(t, p.tryPublish(withoutLens()))
	late := start(t, "chicoryrock", "entry", "-name", "entry-2", "-centre", "kalupur", "-region", "ahmedabad",
		"-listen", "127.0.0.1:0", "-peer", "127.0.0.1:0", "-admin", "127.0.0.1:0",
		"-store", p.store.address.String(), "-vms", p.vms.address.String(), "-plain")
	status, header, _ := ask(t, late, http.MethodPost, "/v1/chat/completions", trolleyKey, short)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, wire.OutcomeNotRun, header.Get(wire.Outcome))
	for range 20 {
		p.expectStatus(t, trolleyKey, http.StatusOK)
	}
	for _, source := range []*process{p.store, p.vms} {
		source.post("/switch", map[string]any{"rubbish": false}, nil)
	}
	require.NoError(t, p.tryPublish(withoutLens()))
	p.awaitStatus(t, lensKey, http.StatusUnauthorized)
	eventually(t, func() bool {
		status, _, _ := ask(t, late, http.MethodPost, "/v1/chat/completions", trolleyKey, short)
		return status == http.StatusOK
	}, "the entry that started meanwhile serves")
}

// Bad settings are all told at once, and the process exits with 2.
func TestBadSettings(t *testing.T) {
	t.Parallel()
	cases := []struct {
		program string
		args    []string
		environ []string
		faults  []string
	}{
		{
			"entry",
			[]string{"-plain", "-name", "a b", "-listen", "192.0.2.1:80", "-store", "127.0.0.1:0", "-maxbody", "0", "-drain", "-5s"},
			[]string{"CHICORYROCK_TYPO=1", "CHICORYROCK_ADMIN=nowhere"},
			[]string{"-name", "-centre", "-region", "-listen", "-peer", "-admin", "-store", "-vms", "-maxbody", "-drain", "CHICORYROCK_TYPO"},
		},
		{
			"agent",
			[]string{"-name", "agent-1", "-slots", "none", "-cert", "/nonexistent"},
			nil,
			[]string{"-centre", "-region", "-listen", "-admin", "-engine", "-pool", "-slots", "-cert", "-secret", "-ca"},
		},
		{"front", []string{"-hedge", "0.21"}, nil, []string{"-hedge 0.21"}},
		{"front", []string{"-hedge", "NaN"}, nil, []string{"-hedge NaN"}},
		{"entry", []string{"-unknown", "1"}, nil, []string{"unknown"}},
	}
	for _, c := range cases {
		command := exec.Command(programPath("chicoryrock"), append([]string{c.program}, c.args...)...)
		command.Env = append(os.Environ(), c.environ...)
		output, err := command.CombinedOutput()
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit, c.program)
		require.Equal(t, 2, exit.ExitCode(), string(output))
		for _, fault := range c.faults {
			require.Contains(t, string(output), fault)
		}
	}
}

// Connections that never finish their header are closed in the end, and cost the
// other callers nothing meanwhile.
func TestSlowHeaders(t *testing.T) {
	t.Parallel()
	p := startPath(t)
	var slow []net.Conn
	for range 50 {
		conn, err := net.Dial("tcp", p.entry.address.String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nX-Slow: ")
		require.NoError(t, err)
		slow = append(slow, conn)
	}
	for range 20 {
		p.expectStatus(t, trolleyKey, http.StatusOK)
	}
	for _, conn := range slow {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(startLimit)))
		_, err := io.ReadAll(conn)
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the entry closes the connection")
	}
	p.expectStatus(t, trolleyKey, http.StatusOK)
}

// A document that arrives in many small parts is answered, whatever is asked and
// answered between the parts. One that breaks off, or is too large, runs nowhere.
func TestSlowBody(t *testing.T) {
	p := startPath(t)
	const parts = 20
	part := bytes.Repeat([]byte("marigold "), 5<<20/parts/9)
	reader, writer := io.Pipe()
	status := make(chan int, 1)
	go func() { status <- p.postBody(reader) }()
	_, err := io.WriteString(writer, `{"model":"garland","max_tokens":1,"prompt":"`)
	require.NoError(t, err)
	for range parts {
		_, err = writer.Write(part)
		require.NoError(t, err)
		p.expectStatus(t, trolleyKey, http.StatusOK)
	}
	_, err = io.WriteString(writer, `"}`)
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	require.Equal(t, http.StatusOK, <-status)

	var before, after struct{ Begun int }
	p.engine.get("/stats", &before)
	reader, writer = io.Pipe()
	go func() { status <- p.postBody(reader) }()
	_, err = writer.Write(part)
	require.NoError(t, err)
	require.NoError(t, writer.CloseWithError(errors.New("the caller is gone")))
	require.Zero(t, <-status)
	code, header, _ := ask(t, p.entry, http.MethodPost, "/v1/completions", trolleyKey, strings.Repeat(" ", 17<<20)+short)
	require.Equal(t, http.StatusRequestEntityTooLarge, code)
	require.Equal(t, wire.OutcomeNotRun, header.Get(wire.Outcome))
	p.engine.get("/stats", &after)
	require.Equal(t, before, after)
	p.expectStatus(t, trolleyKey, http.StatusOK)
}

// postBody sends a completion whose body comes bit by bit, and returns the
// status, or zero when no answer came.
func (p *path) postBody(body io.Reader) int {
	request, err := http.NewRequest(http.MethodPost, p.entry.url("/v1/completions"), body)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+trolleyKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
