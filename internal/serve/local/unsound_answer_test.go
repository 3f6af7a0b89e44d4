package local

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
)

// kindOfCall is a call of each kind, with a sound answer.
type kindOfCall struct {
	name, path, body string
	again            bool // it may run again
	answer, text     string
}

func kindsOfCalls() []kindOfCall {
	const completion = `{"choices":[{"text":"ab","finish_reason":"stop"}]}`
	pieces := []string{"a", "b", ".", "!"}
	return []kindOfCall{
		{"service", "/svc/status/a", "", true, answerOf(framed, ok, "text/plain", "lot 4"), "lot 4"},
		{"booking", "/svc/bookings/a", "", false, answerOf(framed, ok, "text/plain", "lot 4"), "lot 4"},
		{"completion", "/v1/completions", `{"model":"garland"}`, true, answerOf(framed, ok, "application/json", completion), completion},
		{"stream", "/v1/completions", asStream, true, streamed(framed, pieces...), completionChunks(pieces...)},
	}
}

// outcome is what a caller got of a call.
type outcome struct {
	status  int
	outcome string // as the answer states it
	text    string
	err     error // of reading it
}

func (s *System) call(t *testing.T, path, body string) outcome {
	t.Helper()
	response := s.send(t, 0, hawkerKey, http.MethodPost, path, body)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return outcome{response.StatusCode, response.Header.Get(wire.Outcome), string(text), err}
}

// expectUnsound expects that no byte of an answer reaches a caller: a call that may run again gets
// the answer of another server, any other that of an unknown outcome. A server that wrote it serves
// the next calls.
func expectUnsound(t *testing.T, spoil func(sound string) string) {
	system, script := startScripted(t, 4)
	expectUnsoundOf(t, system, script, spoil)
}

func expectUnsoundOf(t *testing.T, system *System, script *script, spoil func(sound string) string) {
	for _, c := range kindsOfCalls() {
		script.set(spoil(c.answer), c.answer)
		got := system.call(t, c.path, c.body)
		if !c.again {
			require.Equal(t, http.StatusBadGateway, got.status, "%s: %q", c.name, got.text)
			require.Equal(t, wire.OutcomeUnknown, got.outcome, c.name)
			require.Equal(t, 1, script.requests(), c.name)
			continue
		}
		require.Equal(t, outcome{http.StatusOK, "", c.text, nil}, got, c.name)
		require.Equal(t, 2, script.requests(), c.name)
	}
}

// Guards against unsound heads of agents that are believed: that a call has not run, or was preempted.
func TestUnsoundAnswersOfAgents(t *testing.T) {
	refusal := func(outcome string) func(string) string {
		return func(sound string) string {
			return withLine(ofStatus(sound, "503 Service Unavailable"), "X A: 1\r\n"+wire.Outcome+": "+outcome+"\r\n"+wire.Reason+": "+chicoryrock.ReasonQueueFull.String())
		}
	}
	cases := []struct {
		name  string
		spoil func(sound string) string
	}{
		{"status", func(sound string) string { return ofStatus(sound, "000 Broken") }},
		{"another answer behind a status", func(sound string) string { return "HTTP/1.1 042 X\r\nContent-Length: 0\r\n\r\n" + sound }},
		{"a name", func(sound string) string { return withLine(sound, "X-A : 1") }},
		{"a name in an interim head", func(sound string) string { return "HTTP/1.1 103 Early\r\nX A: 1\r\n\r\n" + sound }},
		{"a name beside not run", refusal(wire.OutcomeNotRun)},
		{"a name beside preempted", refusal(wire.OutcomePreempted)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			system, script := startScriptedAgents(t, 4)
			expectUnsoundOf(t, system, script, c.spoil)
		})
	}
}

// Guards against a refused answer of an agent that no line tells of.
func TestLogSaysWhatWasWrongWithAnAgentsAnswer(t *testing.T) {
	system, script := startScriptedAgents(t, 0)
	var log lockedBuffer
	system.Log = event.New(zapcore.WarnLevel, &log)
	require.NoError(t, system.StartEntry(&system.Centres[0]))
	system.show(&system.Centres[0], chicoryrock.VM{Name: "status-1", Role: member.RoleAgent, Pool: system.Service, Address: listen(t, script.serve)})
	require.NoError(t, system.awaitReady())
	script.set(withLine(answerOf(framed, ok, "text/plain", "lot 4"), "X-A : 1"))
	response := system.send(t, 1, hawkerKey, http.MethodPost, "/svc/bookings/a", "")
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Contains(t, log.String(), `"server":"status-1"`)
	require.Contains(t, log.String(), `field name \"X-A \"`)
}

