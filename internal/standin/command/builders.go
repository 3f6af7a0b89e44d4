package command

import (
	"flag"
	"net/netip"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/intake"
	"github.com/chicoryrock/chicoryrock/internal/standin/orderer"
	"github.com/chicoryrock/chicoryrock/internal/standin/plain"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/internal/standin/vms"
	"github.com/chicoryrock/chicoryrock/internal/standin/weights"
)

// maker makes a stand-in once the flags are read.
type maker func(listen netip.AddrPort) (server, error)

// builders declare the flags of each stand-in.
var builders = map[string]func(*flag.FlagSet) maker{
	"store":   buildStore,
	"vms":     buildVMs,
	"engine":  buildEngine,
	"plain":   buildPlain,
	"orderer": buildOrderer,
	"intake":  buildIntake,
	"weights": buildWeights,
}

func buildStore(*flag.FlagSet) maker {
	return func(listen netip.AddrPort) (server, error) { return &store.Server{Listen: listen}, nil }
}

func buildPlain(*flag.FlagSet) maker {
	return func(listen netip.AddrPort) (server, error) { return &plain.Server{Listen: listen}, nil }
}

func buildIntake(*flag.FlagSet) maker {
	return func(listen netip.AddrPort) (server, error) { return &intake.Server{Listen: listen}, nil }
}

func buildVMs(flags *flag.FlagSet) maker {
	lag := flags.Duration("lag", 0, "time after which a change shows")
	return func(listen netip.AddrPort) (server, error) { return &vms.Server{Listen: listen, Lag: *lag}, nil }
}

func buildEngine(flags *flag.FlagSet) maker {
	made := &engine.Server{}
	flags.StringVar(&made.Model, "model", "garland", "model loaded at the start")
	flags.IntVar(&made.Slots, "slots", engine.DefaultSlots, "streams that run at full speed")
	flags.IntVar(&made.Batch, "batch", 0, "streams that run at once; 0 means as many as slots")
	flags.DurationVar(&made.Token, "token", engine.DefaultToken, "time of a token at full speed")
	flags.DurationVar(&made.Prefill, "prefill", 0, "time of a prompt token at full speed")
	flags.IntVar(&made.Output, "output", engine.DefaultOutput, "tokens of an answer without a limit")
	return func(listen netip.AddrPort) (server, error) {
		made.Listen = listen
		return made, nil
	}
}

func buildOrderer(flags *flag.FlagSet) maker {
	made := &orderer.Server{}
	flags.DurationVar(&made.Startup, "startup", time.Minute, "time from the order to the running backend server")
	flags.BoolVar(&made.Fence, "fence", false, "refuse orders with an old fencing number")
	flags.Float64Var(&made.Cost, "cost", 1, "money per backend server and hour")
	return func(listen netip.AddrPort) (server, error) {
		made.Listen = listen
		return made, nil
	}
}

func buildWeights(flags *flag.FlagSet) maker {
	made := &weights.Server{}
	flags.Int64Var(&made.Rate, "rate", 1<<30, "bytes per second, all readings together")
	text := flags.String("sizes", "", "bytes of each model's weights, e.g. garland=1000,lens=2000")
	return func(listen netip.AddrPort) (server, error) {
		all, err := sizes(*text)
		made.Listen, made.Sizes = listen, all
		return made, err
	}
}
