package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// framed returns a message as it goes over a connection.
func framed(t *testing.T, message string) []byte {
	t.Helper()
	var frame bytes.Buffer
	require.NoError(t, codec{}.WriteObject(&frame, json.RawMessage(message)))
	return frame.Bytes()
}

// answering returns the address of a peer that writes bytes to the first message on each
// connection and closes it, or resets it.
func answering(t *testing.T, data []byte, reset bool) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var asked json.RawMessage
		_ = codec{}.ReadObject(bufio.NewReader(conn), &asked)
		_, _ = conn.Write(data)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// ask calls a peer that answers once.
func ask(t *testing.T, data []byte, reset, pieces bool) (got string, err error) {
	t.Helper()
	client := &Client{Address: answering(t, data, reset)}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got = "nothing"
	if pieces {
		_, err = client.CallInPieces(ctx, 10*time.Second, "long", nil, &got)
	} else {
		err = client.Call(ctx, "long", nil, &got)
	}
	require.NoError(t, ctx.Err())
	return got, err
}

const result = `{"jsonrpc":"2.0","id":0,"result":%s}`

// Guards against answers of peers that are cut at any byte and count as whole.
func TestCutAnswersOfPeers(t *testing.T) {
	long := strings.Repeat("garland ", leastPacked/8)
	packed, err := Pack([]byte(`"fine"`))
	require.NoError(t, err)
	piece, err := json.Marshal(pieceResult{Size: len(packed), Data: packed})
	require.NoError(t, err)
	cases := []struct {
		name, result, want string
		pieces             bool
	}{
		{"short", `"fine"`, "fine", false},
		{"compressed", `"` + long + `"`, long, false},
		{"short one in pieces", `{"whole":"fine"}`, "fine", true},
		{"piece", string(piece), "fine", true},
	}
	for _, c := range cases {
		data := framed(t, fmt.Sprintf(result, c.result))
		for cut := range data {
			got, err := ask(t, data[:cut], cut%2 == 0, c.pieces)
			require.Error(t, err, "%s, %d of %d bytes", c.name, cut, len(data))
			require.Equal(t, "nothing", got, c.name)
		}
		got, err := ask(t, data, false, c.pieces)
		require.NoError(t, err, c.name)
		require.Equal(t, c.want, got, c.name)
	}
}

// Guards against answers of peers that hold no result and pass for an empty one.
func TestAnswersOfPeersWithoutAResult(t *testing.T) {
	cases := []struct {
		name    string
		message string
		pieces  bool
	}{
		{"null", fmt.Sprintf(result, "null"), false},
		{"null in pieces", fmt.Sprintf(result, "null"), true},
		{"a whole null in pieces", fmt.Sprintf(result, `{"whole":null}`), true},
		{"nothing in pieces", fmt.Sprintf(result, "{}"), true},
		{"no result", `{"jsonrpc":"2.0","id":0}`, false},
		{"an empty message", "{}", false},
		{"null for a message", "null", false},
		{"another type", fmt.Sprintf(result, "{}"), false},
		{"another call's answer", `{"jsonrpc":"2.0","id":1,"result":"fine"}`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ask(t, framed(t, c.message), false, c.pieces)
			require.Error(t, err)
			require.Equal(t, "nothing", got)
			require.NotErrorIs(t, err, chicoryrock.ErrUnavailable, "it may have run")
		})
	}
	message := fmt.Sprintf(result, `"fine"`)
	for _, data := range [][]byte{
		append(binary.AppendUvarint(nil, uint64(2*len(message))), message+message...),
		append(binary.AppendUvarint(nil, uint64(len(message)+1)), message+"x"...),
		[]byte("HTTP/1.1 200 OK\r\n\r\n"),
		append([]byte("HTTP/1.1 000 X\r\nX-A : 1\r\n\r\n"), framed(t, message)...),
	} {
		_, err := ask(t, data, false, false)
		require.Error(t, err, "%q", data)
	}
}
