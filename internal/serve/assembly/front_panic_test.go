package assembly

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An unexpected error in the midst of a request ends just that request, with nothing
// that looks like an answer, and leaves nothing of it behind.
func TestFrontOutlivesAPanic(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	d.add("i-1", "app", fine)
	d.settle(1, 1)
	began := d.front.front.Began
	d.front.front.Began = func(time.Time, string) { panic("unexpected") }
	for _, id := range []string{"p1", "p2", "p3"} {
		require.Error(t, d.send("GET", "/read/x", id, "k1", "").err)
	}
	require.Eventually(t, func() bool { return d.front.front.Gate.Open("app") == 0 }, waitTime, time.Millisecond)
	d.front.front.Began = began
	require.Equal(t, http.StatusOK, d.send("GET", "/read/x", "p4", "k1", "").status)
	require.Equal(t, http.StatusOK, d.ready())
}
