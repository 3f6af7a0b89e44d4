package ctl

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/state/usage"
)

// startUsage serves windows: one sent, one sealed long ago, one open.
func startUsage(t *testing.T, rows []usage.WindowSummary) string {
	return startAnswer(t, func(w http.ResponseWriter) { _ = json.NewEncoder(w).Encode(rows) })
}

func TestUsageWindows(t *testing.T) {
	line := usage.Line{Workspace: "hanoi", Counts: usage.Counts{Requests: 3, PromptTokens: 30, OutputTokens: 9}, Late: usage.Counts{Requests: 1}}
	rows := []usage.WindowSummary{
		{Window: 1, Start: clock.Add(-2 * time.Hour), State: usage.StateSent, Total: usage.Counts{Requests: 7, PromptTokens: 70, OutputTokens: 21}},
		{Window: 2, Start: clock.Add(-time.Hour), State: usage.StateSealed, Lines: []usage.Line{line}, Total: usage.Counts{Requests: 8}, Late: usage.Counts{Requests: 2}},
		{Window: 3, Start: clock, State: usage.StateOpen},
	}
	full, none, silent := startUsage(t, rows), startUsage(t, nil), "127.0.0.1:1"
	cases := []struct {
		code int
		part string
		args []string
	}{
		{ExitFine, "2026-03-01T02:00:00Z  sent    7         70      21      0", []string{"-admin", full}},
		{ExitFine, "2026-03-01T03:00:00Z  sealed  8         0       0       2              overdue: began 1h0m0s ago", []string{"-admin", full}},
		{ExitFine, "2026-03-01T03:00:00Z  sealed  3         30      9       1", []string{"-admin", full, "-workspace", "hanoi"}},
		{ExitFine, "2026-03-01T04:00:00Z  open    0         0       0       0              \n", []string{"-admin", silent + "," + full}},
		{ExitFine, `"state": "sealed"`, []string{"-admin", full, "-json"}},
		{ExitNothing, "No usage window", []string{"-admin", none}},
		{ExitFailed, "1 of 1 process gave no answer", []string{"-admin", silent}},
		{ExitUsage, "-admin is missing", nil},
	}
	for _, c := range cases {
		code, out, errOut := run(nil, append([]string{"usage"}, c.args...)...)
		require.Equal(t, c.code, code, out+errOut)
		require.Contains(t, out+errOut, c.part)
	}
}
