package replay_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/policy/replay"
)

// kind is one sort of call that a generated trace has.
type kind struct {
	class          string
	share          float64 // of all calls
	prompt, output int     // means, tokens
	again          int
}

// phoolgadi keeps the engines' slots busy about equally with questions and sheets.
var phoolgadi = []kind{
	{class: "orders", share: 0.05, prompt: 60, output: 20},
	{class: "questions", share: 0.65, prompt: 100, output: 40},
	{class: "sheets", share: 0.2, prompt: 1500, output: 90},
	{class: "office", share: 0.1, prompt: 800, output: 60},
}

var stalls = []string{"jamalpur-market", "kalupur-market", "varachha-market", "manek-chowk", "law-garden", "naroda", "adajan", "katargam"}

var shops = []string{"kim-lens", "hai-shutter", "ben-optic", "phu-camera"}

// capacity is how many calls of the mix above the standard engines serve in a
// second: 144 slots at some 2.3 s a call.
const capacity = 63.0

// trace makes calls whose rate at a time is a multiple of the capacity.
type trace struct {
	seed       uint64
	length     time.Duration
	load       func(at time.Duration) float64
	workspaces []string
	kinds      []kind
}

func (g *trace) records() []replay.Record {
	r := rand.New(rand.NewPCG(g.seed, 1))
	var records []replay.Record
	at := time.Duration(0)
	for {
		rate := capacity * g.load(at)
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= g.length {
			return records
		}
		k := g.pick(r)
		records = append(records, replay.Record{
			At:            at.Truncate(time.Millisecond),
			Workspace:     g.workspaces[r.IntN(len(g.workspaces))],
			Class:         k.class,
			PromptTokens:  spread(r, k.prompt),
			OutputTokens:  spread(r, k.output),
			Entry:         r.IntN(3),
			CallerRetries: k.again,
		})
	}
}

func (g *trace) pick(r *rand.Rand) kind {
	at := r.Float64()
	for _, k := range g.kinds {
		if at -= k.share; at < 0 {
			return k
		}
	}
	return g.kinds[0]
}

// spread returns a length between a quarter and seven quarters of the mean.
func spread(r *rand.Rand, mean int) int {
	return max(1, mean/4+r.IntN(mean*3/2))
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// morning rises to two and a half times the capacity and falls again.
func morning(at time.Duration) float64 {
	if at > 3*time.Second && at < 12*time.Second {
		return 2.5
	}
	return 0.5
}

// coming returns the mix with callers that come again after a refusal.
func coming(kinds []kind, again int) []kind {
	kinds = slices.Clone(kinds)
	for i := range kinds {
		kinds[i].again = again
	}
	return kinds
}

// generate returns the trace of a standard scenario.
func generate(name string) []replay.Record {
	const length = 15 * time.Second
	switch name {
	case "morning":
		return (&trace{1, length, morning, stalls, phoolgadi}).records()
	case "rival":
		quiet := (&trace{2, length, steady(0.9), shops, phoolgadi}).records()
		flood := (&trace{3, length, steady(1.1), shops[:1], phoolgadi}).records()
		return merged(quiet, flood)
	case "straggler":
		return (&trace{4, length, steady(0.6), stalls, phoolgadi}).records()
	case "crash":
		return (&trace{5, length, steady(0.9), stalls, phoolgadi}).records()
	case "cut":
		return (&trace{6, length, steady(0.6), stalls, phoolgadi}).records()
	case "storm":
		return (&trace{7, length, steady(1.1), stalls, coming(phoolgadi, 4)}).records()
	case "poison":
		calls := (&trace{8, length, steady(0.5), stalls, phoolgadi}).records()
		bad := replay.Record{At: 3 * time.Second, Workspace: "naroda", Class: "questions", PromptTokens: 100, OutputTokens: 40, CallerRetries: 6, Poison: true}
		return merged(calls, []replay.Record{bad})
	}
	return nil
}

func merged(a, b []replay.Record) []replay.Record {
	all := append(slices.Clone(a), b...)
	slices.SortStableFunc(all, func(x, y replay.Record) int { return int(x.At - y.At) })
	return all
}
