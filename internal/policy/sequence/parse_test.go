package sequence

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// seen is what a caller makes of a block in the midst of a stream (WHATWG HTML, section
// 9.2.6): the last event ID, if the block sets it, and whether it dispatches an event.
func seen(block string) (id string, set, dispatched bool) {
	block = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(block)
	data := ""
	for line := range strings.SplitSeq(block, "\n") {
		if line == "" {
			if data != "" {
				dispatched = true
			}
			data = ""
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			if !strings.Contains(value, "\x00") {
				id, set = value, true
			}
		case "data":
			data += value + "\n"
		}
	}
	return id, set, dispatched
}

// Guards against an event being taken for another one than its caller sees.
func TestParseReadsWhatCallersSee(t *testing.T) {
	lines := []string{
		"id: 7", "id:7", "id:  7", "id: 7 ", "id:\t7", "id: 7\u00a0", "id", "id:", "id: 7\x00", "\ufeffid: 7", "\ufeffdata: x", "ID: 7", " id: 7", "id : 7",
		"data: x", "data", "data:", ":", ": x", "event: e", "retry: 1", "weight-versions: 2", "id: 8", "id: 7\rid: 9", "data: x\r",
	}
	for _, a := range lines {
		for _, b := range append(lines, "") {
			for _, eol := range []string{"\n", "\r\n"} {
				block := a + eol
				if b != "" {
					block += b + eol
				}
				block += eol
				event, err := parse([]byte(block))
				if err != nil {
					continue
				}
				id, _, dispatched := seen(block)
				// Space around an ID doesn't outlive the header that it comes back in.
				if !strings.Contains(block, "\x00") {
					require.Equal(t, strings.TrimSpace(id), event.ID, "%q", block)
				}
				require.Equal(t, dispatched, event.Data, "%q", block)
			}
		}
	}
}

// Guards against a block that callers read in another way as it stands in the midst of a stream.
func TestMarkInTheMidstIsNoPartOfAField(t *testing.T) {
	s := &Stream{}
	require.NoError(t, s.Begin(events))
	_, err := play(s, "\ufeffid: 1\ndata: x\n\n")
	require.NoError(t, err)
	_, err = play(s, "\ufeffid: 2\ndata: x\n\n")
	require.ErrorIs(t, err, ErrMalformed)
}
