// Package peer carries calls between the system's own processes: JSON-RPC 2.0
// over TCP, by mutual TLS unless the settings allow plain connections. Messages
// are limited in size, calls in time, and what waits on a slow peer in number.
package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// maxMessage is the largest message taken or sent, in bytes.
	maxMessage = 8 << 20
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 10 * time.Second
)

// codec frames each message by its length as an unsigned varint. A length above
// the limit ends the connection before anything is read for it.
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
	data := make([]byte, length)
	if _, err := io.ReadFull(stream, data); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(json.Unmarshal(data, object))
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
