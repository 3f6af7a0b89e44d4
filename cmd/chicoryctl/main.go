// Command chicoryctl is the operators' program: it checks folders of
// declarations and publishes them.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/ops/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &ctl.Env{
		Out:     os.Stdout,
		Err:     os.Stderr,
		Environ: os.Environ(),
		Now:     time.Now,
	}
	code := ctl.Run(ctx, env, os.Args[1:])
	stop()
	os.Exit(code)
}
