package program

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/feed"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/standin/authority"
)

// certificates makes the files of one test's processes.
type certificates struct {
	t         *testing.T
	folder    string
	authority *authority.Authority
	ca        string
}

func newCertificates(t *testing.T) *certificates {
	t.Helper()
	made, err := authority.New(time.Now())
	require.NoError(t, err)
	folder := t.TempDir()
	ca := filepath.Join(folder, "ca.crt")
	require.NoError(t, os.WriteFile(ca, made.PEM, 0o600))
	return &certificates{t: t, folder: folder, authority: made, ca: ca}
}

// issue returns the files of a certificate for a process on this machine.
func (c *certificates) issue(name, role string) (cert, key string) {
	c.t.Helper()
	pair, err := c.authority.Issue(authority.Spec{
		Name:      name,
		Role:      role,
		Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
		Start:     time.Now().Add(-time.Hour),
		Life:      24 * time.Hour,
	})
	require.NoError(c.t, err)
	cert, key, err = pair.Write(c.folder, name)
	require.NoError(c.t, err)
	return cert, key
}

func (c *certificates) flags(name, role string) []string {
	cert, key := c.issue(name, role)
	return []string{"-name", name, "-centre", "jamalpur", "-region", "ahmedabad", "-cert", cert, "-secret", key, "-ca", c.ca}
}

// client returns the TLS settings of a caller or peer; without a role it shows no
// certificate.
func (c *certificates) client(name, role string) *tls.Config {
	c.t.Helper()
	pool := x509.NewCertPool()
	require.True(c.t, pool.AppendCertsFromPEM(c.authority.PEM))
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if role != "" {
		cert, key := c.issue(name, role)
		pair, err := tls.LoadX509KeyPair(cert, key)
		require.NoError(c.t, err)
		config.Certificates = []tls.Certificate{pair}
	}
	return config
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// tlsPath is an entry and an agent without -plain.
type tlsPath struct {
	engine, agent, entry *process
	peer                 netip.AddrPort
}

func startTLSPath(t *testing.T, ours *certificates) *tlsPath {
	t.Helper()
	store := start(t, "standin", "store", "-listen", "127.0.0.1:0")
	vms := start(t, "standin", "vms", "-listen", "127.0.0.1:0")
	p := &tlsPath{engine: start(t, "standin", "engine", "-listen", "127.0.0.1:0", "-model", "garland-7b"), peer: freeAddress(t)}
	(&path{store: store}).putConfig(testSet())
	p.agent = start(t, "chicoryrock", append(append([]string{"agent"}, ours.flags("agent-1", "agent")...), "-listen", "127.0.0.1:0", "-admin", "127.0.0.1:0",
		"-engine", p.engine.address.String(), "-pool", "garland", "-slots", "8")...)
	vms.post("/vms", []chicoryrock.VM{vmOf("agent-1", "garland", p.agent)}, nil)
	cert, key := ours.issue("callers", "")
	p.entry = start(t, "chicoryrock", append(append([]string{"entry"}, ours.flags("entry-1", "entry")...), "-listen", "127.0.0.1:0", "-peer", p.peer.String(),
		"-admin", "127.0.0.1:0", "-store", store.address.String(), "-vms", vms.address.String(), "-callercert", cert, "-callerkey", key)...)
	return p
}

// post sends a completion by TLS and returns the status, or the error that kept
// the request from being answered.
func postTLS(config *tls.Config, address netip.AddrPort) (int, error) {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	body := strings.NewReader(`{"model":"garland","max_tokens":2,"prompt":"a"}`)
	request, err := http.NewRequest(http.MethodPost, "https://"+address.String()+"/v1/completions", body)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+trolleyKey)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// The path works with certificates on every hop, and only processes with the
// right role get to an agent or to an entry's peer address.
func TestPathMutualTLS(t *testing.T) {
	ours, others := newCertificates(t), newCertificates(t)
	p := startTLSPath(t, ours)
	caller := ours.client("", "")
	eventually(t, func() bool {
		status, err := postTLS(caller, p.entry.address)
		return err == nil && status == http.StatusOK
	}, "a caller without a certificate of its own is served")

	foreign := others.client("entry-9", "entry")
	foreign.RootCAs = caller.RootCAs
	strangers := []struct {
		name   string
		config *tls.Config
	}{
		{"no certificate", caller},
		{"another authority's entry", foreign},
		{"an agent towards an agent", ours.client("agent-9", "agent")},
		{"an operator's tool towards an agent", ours.client("ctl-9", "ctl")},
		{"an unknown role", ours.client("cook-9", "cook")},
	}
	var before, after struct{ Begun int }
	p.engine.get("/stats", &before)
	for _, c := range strangers {
		_, err := postTLS(c.config, p.agent.address)
		require.Error(t, err, c.name)
	}
	p.engine.get("/stats", &after)
	require.Equal(t, before, after, "no stranger's request reached the engine")
	status, err := postTLS(ours.client("entry-2", "entry"), p.agent.address)
	require.NoError(t, err)
	require.NotEqual(t, 0, status, "an entry gets to the agent")

	watch := func(config *tls.Config) error {
		client := &peer.Client{Address: p.peer, TLS: config}
		defer client.Close()
		var reply json.RawMessage
		return client.Call(t.Context(), feed.MethodWatch, feed.WatchParams{}, &reply)
	}
	require.Error(t, watch(nil), "plain text")
	require.Error(t, watch(caller), "no certificate")
	require.Error(t, watch(foreign), "another authority's entry")
	require.Error(t, watch(ours.client("cook-10", "cook")), "an unknown role")
	require.NoError(t, watch(ours.client("agent-10", "agent")))
}
