// Package pause waits, once or again and again.
package pause

import (
	"context"
	"time"
)

// For waits for a time, or until the context ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Every does something at each interval until the context ends.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			do(now)
		}
	}
}
