package upstreamhttp

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// dialTimeout is longer than a round trip and shorter than the one second
	// after which a lost opening packet is sent again: another upstream is
	// sooner tried than this one waited for.
	dialTimeout = 400 * time.Millisecond
	// silentTimeout is how long written bytes may stay unacknowledged.
	silentTimeout = 3 * time.Second
	// defaultIdle applies to upstreams that do not state how long they keep an
	// idle connection.
	defaultIdle = 4 * time.Second
	// idleMargin is left before the end of that time, for the way of a request.
	idleMargin  = 500 * time.Millisecond
	bufferBytes = 4 << 10
)

// connection is one connection to an upstream.
type connection struct {
	net.Conn
	address ident.Address
	reader  *bufio.Reader
	idle    time.Duration // how long the upstream keeps it idle
	since   time.Time     // of the last use
	used    bool          // for an exchange before
	limit   Limit         // of the latest exchange
}

// Dial opens a connection whose silence ends it.
func Dial(ctx context.Context, address ident.Address) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return dialer.DialContext(ctx, "tcp4", string(address))
}

// Refuses reports whether nothing listens at an address; it is false if that is
// not known before the context ends.
func (c *Client) Refuses(ctx context.Context, address ident.Address) bool {
	conn, err := c.config.Dial(ctx, address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// quiet reports whether an idle connection is open and has no unread bytes.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = access.Read(func(fd uintptr) bool {
		var first [1]byte
		_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// answers waits for the first byte of an answer and reports whether it came.
func (c *connection) answers() bool {
	_, err := c.reader.Peek(1)
	return err == nil
}

// fresh reports whether an idle connection may still be used.
func (c *connection) fresh(now time.Time, longest time.Duration) bool {
	idle := now.Sub(c.since)
	return idle < c.idle-idleMargin && (longest == 0 || idle < longest)
}

// keep notes what the answer says about idle connections.
func (c *connection) keep(header http.Header) {
	c.idle = defaultIdle
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			c.idle = time.Duration(seconds) * time.Second
		}
	}
}

// take returns a connection to the address within the limit of open ones.
func (c *Client) take(ctx context.Context, request Request) (*connection, error) {
	for !request.Connect {
		conn := c.pop(request.Address, request.Idle)
		if conn == nil {
			break
		}
		if conn.quiet() {
			conn.limit = request.Limit
			return conn, nil
		}
		c.discard(conn)
	}
	if !c.reserve(request.Address, request.Limit) {
		return nil, errors.Annotatef(ErrBusy, "all connections to %s are in use", request.Address)
	}
	raw, err := c.config.Dial(ctx, request.Address)
	if err != nil {
		c.release(request.Address)
		return nil, errors.Annotatef(ErrNotSent, "connect to %s: %v", request.Address, err)
	}
	c.config.Opened()
	return &connection{
		Conn:    raw,
		address: request.Address,
		reader:  bufio.NewReaderSize(raw, bufferBytes),
		idle:    defaultIdle,
		limit:   request.Limit,
	}, nil
}

// pop removes the most recently used idle connection from its list.
func (c *Client) pop(address ident.Address, longest time.Duration) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	if !last.fresh(c.config.Now(), longest) {
		return nil // the others have been idle for longer
	}
	c.idle[address] = list[:len(list)-1]
	return last
}

// reserve counts a new connection if the limit allows it; an idle connection
// that is too old for the request gives way.
func (c *Client) reserve(address ident.Address, limit Limit) bool {
	c.mu.Lock()
	var oldest *connection
	if limit.full(c.open[address]) {
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			return false
		}
		oldest = list[0]
		c.idle[address] = list[1:]
		c.open[address]--
	}
	c.open[address]++
	c.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close() // it is idle, so nothing is lost
	}
	return true
}

// release uncounts a connection.
func (c *Client) release(address ident.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[address]--
	if c.open[address] <= 0 {
		delete(c.open, address)
	}
}

// discard closes a connection that is not on an idle list.
func (c *Client) discard(conn *connection) {
	_ = conn.Close() // fails only if it is closed already
	c.release(conn.address)
}

// put keeps a connection whose exchange is complete.
func (c *Client) put(conn *connection) {
	conn.since = c.config.Now()
	conn.used = true
	if err := conn.SetDeadline(time.Time{}); err != nil {
		c.discard(conn)
		return
	}
	c.mu.Lock()
	list := c.idle[conn.address]
	if c.closed || conn.limit.spare(len(list)+1) {
		c.mu.Unlock()
		c.discard(conn)
		return
	}
	c.idle[conn.address] = append(list, conn)
	c.mu.Unlock()
}

// forget closes the idle connections to an address.
func (c *Client) forget(address ident.Address) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range list {
		c.discard(conn)
	}
}

// Sweep closes the idle connections that have become too old.
func (c *Client) Sweep() {
	now := c.config.Now()
	c.mu.Lock()
	var old []*connection
	for address, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if conn.fresh(now, 0) {
				kept = append(kept, conn)
			} else {
				old = append(old, conn)
			}
		}
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, conn := range old {
		c.discard(conn)
	}
}

// Close closes the idle connections; the others are closed as their exchanges end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	var all []*connection
	for _, list := range c.idle {
		all = append(all, list...)
	}
	clear(c.idle)
	c.mu.Unlock()
	for _, conn := range all {
		c.discard(conn)
	}
}
