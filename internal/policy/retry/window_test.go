package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
)

// Guards against more retries in some span of the window's length than its calls allow,
// however calls and retries are spread. The oracle counts each span that ends with a retry.
func TestBudgetKeepsToEachWindow(t *testing.T) {
	const length = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.Budget{Ratio: 0.14, Burst: 3, Window: length, Saved: rapid.SampledFrom([]float64{0, 1.5}).Draw(t, "saved")}
		now := start
		var calls, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 700, 9000, 15000}).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "call") {
				budget.Deposit(now)
				calls = append(calls, now)
				continue
			}
			withdraw := budget.TryWithdraw
			if rapid.Bool().Draw(t, "interrupted") {
				withdraw = budget.TryWithdrawInterrupted
			}
			if !withdraw(now) {
				continue
			}
			retries = append(retries, now)
			within := func(times []time.Time) (count int) {
				for _, at := range times {
					if now.Sub(at) < length {
						count++
					}
				}
				return count
			}
			assert.LessOrEqual(t, float64(within(retries)), 0.14*float64(within(calls))+3)
		}
	})
}

// Guards against requests that a crash has interrupted being lost for want of a budget that
// their process has earned: a bucket that saves up one retry served the first of them only.
func TestBudgetCoversACrash(t *testing.T) {
	budget := retry.Budget{Ratio: 0.14, Burst: 1, Window: 10 * time.Second, Saved: 1}
	for i := range 110 {
		budget.Deposit(start.Add(time.Duration(i) * 90 * time.Millisecond))
	}
	granted := 0
	for range 20 {
		if budget.TryWithdrawInterrupted(start.Add(10 * time.Second)) {
			granted++
		}
	}
	assert.GreaterOrEqual(t, granted, 14)
	assert.False(t, budget.TryWithdrawInterrupted(start.Add(11*time.Second)), "they are spent for the rest of the window")
	assert.False(t, budget.TryWithdraw(start.Add(11*time.Second)))
}
