package local

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/word"
)

// Guards against a stream that goes on at an engine of its software but of other weights.
func TestStreamsOfTheModelInterfaceKeepToTheirWeights(t *testing.T) {
	const same, other, third = engine.DefaultWeights, "garland=2", "garland=3"
	cases := []struct {
		name     string
		others   []string // weights of the engines that don't run the stream
		heard    bool     // the entry has answers of these engines, with these weights
		inPlace  bool     // they replace the weights after their answers
		heedless bool     // they run what expects other weights
		whole    bool
	}{
		{"same and other", []string{same, other}, true, false, false, true},
		{"same and other, nothing heard", []string{same, other}, false, false, false, true},
		{"same and other, replaced in place", []string{same, other}, true, true, false, true},
		{"others only", []string{other, third}, true, false, false, false},
		{"others only, nothing heard", []string{other, third}, false, false, false, false},
		{"others only, replaced in place", []string{other, third}, true, true, false, false},
		{"others only, replaced in place, heedless", []string{other, third}, true, true, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			set := twoWorkspaces()
			set.Classes[0].First = time.Second // so that a stream soon stops waiting for its engine's return
			system := startSystem(t, set, engines(3))
			running := system.open(t, hawkerKey, "300")
			var own *engine.Server
			var others []*engine.Server
			for _, one := range system.Engines {
				if one.Stats().Begun > 0 {
					own = one
				} else {
					others = append(others, one)
				}
			}
			replace := func() {
				for i, one := range others {
					one.Switch(engine.Switches{Weights: c.others[i], Heedless: c.heedless})
				}
			}
			if !c.inPlace {
				replace()
			}
			if c.heard {
				// More than one engine has slots for.
				var done []<-chan answer
				for range 2 * system.Slots {
					done = append(done, system.complete(hawkerKey, "20"))
				}
				for _, one := range done {
					require.NoError(t, (<-one).err)
				}
				require.Positive(t, others[0].Stats().Begun)
				require.Positive(t, others[1].Stats().Begun)
			}
			replace()
			begun := []int{others[0].Stats().Begun, others[1].Stats().Begun}
			own.Switch(engine.Switches{Crash: time.Minute})
			err := running.rest()
			for i, one := range others {
				if c.others[i] != same && !c.heedless {
					require.Equal(t, begun[i], one.Stats().Begun, "turned away, not run")
				}
			}
			if !c.whole {
				require.ErrorIs(t, err, errBroken)
				return
			}
			require.NoError(t, err)
			require.NoError(t, word.Check(running.response.Header.Get(wire.RequestID), running.text.String(), 300))
		})
	}
}

// Guards against a stream that goes on at its own engine after that has replaced its weights.
func TestBrokenStreamDoesNotGoOnAtItsEnginesNewWeights(t *testing.T) {
	t.Parallel()
	set := twoWorkspaces()
	set.Classes[0].First = time.Second
	system := startSystem(t, set, engines(1))
	running := system.open(t, hawkerKey, "300")
	system.Engines[0].Switch(engine.Switches{Weights: "garland=2", Truncate: 1})
	require.ErrorIs(t, running.rest(), errBroken)
	require.Equal(t, 1, system.Engines[0].Stats().Begun)
}
