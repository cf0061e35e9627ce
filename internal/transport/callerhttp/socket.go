package callerhttp

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// errNoDescriptor means that a connection has no descriptor to look at.
const errNoDescriptor = errors.ConstError("connection has no descriptor")

// expectation is what a read waits for.
type expectation uint8

const (
	expectBody    expectation = iota + 1 // or, after the body, the end of the connection
	expectRequest                        // the first byte of a request
	expectHeader                         // the rest of the header of a request
)

// socket reads from a connection, and can close it on the condition that no byte of a
// request has arrived: none is read between the check and the close.
type socket struct {
	net.Conn
	raw         syscall.RawConn
	readArrived func(fd uintptr) bool // the method receive, allocated once

	// Of the read in progress.
	buffer []byte
	n      int
	err    error

	mu       sync.Mutex
	expected expectation // by the latest read
	blocked  bool        // a read waits, since no bytes had arrived
	since    time.Time   // when the latest wait for a request, or its header, began
	closed   bool        // nothing is read any more
}

func newSocket(conn net.Conn) (*socket, error) {
	descriptor, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return nil, errors.Annotate(err, "descriptor of a connection")
	}
	s := &socket{
		Conn: conn,
		raw:  raw,
	}
	s.readArrived = s.receive
	return s, nil
}

// read reads like the Read method of a net.Conn. Only one goroutine may read at a time.
func (s *socket) read(p []byte, expected expectation) (int, error) {
	s.begin(p, expected)
	err := s.raw.Read(s.readArrived)
	if expected != expectBody && errors.Is(err, os.ErrDeadlineExceeded) {
		err = s.readLate(err)
	}
	s.end()
	switch {
	case err != nil:
		return 0, s.readError(err)
	case s.err != nil:
		return 0, s.readError(s.err)
	case s.n == 0:
		return 0, io.EOF
	}
	return s.n, nil
}

func (s *socket) begin(p []byte, expected expectation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = p
	s.expected = expected
	if expected == expectRequest {
		s.since = time.Now()
	}
}

func (s *socket) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = nil
	s.blocked = false
}

// receive reads the bytes that have arrived. It returns false if there are none.
func (s *socket) receive(fd uintptr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.n, s.err = 0, net.ErrClosed
		return true
	}
	s.n, s.err = syscall.Read(int(fd), s.buffer)
	for errors.Is(s.err, syscall.EINTR) {
		s.n, s.err = syscall.Read(int(fd), s.buffer)
	}
	if s.n > 0 && s.expected == expectRequest {
		s.since = time.Now()
	}
	s.blocked = errors.Is(s.err, syscall.EAGAIN)
	return !s.blocked
}

// readLate reads the bytes of a header that had arrived when a time limit passed. If there
// are none, it returns the error of the time limit.
func (s *socket) readLate(exceeded error) error {
	arrived := false
	if err := s.raw.Control(func(fd uintptr) { arrived = s.receive(fd) }); err != nil {
		return err
	}
	if !arrived {
		return exceeded
	}
	return nil
}

// readError returns an error as the Read method of a net.Conn does.
func (s *socket) readError(err error) error {
	if operation, ok := errors.AsType[*net.OpError](err); ok {
		err = operation.Err
	}
	if number, ok := errors.AsType[syscall.Errno](err); ok {
		err = os.NewSyscallError("read", number)
	}
	return &net.OpError{
		Op:     "read",
		Net:    s.LocalAddr().Network(),
		Source: s.LocalAddr(),
		Addr:   s.RemoteAddr(),
		Err:    err,
	}
}

// closeIf closes the connection if a read waits, no byte has arrived and the condition
// holds. It reports whether it has closed it.
func (s *socket) closeIf(condition func(expected expectation, since time.Time) bool) bool {
	closes := false
	err := s.raw.Control(func(fd uintptr) {
		s.mu.Lock()
		defer s.mu.Unlock()
		closes = s.blocked && !s.closed && condition(s.expected, s.since) && !hasUnread(fd)
		s.closed = s.closed || closes
	})
	if err != nil || !closes {
		return false
	}
	_ = s.Close() // fails only if it is closed already
	return true
}

// hasUnread reports whether bytes have arrived that have not been read. It returns false
// if the connection has been closed.
func (s *socket) hasUnread() bool {
	unread := false
	err := s.raw.Control(func(fd uintptr) { unread = hasUnread(fd) })
	return err == nil && unread
}

func hasUnread(fd uintptr) bool {
	var first [1]byte
	n, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
