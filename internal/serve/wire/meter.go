package wire

import (
	"bytes"
)

// maxMeterLine bounds what the meter holds of one line, bytes. A longer line is
// counted but not read for usage.
const maxMeterLine = 64 << 10

var lineEnd = []byte("\n")

// StreamMeter passes through the whole lines of a stream of events that are fit
// to be relayed, and counts its tokens. Comments of the backend server are left
// out, since comments speak for the agent.
type StreamMeter struct {
	rest []byte // the beginning of a line whose end has not come yet
	Last Usage  // usage as the engine stated it, zero if it did not
}

// Feed takes in a piece of the stream and returns what is to be relayed and how
// many tokens it carries. The slice is valid until the next call.
func (m *StreamMeter) Feed(piece []byte) (relay []byte, tokens int) {
	m.rest = append(m.rest, piece...)
	end := bytes.LastIndexByte(m.rest, '\n')
	if end < 0 {
		return nil, 0
	}
	whole := m.rest[:end+1]
	for line := range bytes.Lines(whole) {
		if bytes.HasPrefix(line, []byte(":")) {
			continue
		}
		tokens += m.count(line)
		relay = append(relay, line...)
	}
	m.rest = append(m.rest[:0], m.rest[end+1:]...)
	return relay, tokens
}

func (m *StreamMeter) count(line []byte) int {
	data, found := bytes.CutPrefix(line, dataPrefix)
	if !found {
		return 0
	}
	data = bytes.TrimSpace(bytes.TrimSuffix(data, lineEnd))
	if bytes.Equal(data, doneData) || len(data) > maxMeterLine {
		return 0
	}
	chunk, err := ParseChunk(data)
	if err != nil {
		return 0
	}
	if chunk.Usage != nil {
		m.Last = *chunk.Usage
	}
	return chunk.Tokens()
}
