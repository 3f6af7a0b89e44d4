package secure

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/standin/authority"
)

var (
	start    = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	loopback = []netip.Addr{netip.MustParseAddr("127.0.0.1")}
)

// clock is a time that the test sets.
type clock struct {
	nanoseconds atomic.Int64
}

func newClock() *clock {
	c := &clock{}
	c.nanoseconds.Store(start.UnixNano())
	return c
}

func (c *clock) now() time.Time          { return time.Unix(0, c.nanoseconds.Load()).UTC() }
func (c *clock) advance(d time.Duration) { c.nanoseconds.Add(int64(d)) }

func newAuthority(t testing.TB) *authority.Authority {
	t.Helper()
	ca, err := authority.New(start)
	require.NoError(t, err)
	return ca
}

// files issues a certificate and writes it and the trusted authority to files.
func files(t testing.TB, signer, trusted *authority.Authority, spec authority.Spec, now func() time.Time) Files {
	t.Helper()
	folder := t.TempDir()
	pair, err := signer.Issue(spec)
	require.NoError(t, err)
	cert, key, err := pair.Write(folder, "own")
	require.NoError(t, err)
	ca := filepath.Join(folder, "ca.crt")
	require.NoError(t, os.WriteFile(ca, trusted.PEM, 0o600))
	return Files{Cert: cert, Key: key, CA: ca, Clock: now, Log: event.NewNop()}
}

func spec(name string, role Role) authority.Spec {
	return authority.Spec{Name: name, Role: string(role), Addresses: loopback, Start: start, Life: time.Hour}
}

// listen echoes every byte on TLS connections and returns its address.
func listen(t testing.TB, config *tls.Config) string {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go echo(connection)
		}
	}()
	return listener.Addr().String()
}

func echo(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	buffer := make([]byte, 1)
	for {
		if _, err := connection.Read(buffer); err != nil {
			return
		}
		if _, err := connection.Write(buffer); err != nil {
			return
		}
	}
}

// exchange sends a byte and waits for it to come back. Under TLS 1.3 a client
// learns only from its first read that the server has refused it.
func exchange(connection net.Conn) error {
	if _, err := connection.Write([]byte{'x'}); err != nil {
		return err
	}
	_, err := connection.Read(make([]byte, 1))
	return err
}

func connect(address string, config *tls.Config) (*tls.Conn, error) {
	connection, err := tls.Dial("tcp", address, config)
	if err != nil {
		return nil, err
	}
	if err := exchange(connection); err != nil {
		_ = connection.Close()
		return nil, err
	}
	return connection, nil
}

// expectPeers lets a client with one certificate dial a server with another,
// the server letting in entries and the client expecting agents.
func expectPeers(t *testing.T, client, server Files, admitted bool) {
	t.Helper()
	accept, err := server.Accept(RoleEntry)
	require.NoError(t, err)
	dial, err := client.Dial(RoleAgent)
	require.NoError(t, err)
	connection, err := connect(listen(t, accept), dial)
	if !admitted {
		require.Error(t, err)
		return
	}
	require.NoError(t, err)
	require.NoError(t, connection.Close())
}

func TestPeers(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	entry, agent := spec("e1", RoleEntry), spec("a1", RoleAgent)
	expired := func(s authority.Spec) authority.Spec {
		s.Start = start.Add(-2 * time.Hour)
		return s
	}
	elsewhere := func(s authority.Spec) authority.Spec {
		s.Addresses = []netip.Addr{netip.MustParseAddr("10.0.0.1")}
		return s
	}
	cases := []struct {
		name           string
		client, server authority.Spec
		clientCA       *authority.Authority
		serverCA       *authority.Authority
		admitted       bool
	}{
		{"both known", entry, agent, ours, ours, true},
		{"stranger calls", entry, agent, other, ours, false},
		{"stranger answers", entry, agent, ours, other, false},
		{"expired calls", expired(entry), agent, ours, ours, false},
		{"expired answers", entry, expired(agent), ours, ours, false},
		{"agent calls", spec("a2", RoleAgent), agent, ours, ours, false},
		{"ctl calls", spec("c1", RoleCtl), agent, ours, ours, false},
		{"entry answers", entry, spec("e2", RoleEntry), ours, ours, false},
		{"no role", spec("e1", ""), agent, ours, ours, false},
		{"unknown role", spec("e1", "root"), agent, ours, ours, false},
		{"certificate of another address answers", entry, elsewhere(agent), ours, ours, false},
		{"certificate of another address calls", elsewhere(entry), agent, ours, ours, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := newClock().now
			expectPeers(t, files(t, c.clientCA, ours, c.client, now), files(t, c.serverCA, ours, c.server, now), c.admitted)
		})
	}
}

func TestPeersNeedCertificateAndTLS13(t *testing.T) {
	ours, now := newAuthority(t), newClock().now
	accept, err := files(t, ours, ours, spec("a1", RoleAgent), now).Accept(RoleEntry)
	require.NoError(t, err)
	address := listen(t, accept)
	dial, err := files(t, ours, ours, spec("e1", RoleEntry), now).Dial(RoleAgent)
	require.NoError(t, err)

	bare := dial.Clone()
	bare.GetClientCertificate = nil
	_, err = connect(address, bare)
	require.Error(t, err, "no certificate")

	old := dial.Clone()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, err = connect(address, old)
	require.Error(t, err, "TLS 1.2")

	plain, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = plain.Close() }()
	_, err = plain.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	answer := make([]byte, 64)
	count, _ := plain.Read(answer)
	require.False(t, bytes.HasPrefix(answer[:count], []byte("HTTP")), "plain client got an answer")
}

