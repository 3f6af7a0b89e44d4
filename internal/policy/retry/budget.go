package retry

import (
	"time"
)

// Defaults of a Budget.
const (
	defaultShare = 0.1
	defaultBurst = 64
	defaultRate  = 1
)

// Budget bounds the retries of a process to a share of its fresh traffic. It is a
// token bucket that fresh calls fill. A small constant rate lets a process with
// little traffic retry at all, and the burst pays for the streams that one
// crashed replica breaks at once. It is not safe for concurrent use.
type Budget struct {
	Ratio    float64 // retries for each fresh call; 0 means 0.1
	Burst    float64 // most retries that are saved up; 0 means 64
	BaseRate float64 // retries a second without any traffic; 0 means 1

	spent float64 // of the burst
	seen  time.Time
}

// Deposit counts one call that came from a caller.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.spent = max(b.spent-or(b.Ratio, defaultShare), 0)
}

// Balance returns how many retries are left.
func (b *Budget) Balance(now time.Time) float64 {
	b.refill(now)
	return b.burst() - b.spent
}

// TryWithdraw uses up one retry, or says that none is left.
func (b *Budget) TryWithdraw(now time.Time) bool {
	if b.Balance(now) < 1 {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) burst() float64 { return or(b.Burst, defaultBurst) }

func (b *Budget) refill(now time.Time) {
	if !b.seen.IsZero() && now.After(b.seen) {
		b.spent = max(b.spent-or(b.BaseRate, defaultRate)*now.Sub(b.seen).Seconds(), 0)
	}
	if now.After(b.seen) {
		b.seen = now
	}
}

func or(value, other float64) float64 {
	if value == 0 {
		return other
	}
	return value
}
