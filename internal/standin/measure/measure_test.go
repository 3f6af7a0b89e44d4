package measure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

func TestBusyOf(t *testing.T) {
	busy, err := busyOf([]byte("12 (a (b) c) S 1 1 1 0 -1 4194560 5 0 0 0 120 30 0 0 20 0"))
	require.NoError(t, err)
	require.Equal(t, 1500*time.Millisecond, busy)
	_, err = busyOf([]byte("12 (a) S 1"))
	require.ErrorIs(t, err, chicoryrock.ErrInvalid)
}

func TestTakeOfThisProcess(t *testing.T) {
	process := Process{PID: os.Getpid()}
	before, err := process.take(time.Now())
	require.NoError(t, err)
	require.Positive(t, before.resident)
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "file"), make([]byte, megabyte), 0o600))
	after, err := process.take(before.at.Add(time.Second))
	require.NoError(t, err)
	require.GreaterOrEqual(t, between(before, after).bytes, float64(megabyte))
}

func TestSlope(t *testing.T) {
	require.InDelta(t, 0.5, slope([]float64{0, 100, 330}, []float64{10, 60, 175}), 1e-9)
	require.InDelta(t, 0, slope([]float64{0, 1, 2}, []float64{4, 4, 4}), 1e-9)
}

func TestReadFleet(t *testing.T) {
	const store, vms = `{"role":"store","listen":"127.0.0.1:1"}`, `{"role":"vms","listen":"127.0.0.1:2"}`
	const entry = `{"role":"entry","name":"e","pid":7,"listen":"127.0.0.1:3","peer":"127.0.0.1:4","admin":"127.0.0.1:5"}`
	cases := []struct {
		text string
		good bool
	}{
		{store + "\n" + vms + "\n" + entry, true},
		{store + "\n" + vms, false},
		{store + "\n" + vms + "\n" + strings.ReplaceAll(entry, "127.0.0.1:3", "192.0.2.1:3"), false},
		{"not JSON", false},
	}
	for _, c := range cases {
		fleet, err := ReadFleet(strings.NewReader(c.text))
		if !c.good {
			require.ErrorIs(t, err, chicoryrock.ErrInvalid)
			continue
		}
		require.NoError(t, err)
		list := fleet.vms(3)
		require.Len(t, list, 4)
		require.Equal(t, "127.0.0.1:4", list[0].Address.String(), "an entry is listed by its peer address")
	}
}

func TestTaken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	text := `{"time":"2026-01-02T03:04:05.5Z","event":201,"revision":4}` + "\nrubbish\n" + `{"time":"2026-01-02T03:04:06Z","event":101}` + "\n"
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	process := Process{Log: path}
	at, err := process.taken(4)
	require.NoError(t, err)
	require.Equal(t, 500*time.Millisecond, at.Sub(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)))
	_, err = process.taken(5)
	require.ErrorIs(t, err, chicoryrock.ErrNotFound)
}

func TestNewSet(t *testing.T) {
	set := newSet(10)
	require.Empty(t, object.Check(set, nil))
	require.Len(t, set.Keys, 20)
	require.NotEqual(t, set.Workspaces, changed(10, 3).Workspaces)
}
