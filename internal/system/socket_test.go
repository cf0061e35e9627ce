package system

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// Guards against the attribution of a connection to the wrong process: a process may use
// one local port for connections to the same port of several addresses.
func TestSocketInode(t *testing.T) {
	c := qt.New(t)
	reuse := func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(descriptor uintptr) {
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
		})
	}
	var port int
	var conns []*net.TCPConn
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, Control: reuse}
	for i := 1; i <= 3; i++ {
		address := fmt.Sprintf("127.104.0.%d:%d", i, port)
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
		c.Assert(err, qt.IsNil)
		defer func() { _ = listener.Close() }()
		port = listener.Addr().(*net.TCPAddr).Port
		conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		dialer.LocalAddr = conn.LocalAddr()
		conns = append(conns, conn.(*net.TCPConn))
	}
	for _, conn := range conns {
		inode, err := socketInode(conn.LocalAddr(), conn.RemoteAddr())
		c.Assert(err, qt.IsNil)
		raw, err := conn.SyscallConn()
		c.Assert(err, qt.IsNil)
		var stat unix.Stat_t
		c.Assert(raw.Control(func(descriptor uintptr) { err = unix.Fstat(int(descriptor), &stat) }), qt.IsNil)
		c.Assert(err, qt.IsNil)
		c.Check(uint64(inode), qt.Equals, stat.Ino)
	}
	absent := &net.TCPAddr{IP: net.IPv4(127, 104, 0, 9), Port: port}
	_, err := socketInode(conns[0].LocalAddr(), absent)
	c.Check(err, qt.ErrorIs, os.ErrNotExist)
}
