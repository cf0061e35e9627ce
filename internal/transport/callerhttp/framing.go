package callerhttp

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
)

const (
	// MaxHeader is the largest request header that is accepted, in bytes.
	MaxHeader = 32 << 10
	// readAhead is how much net/http may have read beyond a request header, in bytes.
	readAhead = 4 << 10
	// tailBytes is how many of the last read bytes a connection keeps at least.
	tailBytes = MaxHeader + readAhead
)

// connectionKey is the context key of the connection that a request arrived on.
type connectionKey struct{}

// connection keeps the last bytes that were read from it, since net/http removes the
// Content-Length of a chunked message.
type connection struct {
	net.Conn

	mu   sync.Mutex
	tail []byte // last bytes that were read
}

// Read implements io.Reader.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.record(p[:n])
	}
	return n, err
}

// record adds bytes to the tail.
func (c *connection) record(read []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tail = append(c.tail, read...)
	if len(c.tail) > 2*tailBytes {
		// Moves the bytes only at twice the size, so that most reads just append.
		c.tail = append(c.tail[:0], c.tail[len(c.tail)-tailBytes:]...)
	}
}

// listener wraps the connections that it accepts in connection.
type listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn: accepted,
	}, nil
}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Ambiguous reports whether a request has both a Content-Length and a chunked body. It
// also returns true for a chunked request whose header is too long to be checked. It
// must be called exactly once for every request, before the body is read. It returns
// false if the connection does not come from a listener of Listen.
func Ambiguous(r *http.Request) bool {
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		return false
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	defer conn.trimTail()
	return slices.Contains(r.TransferEncoding, "chunked") && conn.ambiguous(r.Method+" "+r.RequestURI+" ")
}

// ambiguous reports whether a header in the tail that starts with line has a
// Content-Length, or whether the tail has no such header. It checks every match, since
// the body of an earlier request may look like a header.
func (c *connection) ambiguous(line string) bool {
	found := false
	for rest := c.tail; ; {
		i := bytes.Index(rest, []byte(line))
		if i < 0 {
			return !found
		}
		found = true
		rest = rest[i+len(line):]
		if hasContentLength(rest) {
			return true
		}
	}
}

// trimTail keeps the bytes that net/http may have read ahead and drops older ones, which
// it has parsed. The caller holds c.mu.
func (c *connection) trimTail() {
	if len(c.tail) > readAhead {
		c.tail = bytes.Clone(c.tail[len(c.tail)-readAhead:])
	}
}

// hasContentLength reports whether a line before the first empty one is a
// Content-Length field.
func hasContentLength(header []byte) bool {
	for line := range bytes.Lines(header) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		switch {
		case len(bytes.TrimSpace(line)) == 0:
			return false
		case ok && bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
			return true
		}
	}
	return false
}
