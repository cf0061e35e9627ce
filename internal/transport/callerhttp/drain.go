package callerhttp

import (
	"context"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// drainInterval is the time between two looks for connections that can be closed.
	drainInterval = 20 * time.Millisecond
	// quietTime is how long no byte has arrived on a connection before it is closed while
	// its listener drains. A caller that sends its requests one after another has sent
	// another one by then, and learns from the response that the connection ends.
	quietTime = 300 * time.Millisecond
	// acceptTimeout limits the time to accept a connection that is open already, and
	// maxAcceptTime limits it for all of them.
	acceptTimeout = 20 * time.Millisecond
	maxAcceptTime = 500 * time.Millisecond
)

// EndKeepAlive ends each connection after its next response, which says so.
func (l *Listener) EndKeepAlive() { l.ending.Store(true) }

// Drain stops accepting connections, and closes the open ones when they are between two
// requests: an arrived byte of a request keeps its connection open until the response. It
// returns nil when no connection is left, and otherwise the error of the context. The
// server goes on to serve and has to be closed afterwards. Its Shutdown method may not be
// called: it closes connections on which requests have arrived.
func (l *Listener) Drain(ctx context.Context) error {
	l.EndKeepAlive()
	if err := l.endAccepting(); err != nil {
		return err
	}
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		if l.ended() && l.closeQuiet() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// tcpListener is the part of net.TCPListener that is needed to accept the connections that
// are open already.
type tcpListener interface {
	syscall.Conn
	SetDeadline(deadline time.Time) error
}

// endAccepting lets Accept take the connections that are open already and close the listener
// then. A listener that is no tcpListener is closed at once.
func (l *Listener) endAccepting() error {
	l.acceptUntil.Store(time.Now().Add(maxAcceptTime).UnixNano())
	var err error
	if inner, ok := l.Listener.(tcpListener); ok {
		err = inner.SetDeadline(time.Now())
	} else {
		err = l.Close()
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Annotate(err, "end accepting connections")
}

// accept accepts a connection. While the listener drains, it accepts those that are open
// already, since callers may have sent requests on them, and closes the listener when there
// are none.
func (l *Listener) accept() (net.Conn, error) {
	if l.acceptUntil.Load() == 0 {
		accepted, err := l.Listener.Accept()
		if err == nil || l.acceptUntil.Load() == 0 {
			return accepted, err
		}
	}
	for l.hasOpened() && time.Now().UnixNano() < l.acceptUntil.Load() {
		if accepted, err := l.Listener.Accept(); err == nil {
			return accepted, nil
		}
	}
	_ = l.Close() // fails only if it is closed already
	return nil, net.ErrClosed
}

// hasOpened reports whether a connection has been opened that is not accepted yet, and
// allows Accept some time for it.
func (l *Listener) hasOpened() bool {
	inner, ok := l.Listener.(tcpListener)
	if !ok || inner.SetDeadline(time.Now().Add(acceptTimeout)) != nil {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	opened := false
	err = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{
			Fd:     int32(fd),
			Events: unix.POLLIN,
		}}
		n, err := unix.Poll(events, 0)
		opened = err == nil && n > 0
	})
	return err == nil && opened
}

// ended reports whether no further connection can be added.
func (l *Listener) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// closeQuiet closes the connections that are between two requests, and returns the number of
// those that stay open.
func (l *Listener) closeQuiet() int {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	left := 0
	for _, c := range open {
		if !c.closeIfQuiet() {
			left++
		}
	}
	return left
}
