package settings

import (
	"bytes"
	"flag"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/authority"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

const (
	plainEntry = "-name e1 -centre jamalpur -region ahmedabad -plain -listen 127.0.0.1:0 -peer [::1]:0 " +
		"-admin 127.0.0.1:0 -store 127.0.0.1:7000 -vms 127.0.0.1:7001"
	plainAgent = "-name a1 -centre jamalpur -region ahmedabad -plain -listen 127.0.0.1:0 -admin 127.0.0.1:0 " +
		"-engine [::1]:9000 -pool garland"
)

// expectEntry parses an entry's settings and expects a fault for each of wants,
// in order, and no other.
func expectEntry(t *testing.T, args string, environ []string, wants ...string) *Entry {
	t.Helper()
	entry, err := ParseEntry(strings.Fields(args), environ, io.Discard)
	expectFaults(t, err, wants)
	return entry
}

func expectAgent(t *testing.T, args string, environ []string, wants ...string) *Agent {
	t.Helper()
	agent, err := ParseAgent(strings.Fields(args), environ, io.Discard)
	expectFaults(t, err, wants)
	return agent
}

func expectFaults(t *testing.T, err error, wants []string) {
	t.Helper()
	if len(wants) == 0 {
		require.NoError(t, err)
		return
	}
	require.ErrorIs(t, err, chicoryrock.ErrInvalid)
	var faults FaultErrors
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, len(wants), err.Error())
	for i, want := range wants {
		require.Contains(t, faults[i], want)
	}
}

func TestParseDefaultsAndPrecedence(t *testing.T) {
	entry := expectEntry(t, plainEntry, []string{"CHICORYROCK_NAME=other", "CHICORYROCK_DRAIN=90s", "PATH=/bin", "CHICORYROCK_INTAKE="})
	require.Equal(t, "e1", entry.Name)
	require.Equal(t, 90*time.Second, entry.Drain)
	require.Equal(t, int64(16<<20), entry.MaxBody)
	require.Equal(t, netip.MustParseAddrPort("[::1]:0"), entry.Peer)
	agent := expectAgent(t, plainAgent+" -peers 127.0.0.1:1,[::1]:2", []string{"CHICORYROCK_SLOTS=4", "CHICORYROCK_VERBOSE=true"})
	require.Equal(t, 4, agent.Slots)
	require.True(t, agent.Verbose)
	require.Len(t, agent.Peers, 2)
}

func TestParseFaults(t *testing.T) {
	cases := []struct {
		args    string
		environ []string
		wants   []string
	}{
		{"-name= -centre= -region=", nil, []string{"-name (CHICORYROCK_NAME): it is missing", "-centre", "-region"}},
		{"-name a/b", nil, []string{"other signs"}},
		{"-listen 10.0.0.1:80", nil, []string{"no loopback"}},
		{"-store 10.0.0.1:80 -orderer [2001:db8::1]:1", nil, []string{"-store", "-orderer"}},
		{"-peers 127.0.0.1:1,10.0.0.1:2", nil, []string{"-peers"}},
		{"-peers 127.0.0.1:1,example:2", nil, []string{"-peers"}},
		{"-listen localhost:80 -admin 127.0.0.1", nil, []string{"-listen", "-admin"}},
		{"-store 127.0.0.1:0", nil, []string{"port 0"}},
		{"-drain -1s", nil, []string{"negative"}},
		{"-drain 5", nil, []string{"-drain"}},
		{"-maxbody 0", nil, []string{"below 1"}},
		{"-memory -1 -files -1", nil, []string{"-memory", "-files (CHICORYROCK_FILES): -1 is below 0"}},
		{"-memory 191", nil, []string{"give 192 at least"}},
		{"-memory 192 -files 500", nil, nil},
		{"-maxbody 1MB", nil, []string{"-maxbody"}},
		{"", []string{"CHICORYROCK_MAXBODY=-3"}, []string{"below 1"}},
		{"-maxbody 5", []string{"CHICORYROCK_MAXBODY=-3"}, nil},
		{"", []string{"CHICORYROCK_NAMES=x", "CHICORYROCK_POOL=x"}, []string{"CHICORYROCK_NAMES", "CHICORYROCK_POOL"}},
		{"-names x -maxbody 0", nil, []string{"-names", `"x"`, "below 1"}},
		{"-plain=maybe", nil, []string{"-plain", "-cert", "-secret", "-ca", "-callercert", "-callerkey"}},
		{"-plain=false", nil, []string{"-cert", "-secret", "-ca", "-callercert", "-callerkey"}},
		{"-cert /none -secret /none", nil, []string{"-cert", "-secret"}},
	}
	for _, c := range cases {
		t.Run(c.args+strings.Join(c.environ, " "), func(t *testing.T) {
			expectEntry(t, plainEntry+" "+c.args, c.environ, c.wants...)
		})
	}
	expectEntry(t, "-plain", nil, "-name", "-centre", "-region", "-admin", "-listen", "-peer", "-store", "-vms")
	expectAgent(t, plainAgent+" -slots 0 -engine 10.0.0.1:1 -peer 10.0.0.1:1", nil, "-peer", "-engine", "-slots")
	expectAgent(t, "-plain", nil, "-name", "-centre", "-region", "-admin", "-listen", "-engine", "-pool")
}

func TestParseCertificates(t *testing.T) {
	folder := t.TempDir()
	ca, err := authority.New(start)
	require.NoError(t, err)
	write := func(name string) (string, string) {
		pair, err := ca.Issue(authority.Spec{Name: name, Start: start, Life: time.Hour})
		require.NoError(t, err)
		cert, key, err := pair.Write(folder, name)
		require.NoError(t, err)
		return cert, key
	}
	cert, key := write("one")
	_, otherKey := write("two")
	authorities := filepath.Join(folder, "ca.crt")
	require.NoError(t, os.WriteFile(authorities, ca.PEM, 0o600))
	base := strings.ReplaceAll(plainEntry, "-plain", "") + " -listen 10.0.0.1:443"
	own := " -cert " + cert + " -secret " + key
	callers := " -callercert " + cert + " -callerkey "
	expectEntry(t, base+own+callers+key+" -ca "+authorities, nil)
	expectEntry(t, base+own+callers+otherKey+" -ca "+authorities, nil, "no pair")
	expectEntry(t, base+own+callers+key+" -ca "+key, nil, "holds no certificate")
	expectEntry(t, base+own+" -callercert "+folder+"/gone -callerkey "+key+" -ca "+authorities, nil, "-callercert")
}

func TestHelpShowsEverySetting(t *testing.T) {
	var out bytes.Buffer
	_, err := ParseEntry([]string{"-h"}, nil, &out)
	require.ErrorIs(t, err, flag.ErrHelp)
	for _, want := range []string{"-drain  (CHICORYROCK_DRAIN)", "default: 30m0s", "unit: bytes; default: 16777216", "-callerkey", "-verbose"} {
		require.Contains(t, out.String(), want)
	}
}
