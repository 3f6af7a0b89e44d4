package assembly

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/state/origin"
)

// A front that is killed right after a stream's first event leaves the stream's version behind.
func TestStreamsAreRecordedBeforeTheirFirstEvent(t *testing.T) {
	const streams, firstEvent = 8, 400 * time.Millisecond
	d := deploy(t)
	d.configure(2, "k1")
	for i, version := range []string{"v1", "v2"} {
		answer := versioned(version, 6, never)
		d.addVersion(fmt.Sprintf("i-%d", i), version, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(firstEvent)
			answer(w, r)
		})
	}
	d.settle(2, 2)
	require.Eventually(t, func() bool {
		return d.front.origins.MayBegin("llm", "v1") && d.front.origins.MayBegin("llm", "v2")
	}, waitTime, time.Millisecond)
	for n := range streams {
		id := fmt.Sprintf("s%d", n)
		versions, _ := versionsOf(d.begin(id, 1))
		entry, err := d.store.Get(t.Context(), "stream/"+origin.KeyOf("w1", id).String())
		require.NoError(t, err, "stream %d has no record", n)
		recorded, err := origin.ParseValue(origin.Key{}, entry.Value)
		require.NoError(t, err)
		require.True(t, versions[recorded.Version], "stream %d of %v is recorded as %s", n, versions, recorded.Version)
	}
}
