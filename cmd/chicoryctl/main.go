// Command chicoryctl is the operators' program: it checks folders of
// declarations and publishes them.
package main

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/ctl"
	"github.com/chicoryrock/chicoryrock/platform"
)

// storeTimeout bounds the wait for one answer of the store.
const storeTimeout = 5 * time.Second

func main() {
	// The HTTP library would log each call to the standard output, into the JSON
	// that a pipeline reads there.
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &ctl.Env{
		In:      os.Stdin,
		Out:     os.Stdout,
		Err:     os.Stderr,
		Environ: os.Environ(),
		Now:     time.Now,
		Connect: func(address netip.AddrPort) chicoryrock.Store {
			return &platform.Store{Address: address, Timeout: storeTimeout}
		},
	}
	code := ctl.Run(ctx, env, os.Args[1:])
	stop()
	os.Exit(code)
}
