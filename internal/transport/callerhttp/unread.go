package callerhttp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether bytes have arrived on a connection that have not been read. It
// returns false if the connection has been closed.
func hasUnread(conn net.Conn) bool {
	descriptor, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
