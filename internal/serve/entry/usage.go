package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/usage"
)

// UsageCounter counts the entry's end of each request.
type UsageCounter interface {
	Add(key usage.Key, counts usage.Counts)
}

// used is what one attempt used, as the entry sees it.
type used struct {
	window usage.Window
	counts usage.Counts
}

// stampUsage tells the agent under which key to count the attempt.
func (c *call) stampUsage(now time.Time, header http.Header) {
	c.used = used{window: usage.WindowAt(now, c.entry.Settings.Window)}
	header.Set(wire.Process, c.entry.Process)
	header.Set(wire.Window, strconv.FormatInt(int64(c.used.window), 10))
}

// countUsage counts an attempt that has ended, whole or broken. An agent that did
// not name its process let nothing through to its backend server.
func (c *call) countUsage(header http.Header) {
	agent := header.Get(wire.Process)
	if agent == "" {
		return
	}
	c.entry.Usage.Add(usage.Key{
		Entry:     c.entry.Process,
		Agent:     agent,
		Workspace: c.request.Workspace,
		Window:    c.used.window,
	}, c.used.counts)
}

// noteWhole notes the usage of an answer that is no stream.
func (c *call) noteWhole(status int, body []byte) {
	if stated, billed := wire.WholeUsage(c.r.URL.Path, status, body); billed {
		c.used.counts = usage.Counts{Requests: 1, PromptTokens: int64(stated.Prompt), OutputTokens: int64(stated.Output)}
	}
}
