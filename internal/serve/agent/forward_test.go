package agent

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// TestPreemptedBeforeItRan says "not run" of a request that was preempted in the
// moment in which it got its slot.
func TestPreemptedBeforeItRan(t *testing.T) {
	agent := &Agent{Settings: &settings.Agent{Slots: 1}}
	agent.Prepare()
	ctx, preempt := context.WithCancelCause(t.Context())
	preempt(errPreempted)
	recorder := httptest.NewRecorder()
	(&visit{agent: agent, w: recorder, ctx: ctx}).gaveUp()
	require.Equal(t, wire.OutcomeNotRun, recorder.Header().Get(wire.Outcome))
}
