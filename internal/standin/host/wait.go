package host

import (
	"context"
	"time"
)

// Wait sleeps for a time, or until the context ends.
func Wait(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
