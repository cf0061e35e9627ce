package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// connectionKey is the context key of the connection that a request arrived on.
type connectionKey struct{}

// connection checks the messages that are read from it, and bounds their headers.
type connection struct {
	*socket
	listener *Listener
	reader   *framingReader
	header   headerLease
	rejected atomic.Pointer[rejection] // of the last message

	// Unix nanoseconds since when the connection waits for its caller; 0 while it does not.
	unused  atomic.Int64 // for the rest of a header
	reading atomic.Int64 // for more of a body
	writing atomic.Int64 // to read its response

	body bodyProgress // of the present message
}

// bodyProgress tells how fast a body arrives. Its zero value is that of a message of whose body
// nothing has been read.
type bodyProgress struct {
	since atomic.Int64 // when its reading began, in Unix nanoseconds; 0 before
	bytes atomic.Int64 // read so far
}

// begin records that the body is about to be read.
func (b *bodyProgress) begin(now time.Time) { b.since.CompareAndSwap(0, now.UnixNano()) }

// reset makes it that of the next message.
func (b *bodyProgress) reset() {
	b.since.Store(0)
	b.bytes.Store(0)
}

// isSlow reports whether the body has been read for stallTime, at less than minBodyRate.
func (b *bodyProgress) isSlow(now time.Time) bool {
	since := b.since.Load()
	if !stalled(since, now) {
		return false
	}
	return float64(b.bytes.Load()) < minBodyRate*now.Sub(time.Unix(0, since)).Seconds()
}

// Read implements io.Reader.
func (c *connection) Read(p []byte) (int, error) {
	if !c.reader.inBody() {
		return c.reader.Read(p)
	}
	now := time.Now()
	c.body.begin(now)
	c.reading.Store(now.UnixNano())
	defer c.reading.Store(0)
	n, err := c.reader.Read(p)
	c.body.bytes.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *connection) Write(p []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	defer c.writing.Store(0)
	return c.Conn.Write(p)
}

// Close implements io.Closer.
func (c *connection) Close() error {
	if c.hasUnread() {
		c.listener.limits.Counts.Unread.Add(1)
	}
	c.listener.remove(c)
	return c.socket.Close()
}

// receive reads what comes next in the message.
func (c *connection) receive(p []byte) (int, error) {
	switch {
	case c.unused.Load() == 0:
		return c.read(p, expectBody)
	case c.reader.inHeader():
		return c.read(p, expectHeader)
	default:
		return c.read(p, expectRequest)
	}
}

// closeIfQuiet closes the connection if no request has begun to arrive for quietTime, or if
// the rest of a header has not arrived for stallTime.
func (c *connection) closeIfQuiet() bool {
	now := time.Now()
	if !c.closeIf(func(expected expectation, since time.Time) bool {
		switch expected {
		case expectRequest:
			return now.Sub(since) >= quietTime
		case expectHeader:
			return now.Sub(since) >= stallTime
		case expectBody:
		}
		return false
	}) {
		return false
	}
	c.listener.remove(c)
	return true
}

// setState follows the state of the connection in its server.
func (c *connection) setState(state http.ConnState) {
	switch state {
	case http.StateNew:
	case http.StateActive:
		c.unused.Store(0)
		c.body.reset()
		c.header.start()
	case http.StateIdle:
		c.unused.Store(time.Now().UnixNano())
		c.header.end()
	case http.StateClosed, http.StateHijacked:
		c.listener.remove(c)
		c.header.close()
	}
}

// waitsSince returns since when the connection waits for its caller, in Unix nanoseconds;
// 0 if it does not, or has not for stallTime in the middle of a request. A caller whose body
// arrives slowly is waited for since it began.
func (c *connection) waitsSince(now time.Time) int64 {
	if unused := c.unused.Load(); unused != 0 {
		return unused
	}
	since := c.reading.Load()
	if since != 0 && c.body.isSlow(now) {
		return c.body.since.Load()
	}
	if writing := c.writing.Load(); since == 0 || writing != 0 && writing < since {
		since = writing
	}
	if !stalled(since, now) {
		return 0
	}
	return since
}

// stalled reports whether stallTime has passed since a time in Unix nanoseconds that is not 0.
func stalled(since int64, now time.Time) bool {
	return since != 0 && since <= now.Add(-stallTime).UnixNano()
}

// evict closes the connection unless bytes have arrived for which the caller may expect a
// response, or a request is in progress. A caller that does not read its response, or sends its
// body slowly, is not spared. It reports whether it has closed the connection.
func (c *connection) evict(now time.Time) bool {
	if stalled(c.writing.Load(), now) {
		_ = c.socket.Close() // fails only if it is closed already
		return true
	}
	return c.closeIf(func(expected expectation, _ time.Time) bool {
		return expected != expectBody || stalled(c.reading.Load(), now) || c.reading.Load() != 0 && c.body.isSlow(now)
	})
}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

func trackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*connection); ok {
		c.setState(state)
	}
}

// rejecter responds to the placeholders of rejected messages, and passes other requests to
// a handler.
type rejecter struct {
	handler http.Handler
	log     zerolog.Logger
}

// ServeHTTP implements http.Handler. If the handler has left the rest of a body, the server
// reads it for discardTimeout at most, so that the caller receives the response.
func (h rejecter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if ok && r.Method == placeholderMethod && conn.rejected.Load() != nil {
		h.reject(w, r, conn.rejected.Load())
		return
	}
	if ok {
		closing := &closingWriter{
			ResponseWriter: w,
			listener:       conn.listener,
		}
		h.handler.ServeHTTP(closing, r)
		closing.ensureHeader()
	} else {
		h.handler.ServeHTTP(w, r)
	}
	if r.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		h.log.Debug().Err(err).Msg("caller: reading the rest of a body has no time limit")
	}
}

func (h rejecter) reject(w http.ResponseWriter, r *http.Request, rejected *rejection) {
	h.log.Info().Str("from", r.RemoteAddr).Int("status", rejected.status).Str("reason", rejected.reason).Msg("caller: message rejected")
	w.Header().Set("Connection", "close")
	if rejected.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	http.Error(w, rejected.reason, rejected.status)
}
