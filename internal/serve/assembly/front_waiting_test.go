package assembly

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// lines keeps what a log writes.
type lines struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(p)
}

// line returns the last line that holds a text, once there is one.
func (l *lines) line(t *testing.T, text string) (found string) {
	t.Helper()
	require.Eventually(t, func() bool {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		for line := range strings.Lines(l.text.String()) {
			if strings.Contains(line, text) {
				found = line
			}
		}
		return found != ""
	}, waitTime, time.Millisecond)
	return found
}

// tells says whether a line holds all of some texts.
func (l *lines) tells(texts ...string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for line := range strings.Lines(l.text.String()) {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return true
		}
	}
	return false
}

// A configuration that comes while a request waits for a backend server holds for it:
// nothing runs with a key that has been withdrawn, under the name of a workspace that
// no longer has the key, or at a service to which the route no longer leads.
func TestConfigurationHoldsForWhatWaits(t *testing.T) {
	cases := []struct {
		name      string
		config    string
		status    int
		server    string // that runs the request
		workspace string // that the server is told
	}{
		{"nothing changes", sample.Config(2, "k1"), http.StatusOK, "i-app", "w1"},
		{"the key is withdrawn", sample.Config(2, "k2"), http.StatusUnauthorized, "", ""},
		{"the workspace is gone", sample.Owned(sample.Config(2, "k2"), "w2"), http.StatusUnauthorized, "", ""},
		{"the key has another workspace", sample.Owned(sample.Config(2, "k1"), "w2"), http.StatusOK, "i-app", "w2"},
		{"the route is gone", sample.Unread(sample.Config(2, "k1")), http.StatusNotFound, "", ""},
		{"the route has moved", sample.Moved(sample.Config(2, "k1")), http.StatusOK, "i-next", "w1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := &lines{}
			d := deployWith(t, func(front *Front) { front.Log = event.New(zapcore.InfoLevel, log) })
			d.configureWith(1, sample.Extended)
			servers := map[string]*backend{"i-app": d.add("i-app", "app", fine), "i-next": d.add("i-next", "next", fine)}
			d.settle(1, 2)
			answers := make(chan answered, 1)
			// What waits, waits at the gate: nothing passes while it is held.
			d.front.front.Gate.Change(func() {
				go func() { answers <- d.send("GET", "/read/x", "w1", "k1", "") }()
				require.Eventually(t, func() bool { return log.tells(event.Accepted.Text, `"w1"`) }, waitTime, time.Millisecond)
				table, err := platform.ReadConfig([]byte(sample.Extended(c.config)))
				require.NoError(t, err)
				require.True(t, d.front.front.Configure(table))
			})
			got := <-answers
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status, got.body)
			for name, server := range servers {
				if name != c.server {
					require.Zero(t, server.ran("w1"), name)
					continue
				}
				require.Equal(t, 1, server.ran("w1"), name)
				require.Equal(t, c.workspace, server.last().Header.Get(sample.Workspace))
			}
		})
	}
}
