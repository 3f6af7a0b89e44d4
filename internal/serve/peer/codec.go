// Package peer carries calls between the system's own processes: JSON-RPC 2.0
// over TCP, by mutual TLS unless the settings allow plain connections. Messages
// are limited in size, calls in time, and what waits on a slow peer in number.
package peer

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// maxMessage is the largest message taken or sent, in bytes.
	maxMessage = 8 << 20
	// leastPacked is the shortest message that is compressed, bytes: shorter ones fit
	// into a packet or two as they are.
	leastPacked = 2 << 10
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 10 * time.Second
)

// codec frames each message by its length as an unsigned varint. A length above
// the limit ends the connection before anything is read for it. Long messages are
// compressed: configurations and lists of servers shrink to a tenth.
type codec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return errors.WithStack(err)
	}
	if len(data) > maxMessage {
		return errors.Wrapf(chicoryrock.ErrInvalid, "message of %d bytes", len(data))
	}
	if len(data) >= leastPacked {
		if data, err = Pack(data); err != nil {
			return err
		}
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data)))
	_, err = stream.Write(append(frame, data...))
	return errors.WithStack(err)
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(stream *bufio.Reader, object any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessage {
		return errors.Wrapf(chicoryrock.ErrInvalid, "message of %d bytes", length)
	}
	// The room grows with what comes: a length alone claims none.
	data, err := io.ReadAll(io.LimitReader(stream, int64(length)))
	if err != nil {
		return errors.WithStack(err)
	}
	if uint64(len(data)) < length {
		return errors.WithStack(io.ErrUnexpectedEOF)
	}
	if bytes.HasPrefix(data, packedMark) {
		if data, err = Unpack(data); err != nil {
			return err
		}
	}
	return errors.WithStack(json.Unmarshal(data, object))
}

// packedMark begins what is compressed, and no JSON.
var packedMark = []byte{0x1f, 0x8b}

// packers are kept, as one takes a megabyte.
var packers = sync.Pool{New: func() any {
	// The level is one of the package's own.
	packer, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	return packer
}}

// Pack compresses data.
func Pack(data []byte) ([]byte, error) {
	packer := packers.Get().(*gzip.Writer)
	defer packers.Put(packer)
	var packed bytes.Buffer
	packer.Reset(&packed)
	if _, err := packer.Write(data); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := packer.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return packed.Bytes(), nil
}

// Unpack undoes Pack, up to the largest message. Error: chicoryrock.ErrInvalid, or that of a
// reader of gzip.
func Unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxMessage+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(data) > maxMessage {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "message of more than %d bytes", maxMessage)
	}
	return data, nil
}

// deadlineConn gives each write its own deadline, so that a peer that does not
// read cannot hold a writer for ever.
type deadlineConn struct {
	net.Conn
}

func (c deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.WithStack(err)
	}
	return c.Conn.Write(data)
}
