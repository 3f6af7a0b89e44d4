package front

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// blockReader reads an event stream: blocks of lines, each up to a blank one.
type blockReader struct {
	reader *bufio.Reader
	within bool // the line under way has begun
}

func newBlockReader(stream io.Reader) *blockReader {
	return &blockReader{reader: bufio.NewReaderSize(stream, 4<<10)}
}

// read appends the next bytes of a block, at most a line, and reports whether it is whole.
func (r *blockReader) read(block []byte) (_ []byte, whole bool, err error) {
	piece, err := r.reader.ReadSlice('\n')
	whole = err == nil && !r.within && len(bytes.TrimRight(piece, "\r\n")) == 0
	if r.within = errors.Is(err, bufio.ErrBufferFull); r.within {
		err = nil
	}
	return append(block, piece...), whole, err
}
