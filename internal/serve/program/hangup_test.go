package program

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/platform"
)

// Guards against SIGHUP ending a front that has not begun to run: it comes while the front
// reads its settings.
func TestHangupBeforeAFrontRuns(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	command := exec.Command(programPath("chicoryrock"), "front", "-settings", file)
	require.NoError(t, command.Start())
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	t.Cleanup(func() { _ = command.Process.Kill() })
	settings, err := os.OpenFile(file, os.O_WRONLY, 0) // waits until the front reads
	require.NoError(t, err)
	require.NoError(t, command.Process.Signal(syscall.SIGHUP))
	callers, ready := host.Own(), host.Own()
	_, err = fmt.Fprintf(settings, "node: one\nip: %q\nzone: a\nregion: north\nzones: {a: north}\nlisten: {front: %q, ready: %q}\nplatform: {address: %q}\n",
		callers.Addr(), callers, ready, host.Own())
	require.NoError(t, err)
	require.NoError(t, settings.Close())
	var early error
	require.Eventually(t, func() bool {
		select {
		case early = <-ended:
			return true
		default:
		}
		response, err := http.Get("http://" + ready.String() + platform.ReadyPath)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return true
	}, startLimit, 10*time.Millisecond)
	require.NoError(t, early, "the front has ended")
}
