package upstreamhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// dialTimeout is longer than a round trip and shorter than the one second
	// after which a lost SYN packet is retransmitted: trying another upstream is
	// faster than waiting for that.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long written bytes may stay unacknowledged by the peer.
	ackTimeout = 3 * time.Second
	// defaultKeepAlive applies to upstreams that send no Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the upstream's keep-alive timeout, so
	// that a request arrives before the connection is closed.
	keepAliveMargin = 500 * time.Millisecond
	// maxKeepAliveSeconds bounds the timeout that upstreams may state.
	maxKeepAliveSeconds = 3600
	bufferBytes         = 4 << 10 // size of a connection's read buffer
	// maxBodies is the number of distinct responses on a connection of which a copy is
	// recognised. Copies arrive where the next response is expected, or soon after.
	maxBodies = 16
)

// connection is one connection to an upstream.
type connection struct {
	net.Conn
	address   ident.Address
	reader    *bufio.Reader // reads from bounded
	bounded   *boundedReader
	keepAlive time.Duration // how long the upstream keeps an idle connection open
	lastUsed  time.Time     // time of the last use
	used      bool          // has completed an exchange before
	limit     Limit         // given by the latest request
	bodies    []uint64      // hashes of the bodies of the latest distinct responses
}

// boundedReader reads from a connection up to a number of bytes.
type boundedReader struct {
	conn net.Conn
	left int64 // bytes until the bound; negative means no bound
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left < 0 {
		return b.conn.Read(p)
	}
	if b.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := b.conn.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// readHeader reads the header of a response, of at most maxHeaderBytes.
func (c *connection) readHeader(outgoing *http.Request) (*http.Response, error) {
	c.bounded.left = maxHeaderBytes
	response, err := http.ReadResponse(c.reader, outgoing)
	if err != nil && c.bounded.left == 0 {
		err = errors.Annotatef(ErrOversized, "header exceeds %d bytes", maxHeaderBytes)
	}
	c.bounded.left = -1
	return response, err
}

// Dial opens a TCP connection that fails when the peer stops acknowledging data or
// keep-alive probes. Data that has not been delivered when the connection is closed, also
// by the end of the process, is dropped: it belongs to a request that has been given up.
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
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
				if failed == nil {
					failed = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{
						Onoff: 1,
					})
				}
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return dialer.DialContext(ctx, "tcp4", string(address))
}

