package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
)

// serving returns a server with one handler.
func serving(t *testing.T, handler Handler) *Server {
	server := &Server{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: event.NewNop(), Handlers: map[string]Handler{"long": handler}}
	address, err := server.Open()
	require.NoError(t, err)
	server.Listen = address
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	return server
}

// cutting returns the address of a way to a server that ends after so many bytes from there.
func cutting(t *testing.T, target netip.AddrPort, bytes int64) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			go func() { _, _ = io.Copy(out, in) }()
			go func() {
				_, _ = io.CopyN(in, out, bytes)
				_, _ = in.Close(), out.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// rubbish is what compresses badly.
func rubbish(length int) string {
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, length)
	for i := range text {
		text[i] = byte('0' + random.IntN(64))
	}
	return string(text)
}

// Guards against long answers that begin anew with each connection that is lost.
func TestPiecesOutliveConnections(t *testing.T) {
	want := rubbish(200 << 10)
	var runs atomic.Int32
	server := serving(t, func(context.Context, json.RawMessage) (any, error) {
		runs.Add(1)
		return want, nil
	})
	client := &Client{Address: cutting(t, server.Listen, 50<<10)}
	defer client.Close()
	var got string
	calls := 0
	require.Eventually(t, func() bool {
		calls++
		_, err := client.CallInPieces(t.Context(), time.Second, "long", 7, &got)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, want, got)
	require.Greater(t, calls, 2)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against an answer that is made anew for each call that its making outlasts.
func TestSlowAnswerIsMadeOnce(t *testing.T) {
	var runs atomic.Int32
	var ended atomic.Int64
	server := serving(t, func(context.Context, json.RawMessage) (any, error) {
		runs.Add(1)
		time.Sleep(300 * time.Millisecond)
		ended.Store(time.Now().UnixNano())
		return rubbish(40 << 10), nil
	})
	client := &Client{Address: server.Listen}
	defer client.Close()
	var got string
	var made time.Time
	require.Eventually(t, func() bool {
		var err error
		made, err = client.CallInPieces(t.Context(), 100*time.Millisecond, "long", 7, &got)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 1, runs.Load())
	require.Less(t, made.UnixNano(), ended.Load(), "its ages count from before it was sent")
}

func TestFormerBuildAnswersAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	former := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
		if request.Method != "long" {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
		}
		return rubbish(100 << 10), nil
	})
	go func() {
		if conn, err := listener.Accept(); err == nil {
			jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, codec{}), former)
		}
	}()
	client := &Client{Address: netip.MustParseAddrPort(listener.Addr().String())}
	defer client.Close()
	var got string
	_, err = client.CallInPieces(t.Context(), time.Second, "long", 7, &got)
	require.NoError(t, err)
	require.Len(t, got, 100<<10)
}

func TestKeptAnswersAreBounded(t *testing.T) {
	var a answers
	now := time.Now()
	begin := func(at time.Time, id uint64, packed []byte) error {
		begun, isNew, err := a.get(at, &pieceParams{Answer: id})
		require.NoError(t, err)
		require.True(t, isNew)
		begun.packed = packed
		return a.keep(at, id, begun)
	}
	for id := range uint64(maxAnswers) {
		require.NoError(t, begin(now, id, []byte("long")))
	}
	require.ErrorIs(t, begin(now, maxAnswers, []byte("long")), chicoryrock.ErrUnavailable)
	require.NoError(t, begin(now, maxAnswers, nil), "short ones are answered all the same")
	later := now.Add(answerTime)
	_, isNew, err := a.get(later, &pieceParams{Answer: 3, From: 1})
	require.NoError(t, err)
	require.False(t, isNew, "one that has begun goes on")
	later = later.Add(time.Millisecond)
	require.NoError(t, begin(later, maxAnswers, []byte("long")))
	require.Len(t, a.byID, 2)
	_, _, err = a.get(later, &pieceParams{Answer: 4, From: 1})
	require.ErrorIs(t, err, chicoryrock.ErrNotFound)
}

func TestOddPiecesAreRefused(t *testing.T) {
	for _, piece := range []pieceResult{{}, {Size: 1}, {Size: 1, Data: []byte("ab")}, {Size: -1, Data: []byte("a")}, {Size: maxMessage + 1, Data: []byte("a")}} {
		_, err := (&partial{}).add(&piece)
		require.ErrorIs(t, err, chicoryrock.ErrInvalid, fmt.Sprint(piece.Size))
	}
}
