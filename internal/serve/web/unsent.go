package web

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Arrived reports whether all that was written to a TCP connection has reached the other side's
// kernel. What is in this one's is lost if the other side has closed. Connections of other kinds
// count as arrived.
func Arrived(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	waiting, failure := 0, error(nil)
	err = raw.Control(func(fd uintptr) { waiting, failure = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return err == nil && failure == nil && waiting == 0
}