func TestResumedPeerIsCheckedAgain(t *testing.T) {
	ours, time := newAuthority(t), newClock()
	accept, err := files(t, ours, ours, authority.Spec{Name: "a1", Role: "agent", Addresses: loopback, Start: start, Life: 10e12}, time.now).Accept(RoleEntry)
	require.NoError(t, err)
	dial, err := files(t, ours, ours, spec("e1", RoleEntry), time.now).Dial(RoleAgent)
	require.NoError(t, err)
	dial.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	address := listen(t, accept)
	_, err = connect(address, dial)
	require.NoError(t, err)
	again, err := connect(address, dial)
	require.NoError(t, err)
	require.True(t, again.ConnectionState().DidResume)
	time.advance(3700e9)
	_, err = connect(address, dial)
	require.Error(t, err, "the client's certificate has expired")
}

func TestReloadWhileConnectionLives(t *testing.T) {
	ours, time := newAuthority(t), newClock()
	var out bytes.Buffer
	own := files(t, ours, ours, spec("first", RoleAgent), time.now)
	own.Log = event.New(zapcore.InfoLevel, &out)
	accept, err := own.Accept(RoleEntry)
	require.NoError(t, err)
	dial, err := files(t, ours, ours, spec("e1", RoleEntry), time.now).Dial(RoleAgent)
	require.NoError(t, err)
	address := listen(t, accept)
	expectName := func(want string) *tls.Conn {
		t.Helper()
		connection, err := connect(address, dial)
		require.NoError(t, err)
		state := connection.ConnectionState()
		identity, err := Identify(&state)
		require.NoError(t, err)
		require.Equal(t, Identity{Name: want, Role: RoleAgent}, identity)
		return connection
	}
	living := expectName("first")
	pair, err := ours.Issue(spec("second", RoleAgent))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(own.Cert, pair.Cert, 0o600))
	time.advance(checkEvery)
	expectName("first") // The key still belongs to the old certificate.
	require.Contains(t, out.String(), `"event":106`)
	require.NoError(t, os.WriteFile(own.Key, pair.Key, 0o600))
	expectName("first") // Looked at less than a second ago.
	time.advance(checkEvery)
	expectName("second")
	time.advance(checkEvery)
	expectName("second")
	require.Equal(t, 1, strings.Count(out.String(), `"event":105`), "unchanged files are not read again")
	require.NoError(t, exchange(living), "the living connection goes on")
	require.NoError(t, os.Remove(own.Key))
	time.advance(checkEvery)
	expectName("second")
}

func TestCallersShowNoCertificate(t *testing.T) {
	ours, now := newAuthority(t), newClock().now
	own := files(t, ours, ours, spec("e1", RoleEntry), now)
	callers, err := own.Callers()
	require.NoError(t, err)
	pool, err := readAuthorities(own.CA)
	require.NoError(t, err)
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		connection, err := connect(listen(t, callers), &tls.Config{RootCAs: pool, MaxVersion: version, Time: now})
		require.NoError(t, err)
		state := connection.ConnectionState()
		_, err = Identify(&state)
		require.NoError(t, err, "the caller knows the entry")
	}
	_, err = Identify(nil)
	require.ErrorIs(t, err, ErrStranger)
}

func TestIdentify(t *testing.T) {
	cases := []struct {
		units    []string
		verified bool
		want     error
	}{
		{[]string{"entry"}, true, nil},
		{[]string{"entry"}, false, ErrStranger},
		{[]string{"root"}, true, ErrStranger},
		{[]string{"entry", "agent"}, true, ErrStranger},
		{nil, true, ErrStranger},
	}
	for _, c := range cases {
		leaf := &x509.Certificate{Subject: pkix.Name{CommonName: "e1", OrganizationalUnit: c.units}}
		state := &tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}}
		if c.verified {
			state.VerifiedChains = [][]*x509.Certificate{{leaf}}
		}
		_, err := Identify(state)
		require.ErrorIs(t, err, c.want)
	}
}

func TestReloadWithoutLog(t *testing.T) {
	ours, time := newAuthority(t), newClock()
	own := files(t, ours, ours, spec("e1", RoleEntry), time.now)
	own.Log = nil
	callers, err := own.Callers()
	require.NoError(t, err)
	require.NoError(t, os.Remove(own.Key))
	time.advance(checkEvery)
	certificate, err := callers.GetCertificate(nil)
	require.NoError(t, err)
	require.NotNil(t, certificate)
}

func TestUnusableFiles(t *testing.T) {
	ours, now := newAuthority(t), newClock().now
	good := files(t, ours, ours, spec("e1", RoleEntry), now)
	for _, change := range []func(*Files){
		func(f *Files) { f.Cert = f.Key },
		func(f *Files) { f.Key = f.Cert },
		func(f *Files) { f.CA = f.Key },
		func(f *Files) { f.CA += "x" },
	} {
		bad := good
		change(&bad)
		_, err := bad.Accept(RoleEntry)
		require.ErrorIs(t, err, chicoryrock.ErrInvalid)
		_, err = bad.Dial(RoleAgent)
		require.ErrorIs(t, err, chicoryrock.ErrInvalid)
	}
}