// lockedBuffer is a buffer that is read while it is written to.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.String()
}

// Guards against a part of an agent's answer that passes for the whole of it. Agents state where
// their answers end; what doesn't is broken or comes from another process.
func TestResetUnderAnAgentsAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		size int // of the upload, bytes
		ends bool
	}{{"unread", 12 << 20, false}, {"unread, an end before the reset", 12 << 20, true}, {"in the kernel", 1 << 20, false}, {"in the kernel, an end before the reset", 1 << 20, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			system, script := startScriptedAgents(t, 1)
			script.setHasty(c.ends, answerOf(unframed, ok, "text/plain", "lot"))
			got := system.call(t, "/svc/bookings/a", strings.Repeat("x", c.size))
			require.Equal(t, http.StatusBadGateway, got.status, got.text)
			require.Equal(t, wire.OutcomeUnknown, got.outcome)
		})
	}
}

// Guards against answers that are refused for a name in their trailer: their last chunk shows that
// they are whole, and the field decides nothing.
func TestUnsoundNameInATrailerDecidesNothing(t *testing.T) {
	for _, start := range []func(*testing.T, int) (*System, *script){startScripted, startScriptedAgents} {
		system, script := start(t, 1)
		for _, line := range []string{"X A: 1", wire.Load + ` : {"slots":0,"running":9}`} {
			script.set(strings.Replace(answerOf(chunked, ok, "text/plain", "lot 4"), "0\r\n\r\n", "0\r\n"+line+"\r\n\r\n", 1))
			for range 3 {
				require.Equal(t, outcome{http.StatusOK, "", "lot 4", nil}, system.call(t, "/svc/bookings/a", ""), line)
			}
		}
	}
}

// Guards against broken answers of all servers that end as anything but an unknown outcome, and
// against servers that get no calls after one.
func TestUnsoundAnswersOfAllServers(t *testing.T) {
	for _, c := range kindsOfCalls() {
		for _, spoil := range []func(string) string{
			func(sound string) string { return ofStatus(sound, "000 Broken") },
			func(sound string) string { return withLine(sound, "X-A : 1") },
		} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				system, script := startScripted(t, 1)
				script.set(spoil(c.answer))
				got := system.call(t, c.path, c.body)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status, got.text)
				require.Equal(t, wire.OutcomeUnknown, got.outcome)
				script.set(c.answer)
				require.Equal(t, outcome{http.StatusOK, "", c.text, nil}, system.call(t, c.path, c.body))
			})
		}
	}
}

// ofStatus returns an answer with another status.
func ofStatus(answer, status string) string { return strings.Replace(answer, ok, status, 1) }

// withLine returns an answer with one more line in its head.
func withLine(answer, line string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+line+"\r\n", 1)
}

// Guards against answers whose status is none that are passed on, or end the handler.
func TestAnswerOfNoStatusIsNotPassedOn(t *testing.T) {
	const empty = "HTTP/1.1 %s Broken\r\nContent-Length: 0\r\n\r\n"
	for _, status := range []string{"000", "042", "099", "+20", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			expectUnsound(t, func(sound string) string { return ofStatus(sound, status+" Broken") })
		})
		t.Run(status+", another answer behind it", func(t *testing.T) {
			t.Parallel()
			expectUnsound(t, func(sound string) string { return fmt.Sprintf(empty, status) + sound })
		})
		t.Run(status+", another answer in its body", func(t *testing.T) {
			t.Parallel()
			expectUnsound(t, func(sound string) string { return answerOf(framed, status+" Broken", "", sound) })
		})
	}
	t.Run("a switch of protocols", func(t *testing.T) {
		t.Parallel()
		expectUnsound(t, func(sound string) string {
			return "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + sound
		})
	})
}

