package assembly

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// Guards against a run that goes on from its copy with another body than its caller's.
func TestRunGoesOnFromItsCopyWithItsBody(t *testing.T) {
	for _, size := range []int{100, 70 << 10} {
		d := deploy(t)
		d.configureWith(1, func(config string) string {
			return strings.Replace(sample.Copied(config), `"maxBodyBytes":10000`, `"maxBodyBytes":1000000`, 1)
		})
		lengths := make(chan int64, 4)
		answer := func(w http.ResponseWriter, r *http.Request, crash func()) {
			lengths <- r.ContentLength
			text := headOf(eventsType, inChunkedCoding) + open(numbered(1, 2)+"id: 3")
			if r.Header.Get(sample.FromCopy) != "" {
				text, crash = headOf(eventsType, inChunkedCoding)+chunked(numbered(3, 4)), func() {}
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", "x1"))
			crash()
			_ = conn.Close()
		}
		d.addMortal("i-1", answer)
		d.addMortal("i-2", answer)
		d.settle(1, 2)
		request := d.request(t.Context(), "POST", "/short/", "x1", "k1", strings.Repeat("b", size))
		request.Header.Set(sample.Tokens, "600,300")
		got := d.do(request)
		require.NoError(t, got.err)
		require.Equal(t, numbered(1, 2, 3, 4), got.body)
		require.EqualValues(t, size, <-lengths)
		require.EqualValues(t, size, <-lengths, "at the server that has the copy")
	}
}
