package origins

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chicoryrock/chicoryrock/internal/state/origin"
)

// Guards against a front that stops as a request is sent while the list of servers changes.
func TestMembersAreCountedWithoutTheLock(t *testing.T) {
	software := origin.Software{Service: "s", Version: "v1"}
	o := New()
	o.Members = func() int {
		done := make(chan struct{})
		go func() {
			o.MayBegin(software.Service, software.Version)
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			assert.Fail(t, "the lock is held")
		}
		return 1
	}
	o.Send(time.Now(), "w", "r", software)
}
