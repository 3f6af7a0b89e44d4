package reserve

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
)

const testMemory = 64 << 20

func body(address byte, bytes int64, wait time.Duration) memory.Claim {
	return memory.Claim{
		Owner: memory.Owner{Address: netip.AddrFrom4([4]byte{127, 0, 0, address})}, Kind: memory.Body, Bytes: bytes, Wait: wait,
	}
}

// Many users at once, most of which wait, stay within the limit, and all room is free
// after the last one. A hold whose release is lost would take its room for good.
func TestPoolServesMany(t *testing.T) {
	p := New(testMemory, 0)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			hold, err := p.Reserve(t.Context(), body(byte(i%3), 4<<20, time.Duration(i%20)*time.Millisecond), func() {})
			if err != nil {
				return
			}
			defer hold.Release()
			if hold.Grow(t.Context(), 1<<20, time.Millisecond) == nil {
				hold.Shrink(1 << 20)
			}
			if hold.Move(memory.Waiting, func() {}) == nil && hold.Move(memory.Running, nil) == nil {
				time.Sleep(time.Millisecond)
			}
		})
	}
	group.Wait()
	require.Empty(t, p.holds)
	p.Read(func(kind memory.Kind, bytes int64) { require.True(t, kind == memory.Freed || bytes == 0, kind) })
	all, err := p.Reserve(t.Context(), body(1, testMemory/limitPart, time.Minute), nil)
	require.NoError(t, err, "what was freed is collected for one that waits")
	all.Release()
}

// A request waits until another one makes room, and one that runs is not told to.
func TestReserveWaitsForRoom(t *testing.T) {
	p := New(testMemory, 0)
	told := make(chan struct{})
	crowd, err := p.Reserve(t.Context(), body(1, 16<<20, 0), func() { close(told) })
	require.NoError(t, err)
	running, err := p.Reserve(t.Context(), body(1, 8<<20, 0), nil)
	require.NoError(t, err)
	require.NoError(t, running.Move(memory.Running, nil))
	go func() {
		<-told
		crowd.Release()
	}()
	other, err := p.Reserve(t.Context(), body(2, 12<<20, time.Minute), nil)
	require.NoError(t, err)
	require.ErrorIs(t, crowd.Move(memory.Running, nil), ErrNoRoom)
	require.NoError(t, running.Move(memory.Running, nil))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.Reserve(ctx, body(2, 12<<20, time.Minute), nil)
	require.ErrorIs(t, err, ErrNoRoom, "a caller that leaves waits no longer")
	other.Release()
	running.Release()
	require.Empty(t, p.holds)
}

// Without limits nothing is counted.
func TestNoLimits(t *testing.T) {
	p := New(0, 0)
	hold, err := p.Reserve(t.Context(), body(1, 1<<40, 0), nil)
	require.NoError(t, err)
	require.NoError(t, hold.Grow(t.Context(), 1<<40, 0))
	require.NoError(t, hold.Move(memory.Running, nil))
	hold.Shrink(1)
	hold.Release()
	require.Zero(t, p.Read(nil))
	p.Write(nil)
}

// A caller whose idle connections take all places loses one to another caller, and none
// to itself. A process that accepted them all would run out of descriptors.
func TestListenerBoundsConnections(t *testing.T) {
	const places = 4
	p := New(0, places)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := p.Listener(inner)
	accepted := make(chan *Conn)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn.(*Conn)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	dial := func(from string) net.Conn {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		conn, err := dialer.DialContext(t.Context(), "tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	var crowd []net.Conn
	var last *Conn
	for i := range places {
		crowd = append(crowd, dial("127.0.0.2"))
		last = <-accepted
		if i < places-1 {
			require.NoError(t, last.Begin())
		}
	}
	fifth := dial("127.0.0.2")
	_, err = fifth.Read(make([]byte, 1))
	require.Error(t, err, "the fifth connection of a caller is closed")
	dial("127.0.0.3")
	other := <-accepted
	require.Equal(t, netip.MustParseAddr("127.0.0.3"), other.Address())
	_, err = crowd[places-1].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the idle one makes room")
	require.Error(t, last.Begin())
	require.ErrorIs(t, last.Close(), net.ErrClosed)
	require.NoError(t, other.Close())
	require.Equal(t, places-1, p.Read(func(memory.Kind, int64) {}))
}
