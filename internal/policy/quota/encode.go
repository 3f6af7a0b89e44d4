package quota

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// FormatVersion is the first byte of an encoded message. It differs from that of the
	// reports of package fleet, which go to the same port.
	FormatVersion = 0x51
	// maxNameLength is the longest name of a process, bytes.
	maxNameLength = 255
	// maxEntries is how many entries a message holds.
	maxEntries = 128
	// maxPermits is how many permits an entry holds, wanted or issued. The rest are left
	// out: they are asked for again.
	maxPermits = 1<<8 - 1
	// entrySize is the encoded size of an entry, bytes.
	entrySize = 8 + 8 + 4 + 1 + 1 + 4 + 1 + 2
	// maxMs is the longest encoded time, milliseconds.
	maxMs = 1<<16 - 1
)

// Flags of an encoded entry.
const (
	flagAsks = 1 << iota
	flagPledges
)

// Append appends the encoded message to data.
func (m *Message) Append(data []byte) []byte {
	name := m.From[:min(len(m.From), maxNameLength)]
	data = append(data, FormatVersion, byte(len(name)))
	data = append(data, name...)
	data = binary.BigEndian.AppendUint32(data, m.Number)
	data = binary.BigEndian.AppendUint16(data, uint16(min(max(m.Members, 0), 1<<16-1)))
	for i := range m.Entries {
		data = m.Entries[i].append(data)
	}
	return data
}

func (e *Entry) append(data []byte) []byte {
	flags := byte(0)
	if e.Asks {
		flags |= flagAsks
	}
	if e.Pledges {
		flags |= flagPledges
	}
	data = binary.BigEndian.AppendUint64(data, e.Server)
	data = binary.BigEndian.AppendUint64(data, math.Float64bits(e.Limit))
	data = binary.BigEndian.AppendUint32(data, uint32(min(max(e.Age.Milliseconds(), 0), math.MaxUint32)))
	data = append(data, flags, byte(min(max(e.Wanted, 0), maxPermits)))
	data = binary.BigEndian.AppendUint32(data, math.Float32bits(float32(e.Rate)))
	data = append(data, byte(min(max(e.Permits, 0), maxPermits)))
	return binary.BigEndian.AppendUint16(data, encodeMs(e.Interval))
}

func encodeMs(d time.Duration) uint16 { return uint16(min(max(d.Milliseconds(), 0), maxMs)) }

// Parse decodes a message. Error: chicoryrock.ErrInvalid.
func Parse(data []byte) (Message, error) {
	const fixed = 4 + 2
	if len(data) < 2 || data[0] != FormatVersion || len(data) < 2+int(data[1])+fixed {
		return Message{}, errors.Wrapf(chicoryrock.ErrInvalid, "malformed message on limits of %d bytes: too short, or of another format version", len(data))
	}
	name, rest := data[2:2+int(data[1])], data[2+int(data[1]):]
	m := Message{From: string(name), Number: binary.BigEndian.Uint32(rest), Members: int(binary.BigEndian.Uint16(rest[4:]))}
	rest = rest[fixed:]
	if len(rest)%entrySize != 0 || len(rest) > maxEntries*entrySize {
		return Message{}, errors.Wrapf(chicoryrock.ErrInvalid, "%d bytes are no whole entries on limits", len(rest))
	}
	for ; len(rest) > 0; rest = rest[entrySize:] {
		e, err := parseEntry(rest)
		if err != nil {
			return Message{}, err
		}
		m.Entries = append(m.Entries, e)
	}
	return m, nil
}

func parseEntry(data []byte) (Entry, error) {
	e := Entry{
		Server:   binary.BigEndian.Uint64(data),
		Limit:    math.Float64frombits(binary.BigEndian.Uint64(data[8:])),
		Age:      time.Duration(binary.BigEndian.Uint32(data[16:])) * time.Millisecond,
		Asks:     data[20]&flagAsks != 0,
		Pledges:  data[20]&flagPledges != 0,
		Wanted:   int(data[21]),
		Rate:     float64(math.Float32frombits(binary.BigEndian.Uint32(data[22:]))),
		Permits:  int(data[26]),
		Interval: time.Duration(binary.BigEndian.Uint16(data[27:])) * time.Millisecond,
	}
	if e.Limit != chicoryrock.Unlimited && !(e.Limit >= minRate && e.Limit <= maxRate) || !(e.Rate >= 0 && e.Rate <= maxRate) {
		return Entry{}, errors.Wrapf(chicoryrock.ErrInvalid, "a limit of %g or a rate of %g requests a second", e.Limit, e.Rate)
	}
	return e, nil
}
