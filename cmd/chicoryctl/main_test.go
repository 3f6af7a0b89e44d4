package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
)

// asProgram makes the test binary run as chicoryctl itself.
const asProgram = "CHICORYCTL_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	m.Run()
}

// TestOutputIsJSON runs the program as a pipeline does: its standard output must
// be one JSON value, whatever the libraries have to say.
func TestOutputIsJSON(t *testing.T) {
	server := &store.Server{Listen: host.Loopback()}
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	for _, name := range []string{"check", "plan", "publish"} {
		command := exec.CommandContext(t.Context(), os.Args[0], name, "../../examples/trap", "-json")
		command.Env = append(os.Environ(), asProgram+"=1", "CHICORYROCK_STORE="+server.Addr().String())
		var out, errOut bytes.Buffer
		command.Stdout, command.Stderr = &out, &errOut
		require.NoError(t, command.Run(), errOut.String())
		require.True(t, json.Valid(out.Bytes()), out.String())
		require.Empty(t, errOut.String())
	}
}
