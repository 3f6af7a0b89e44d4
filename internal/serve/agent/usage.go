package agent

import (
	"net/http"
	"strconv"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/usage"
)

// maxCounted is the largest whole answer that is read for its usage, in bytes.
const maxCounted = 64 << 20

// UsageCounter counts the agent's end of each request.
type UsageCounter interface {
	Add(key usage.Key, counts usage.Counts)
}

// meter finds out what an answer used while it is passed on.
type meter struct {
	path   string
	status int
	body   []byte // of an answer that is no stream
	stream wire.StreamMeter
	output int64 // tokens passed on in a stream
	whole  bool  // the answer ended as it should
}

// counts returns what the answer used, in the same way as the entry counts it.
func (m *meter) counts(streamed bool) usage.Counts {
	if streamed {
		counts := usage.Counts{PromptTokens: int64(m.stream.Last.Prompt), OutputTokens: m.output}
		if m.whole {
			counts.Requests = 1
		}
		return counts
	}
	stated, billed := wire.WholeUsage(m.path, m.status, m.body)
	if !m.whole || !billed || len(m.body) > maxCounted {
		return usage.Counts{}
	}
	return usage.Counts{Requests: 1, PromptTokens: int64(stated.Prompt), OutputTokens: int64(stated.Output)}
}

// keep holds the piece of a whole answer until its end.
func (m *meter) keep(piece []byte) {
	if len(m.body) <= maxCounted {
		m.body = append(m.body, piece...)
	}
}

// countUsage counts under the key that the entry gave. An entry that gave none is
// no process of the system, and cannot reach an agent but under the setting
// -plain.
func (v *visit) countUsage(counts usage.Counts) {
	entry := v.r.Header.Get(wire.Process)
	if entry == "" {
		return
	}
	v.agent.Usage.Add(usage.Key{
		Entry:     entry,
		Agent:     v.agent.Process,
		Workspace: v.request.Workspace,
		Window:    v.window(time.Now()),
	}, counts)
}

// window returns the window that the entry stated, or the current one if that
// makes no sense.
func (v *visit) window(now time.Time) usage.Window {
	current := usage.WindowAt(now, v.agent.Settings.Window)
	stated, err := strconv.ParseInt(v.r.Header.Get(wire.Window), 10, 64)
	window := usage.Window(stated)
	if err != nil || window > current+1 || current-window > usage.MaxLateWindows {
		return current
	}
	return window
}

// stampUsage names the agent's process to the entry, which counts the other end.
func (v *visit) stampUsage(header http.Header) { header.Set(wire.Process, v.agent.Process) }