// Refuses reports whether the address refuses connections, because nothing listens
// there. It returns false if the context ends before that is known.
func (c *Client) Refuses(ctx context.Context, address ident.Address) bool {
	conn, err := c.config.Dial(ctx, address)
	if err == nil {
		_ = conn.Close() // no data was sent on it
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// isIdle reports whether an idle connection is open and has no unread bytes.
func (c *connection) isIdle() bool {
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
	idle := false
	err = access.Read(func(fd uintptr) bool {
		var first [1]byte
		_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

// awaitResponse waits for the first byte of a response and reports whether it
// arrived.
func (c *connection) awaitResponse() bool {
	_, err := c.reader.Peek(1)
	return err == nil
}

// hasHad reports whether a body is that of one of the latest distinct responses on the
// connection, and remembers it.
func (c *connection) hasHad(body []byte) bool {
	hash := xxhash.Sum64(body)
	if slices.Contains(c.bodies, hash) {
		return true
	}
	if len(c.bodies) == maxBodies {
		c.bodies = slices.Delete(c.bodies, 0, 1)
	}
	c.bodies = append(c.bodies, hash)
	return false
}

// reusable reports whether an idle connection is recent enough to be used.
func (c *connection) reusable(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.lastUsed)
	return idle < c.keepAlive-keepAliveMargin && (maxIdle == 0 || idle < maxIdle)
}

// readKeepAlive sets the keep-alive timeout from the Keep-Alive header of a response.
func (c *connection) readKeepAlive(header http.Header) {
	c.keepAlive = defaultKeepAlive
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			c.keepAlive = time.Duration(min(max(seconds, 0), maxKeepAliveSeconds)) * time.Second
		}
	}
}

// acquire returns an idle or a new connection to the address, within the
// connection limit.
func (c *Client) acquire(ctx context.Context, request Request) (*connection, error) {
	address := request.Upstream.Address
	for !request.NewConn {
		conn := c.pop(address, request.MaxIdle)
		if conn == nil {
			break
		}
		if conn.isIdle() {
			conn.limit = request.Limit
			return conn, nil
		}
		c.discard(conn)
	}
	if !c.reserve(address, request.Limit) {
		return nil, errors.Annotatef(ErrBusy, "all connections to %s are in use", address)
	}
	raw, err := c.config.Dial(ctx, address)
	if err != nil {
		c.release(address)
		return nil, errors.Annotatef(ErrNotSent, "connect to %s: %v", address, err)
	}
	c.config.Opened()
	bounded := &boundedReader{
		conn: raw,
		left: -1,
	}
	return &connection{
		Conn:      raw,
		address:   address,
		reader:    bufio.NewReaderSize(bounded, bufferBytes),
		bounded:   bounded,
		keepAlive: defaultKeepAlive,
		limit:     request.Limit,
	}, nil
}

// pop removes and returns the most recently used idle connection to the address;
// it returns nil if there is none that is recent enough.
func (c *Client) pop(address ident.Address, maxIdle time.Duration) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	if !last.reusable(c.config.Now(), maxIdle) {
		return nil // the others have been idle for longer
	}
	c.idle[address] = list[:len(list)-1]
	return last
}

// reserve counts a new connection if the limit allows it. At the limit, it closes
// the oldest idle connection, which is too old for the request.
func (c *Client) reserve(address ident.Address, limit Limit) bool {
	c.mu.Lock()
	var oldest *connection
	if limit.reached(c.open[address]) {
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
		oldest.closeIdle()
	}
	return true
}

// release subtracts a connection from the count of open ones.
func (c *Client) release(address ident.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[address]--
	if c.open[address] <= 0 {
		delete(c.open, address)
	}
}

// closeIdle closes a connection whose exchanges are complete.
func (c *connection) closeIdle() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(-1) // otherwise the upstream sees a reset
	}
	_ = c.Close() // no request is lost
}

// discard closes a connection that is not on an idle list, and drops what has not been
// delivered on it.
func (c *Client) discard(conn *connection) {
	_ = conn.Close() // fails only if it is closed already
	c.release(conn.address)
}

// discardIdle closes a connection that is not on an idle list and whose exchanges are
// complete.
func (c *Client) discardIdle(conn *connection) {
	conn.closeIdle()
	c.release(conn.address)
}

// putIdle adds a connection whose exchange is complete to the idle list.
func (c *Client) putIdle(conn *connection) {
	conn.lastUsed = c.config.Now()
	conn.used = true
	if err := conn.SetDeadline(time.Time{}); err != nil {
		c.discard(conn)
		return
	}
	c.mu.Lock()
	list := c.idle[conn.address]
	if c.closed || conn.limit.exceededIdle(len(list)+1) {
		c.mu.Unlock()
		c.discardIdle(conn)
		return
	}
	c.idle[conn.address] = append(list, conn)
	c.mu.Unlock()
}

// closeIdle closes the idle connections to an address.
func (c *Client) closeIdle(address ident.Address) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range list {
		c.discardIdle(conn)
	}
}

// Sweep closes the idle connections that upstreams are about to close.
func (c *Client) Sweep() {
	now := c.config.Now()
	c.mu.Lock()
	var expired []*connection
	for address, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if conn.reusable(now, 0) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		c.discardIdle(conn)
	}
}

// Close closes the idle connections; connections in use are closed when their
// exchanges end.
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
		c.discardIdle(conn)
	}
}
