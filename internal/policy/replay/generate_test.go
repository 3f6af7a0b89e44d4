package replay_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/policy/replay"
)

// callKind is one kind of call in a generated trace.
type callKind struct {
	class                  string
	share                  float64 // of all calls
	meanPrompt, meanOutput int     // tokens
	callerRetries          int     // after refusals
}

// standardMix occupies about as many slots with questions as with sheets.
var standardMix = []callKind{
	{class: "orders", share: 0.05, meanPrompt: 60, meanOutput: 20},
	{class: "questions", share: 0.65, meanPrompt: 100, meanOutput: 40},
	{class: "sheets", share: 0.2, meanPrompt: 1500, meanOutput: 90},
	{class: "office", share: 0.1, meanPrompt: 800, meanOutput: 60},
}

var marketWorkspaces = []string{"jamalpur-market", "kalupur-market", "varachha-market", "manek-chowk", "law-garden", "naroda", "adajan", "katargam"}

var shopWorkspaces = []string{"kim-lens", "hai-shutter", "ben-optic", "phu-camera"}

// capacityCallsPerSecond is the rate of calls of standardMix that the standard engines
// can serve: 144 slots at about 2.3 s per call.
const capacityCallsPerSecond = 63.0

// generator makes a trace with random arrivals.
type generator struct {
	seed         uint64
	length       time.Duration
	relativeLoad func(at time.Duration) float64 // call rate, as a multiple of capacityCallsPerSecond
	workspaces   []string
	kinds        []callKind
}

func (g *generator) records() []replay.Record {
	r := rand.New(rand.NewPCG(g.seed, 1))
	var records []replay.Record
	at := time.Duration(0)
	for {
		rate := capacityCallsPerSecond * g.relativeLoad(at)
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= g.length {
			return records
		}
		k := g.drawKind(r)
		records = append(records, replay.Record{
			At:            at.Truncate(time.Millisecond),
			Workspace:     g.workspaces[r.IntN(len(g.workspaces))],
			Class:         k.class,
			PromptTokens:  drawLength(r, k.meanPrompt),
			OutputTokens:  drawLength(r, k.meanOutput),
			Entry:         r.IntN(3),
			CallerRetries: k.callerRetries,
		})
	}
}

func (g *generator) drawKind(r *rand.Rand) callKind {
	at := r.Float64()
	for _, k := range g.kinds {
		if at -= k.share; at < 0 {
			return k
		}
	}
	return g.kinds[0]
}

// drawLength returns a random length between a quarter and seven quarters of the mean.
func drawLength(r *rand.Rand, mean int) int {
	return max(1, mean/4+r.IntN(mean*3/2))
}

func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// morningLoad rises to two and a half times the capacity and falls again.
func morningLoad(at time.Duration) float64 {
	if at > 3*time.Second && at < 12*time.Second {
		return 2.5
	}
	return 0.5
}

// withCallerRetries returns the mix with callers that retry after a refusal.
func withCallerRetries(kinds []callKind, retries int) []callKind {
	kinds = slices.Clone(kinds)
	for i := range kinds {
		kinds[i].callerRetries = retries
	}
	return kinds
}

// generate returns the trace of a standard scenario.
func generate(name string) []replay.Record {
	const length = 15 * time.Second
	switch name {
	case "morning":
		return (&generator{1, length, morningLoad, marketWorkspaces, standardMix}).records()
	case "rival":
		normal := (&generator{2, length, constantLoad(0.9), shopWorkspaces, standardMix}).records()
		flood := (&generator{3, length, constantLoad(1.1), shopWorkspaces[:1], standardMix}).records()
		return mergeByTime(normal, flood)
	case "straggler":
		return (&generator{4, length, constantLoad(0.6), marketWorkspaces, standardMix}).records()
	case "crash":
		return (&generator{5, length, constantLoad(0.9), marketWorkspaces, standardMix}).records()
	case "cut":
		return (&generator{6, length, constantLoad(0.6), marketWorkspaces, standardMix}).records()
	case "storm":
		return (&generator{7, length, constantLoad(1.1), marketWorkspaces, withCallerRetries(standardMix, 4)}).records()
	case "poison":
		calls := (&generator{8, length, constantLoad(0.5), marketWorkspaces, standardMix}).records()
		poisoned := replay.Record{At: 3 * time.Second, Workspace: "naroda", Class: "questions", PromptTokens: 100, OutputTokens: 40, CallerRetries: 6, Poison: true}
		return mergeByTime(calls, []replay.Record{poisoned})
	}
	return nil
}

func mergeByTime(a, b []replay.Record) []replay.Record {
	all := append(slices.Clone(a), b...)
	slices.SortStableFunc(all, func(x, y replay.Record) int { return int(x.At - y.At) })
	return all
}
