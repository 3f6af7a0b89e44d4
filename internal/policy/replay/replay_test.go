package replay_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/policy/replay"
)

var update = flag.Bool("update", false, "write the generated traces to testdata/traces")

func tracePath(name string) string {
	return filepath.Join("..", "..", "..", "testdata", "traces", name+".jsonl")
}

// load returns a standard scenario with its trace from the file.
func load(t *testing.T, name string) *replay.Scenario {
	t.Helper()
	for _, scenario := range replay.Scenarios() {
		if scenario.Name != name {
			continue
		}
		file, err := os.Open(tracePath(name))
		require.NoError(t, err)
		defer func() { _ = file.Close() }()
		scenario.Trace, err = replay.ReadTrace(file)
		require.NoError(t, err)
		return &scenario
	}
	require.Fail(t, "no such scenario", name)
	return nil
}

// The traces that are kept are those that the generator makes.
func TestTracesAreGenerated(t *testing.T) {
	for _, scenario := range replay.Scenarios() {
		var made bytes.Buffer
		require.NoError(t, replay.WriteTrace(&made, generate(scenario.Name)))
		if *update {
			require.NoError(t, os.WriteFile(tracePath(scenario.Name), made.Bytes(), 0o644))
		}
		kept, err := os.ReadFile(tracePath(scenario.Name))
		require.NoError(t, err)
		assert.Equal(t, made.String(), string(kept), scenario.Name)
	}
}

func TestReadTraceRefusesGarbage(t *testing.T) {
	_, err := replay.ReadTrace(bytes.NewBufferString("{\"at\":1}\nnonsense\n"))
	assert.ErrorContains(t, err, "line 2")
}

// TestBaselines prints the table of all policies, and checks what holds for any:
// nothing is counted twice.
func TestBaselines(t *testing.T) {
	for _, scenario := range replay.Scenarios() {
		for _, policy := range replay.AllPolicies() {
			report := replay.Run(load(t, scenario.Name), &policy)
			t.Log(report.String())
			assert.LessOrEqual(t, report.GoodTokens, report.ProducedTokens)
		}
	}
}

func TestReplayIsTheSameEachTime(t *testing.T) {
	policy := replay.Deployed()
	first := replay.Run(load(t, "crash"), &policy)
	assert.Equal(t, first, replay.Run(load(t, "crash"), &policy))
}

// One engine with one slot: what the report says can be worked out by hand.
func TestReportByHand(t *testing.T) {
	scenario := &replay.Scenario{
		Name: "by hand",
		Classes: []replay.Class{
			{Name: "fast", Pool: "p", Tier: 1, FirstTokenTarget: 100 * time.Millisecond, TokenIntervalTarget: 20 * time.Millisecond},
		},
		Entries: []replay.Site{{Centre: "a", Region: "r"}},
		Engines: []replay.Engine{
			{Name: "e", Pool: "p", Centre: "a", Region: "r", Slots: 1, TokenInterval: 10 * time.Millisecond},
		},
		Trace: []replay.Record{
			{At: 0, Workspace: "x", Class: "fast", OutputTokens: 9},
			{At: 1 * time.Millisecond, Workspace: "y", Class: "fast", OutputTokens: 9},
			{At: 2 * time.Millisecond, Workspace: "y", Class: "fast", OutputTokens: 9},
		},
	}
	report := replay.Run(scenario, &replay.Baselines()[1])
	// Each takes 90 ms. The second begins at 90 ms and is in time; the third would
	// begin at 180 ms and is given up.
	assert.Equal(t, 2, report.Class("fast").Attained)
	assert.Equal(t, 18, report.GoodTokens)
	assert.Equal(t, 18, report.ClairvoyantTokens)
	assert.Equal(t, 18, report.ProducedTokens)
	assert.Len(t, report.Refusals, 1)
	// Of 18 tokens, each workspace has a fair share of 9.
	assert.InDelta(t, 1, report.WorstFairRatio, 1e-9)
}