// Guards against answers with a field whose name is none that are passed on.
func TestAnswerWithUnsoundNameIsNotPassedOn(t *testing.T) {
	lines := []string{
		"X-A : 1", "X A: 1", "X\x00A: 1", "X\x07A: 1", "X\x7fA: 1", "X\tA: 1", "X\rA: 1", "X\x80A: 1", ": 1", "X(A: 1", "no colon", "X-A: \x00",
		"Content-Length : 2", "Transfer-Encoding : chunked", wire.Limit + " : 0.01", wire.RequestID + " : other",
	}
	for _, line := range lines {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			expectUnsound(t, func(sound string) string { return withLine(sound, line) })
		})
	}
	t.Run("in an interim head", func(t *testing.T) {
		t.Parallel()
		expectUnsound(t, func(sound string) string { return "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\n" + sound })
	})
	t.Run("behind too many interim heads", func(t *testing.T) {
		t.Parallel()
		expectUnsound(t, func(sound string) string { return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 9) + sound })
	})
	t.Run("in a failure", func(t *testing.T) {
		t.Parallel()
		expectUnsound(t, func(sound string) string { return withLine(ofStatus(sound, "500 Internal Server Error"), "X A: 1") })
	})
	t.Run("in a refusal of weights", func(t *testing.T) {
		t.Parallel()
		expectUnsound(t, func(sound string) string { return withLine(ofStatus(sound, "421 Misdirected Request"), "X A: 1") })
	})
}

// Guards against sound heads that are refused, as they are unusual.
func TestUnusualHeadsPass(t *testing.T) {
	system, script := startScripted(t, 1)
	for _, c := range kindsOfCalls() {
		for _, answer := range []string{
			withLine(c.answer, "!#$%&'*+-.^_`|~0aZ: 1"), withLine(c.answer, "x: "), withLine(c.answer, "X-A: 1\r\n X-B: 2"),
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + c.answer,
		} {
			script.set(answer)
			require.Equal(t, outcome{http.StatusOK, "", c.text, nil}, system.call(t, c.path, c.body), "%s: %q", c.name, answer)
			require.Equal(t, 1, script.requests())
		}
	}
}

// Guards against a part of an answer that passes for the whole of it: an early answer to a long
// upload that doesn't state its end, and a reset of the connection.
func TestResetOfAnUploadEndsNoAnswer(t *testing.T) {
	const long, short = 12 << 20, 1 << 20 // more than what the kernel takes unread, and less
	cases := []struct {
		name, status, kind, body string
		size                     int  // of the upload, bytes
		ends                     bool // before the reset
	}{
		{"text", ok, "text/plain", "lot", long, false},
		{"no type", ok, "", "lot", long, false},
		{"JSON", ok, "application/json", `{"lot":4}`, long, false},
		{"a refusal", "404 Not Found", "text/plain", "lot", long, false},
		{"a completion", ok, "application/json", `{"choices":[{"text":"ab","finish_reason":"stop"}]}`, long, false},
		{"events", ok, events, completionChunks("a", "b", ".", "!"), long, false},
		{"an end before the reset", ok, "text/plain", "lot", long, true},
		{"the rest in the kernel", ok, "text/plain", "lot", short, false},
		{"an end, and the rest in the kernel", ok, "text/plain", "lot", short, true},
	}
	for _, c := range cases {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(c.name+", "+version, func(t *testing.T) {
				t.Parallel()
				system, script := startScripted(t, 2)
				upload := strings.Repeat("x", c.size)
				early := version + strings.TrimPrefix(answerOf(unframed, c.status, c.kind, c.body), "HTTP/1.1")
				sound := answerOf(framed, ok, "text/plain", "lot 4")
				for range 3 {
					script.setHasty(c.ends, early, sound)
					got := system.call(t, "/svc/status/a", upload)
					require.Equal(t, outcome{http.StatusOK, "", "lot 4", nil}, got)
					require.Equal(t, 2, script.requests())
					script.setHasty(c.ends, early, sound)
					got = system.call(t, "/svc/bookings/a", upload)
					require.Equal(t, http.StatusBadGateway, got.status, got.text)
					require.Equal(t, wire.OutcomeUnknown, got.outcome)
					require.Equal(t, 1, script.requests())
				}
			})
		}
	}
}

// Guards against whole answers to long uploads that count as cut: early ones that state their end,
// though the upload isn't read, and others that don't, once it is.
func TestWholeAnswersToUploadsPass(t *testing.T) {
	upload := strings.Repeat("x", 12<<20)
	for _, path := range []string{"/svc/status/a", "/svc/bookings/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			system, script := startScripted(t, 1)
			for _, status := range []string{ok, "409 Conflict"} {
				for _, framing := range []int{framed, chunked, unframed} {
					answer := answerOf(framing, status, "text/plain", "lot 4")
					if framing == unframed {
						script.set(answer)
					} else {
						script.setHasty(false, answer)
					}
					got := system.call(t, path, upload)
					require.NoError(t, got.err)
					require.Contains(t, status, fmt.Sprint(got.status), answer)
					require.Equal(t, "lot 4", got.text, answer)
					require.Equal(t, 1, script.requests())
				}
			}
		})
	}
}
