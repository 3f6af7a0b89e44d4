package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"testing"
)

// Whatever another process sends as a message is refused, or is one.
func FuzzReadObject(f *testing.F) {
	framed := func(data []byte) []byte { return append(binary.AppendUvarint(nil, uint64(len(data))), data...) }
	packed, err := Pack(bytes.Repeat([]byte(`{"a":1}`), 1))
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{framed([]byte(`{"a":1}`)), framed(packed), framed(packed[:4]), {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, framed(nil), {0x7f}} {
		f.Add(seed)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var object any
		// An error is as good as a message; only a panic is not.
		_ = codec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &object)
	})
}
