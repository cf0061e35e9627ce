package upstreamhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Errors of a Client, possibly annotated.
const (
	// ErrBusy means that the connection limit is reached; nothing was sent.
	ErrBusy = errors.ConstError("connection limit reached")
	// ErrPaused means that the upstream has asked for no requests, or for few; nothing was
	// sent.
	ErrPaused = errors.ConstError("upstream wants no requests now")
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrLost means that no complete response arrived; the request may have run.
	ErrLost = errors.ConstError("no complete response")
	// ErrOversized is an ErrLost of a response that exceeds a bound.
	ErrOversized = errors.ConstError("response exceeds a bound")
	// ErrStale is an ErrLost on a reused idle connection that ended before the
	// first byte of a response, since the upstream had probably closed it already, or
	// on which the response to a repeatable request could not be told from others.
	ErrStale = errors.ConstError("idle connection was not usable")
)

// Config holds the dependencies of a Client.
type Config struct {
	Codec  wire.Codec
	Dial   func(ctx context.Context, address ident.Address) (net.Conn, error)
	Now    func() time.Time
	Opened func() // called for every new connection
	// Admit returns how much longer an upstream wants no requests from this host. If that is
	// 0, it counts the request that is about to be sent.
	Admit func(upstream fleet.Upstream) time.Duration
	// Observe is called with the header of each response to a request.
	Observe func(upstream fleet.Upstream, reply wire.Reply)
}

// Request is one request to an upstream. Its target, header and body are sent as they are.
type Request struct {
	Upstream   fleet.Upstream
	Limit      Limit
	MaxIdle    time.Duration // maximum idle time of a reused connection; 0 means no limit
	NewConn    bool          // do not reuse an idle connection
	Repeatable bool          // the request may run more than once
	Distinct   bool          // no two responses have the same body, so an equal one is a copy
	ID         ident.RequestID
	Method     string
	Target     string // path and query
	Host       string
	Header     http.Header
	Body       []byte
}

// Client sends requests to upstreams; it is safe for concurrent use.
type Client struct {
	config Config

	mu     sync.Mutex
	closed bool
	idle   map[ident.Address][]*connection // the most recently used last
	open   map[ident.Address]int           // number of connections, including idle ones
}

// New returns a client without connections.
func New(config Config) *Client {
	return &Client{
		config: config,
		idle:   make(map[ident.Address][]*connection),
		open:   make(map[ident.Address]int),
	}
}

// Send sends a request and returns once the header of the response has arrived.
// When the context ends, the exchange is aborted. Errors are ErrBusy, ErrPaused,
// ErrNotSent, ErrLost, ErrOversized and ErrStale.
func (c *Client) Send(ctx context.Context, request Request) (*Response, error) {
	if left := c.config.Admit(request.Upstream); left > 0 {
		return nil, errors.Annotatef(ErrPaused, "%s, for another %s", request.Upstream.ID, left)
	}
	conn, err := c.acquire(ctx, request)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0)) // fails only if it is closed already
	})
	response, err := c.exchange(ctx, conn, request)
	if err != nil {
		stop()
		return nil, err
	}
	response.stop = stop
	c.config.Observe(request.Upstream, response.Reply)
	return response, nil
}

// exchange sends the request and reads the header of the response. It closes the
// connection on failure.
func (c *Client) exchange(ctx context.Context, conn *connection, request Request) (*Response, error) {
	header, err := encodeHeader(request)
	if err != nil {
		c.discard(conn)
		return nil, errors.Annotatef(ErrNotSent, "encode request: %v", err)
	}
	pending := writeRequest(ctx, conn, header, request.Body)
	stale := conn.used && !conn.awaitResponse() && ctx.Err() == nil
	received, err := c.readResponse(conn, request) //nolint:bodyclose // Response.Close closes it
	if err != nil {
		c.discard(conn) // makes writeRequest return
		<-pending.done
		lost := errors.Annotatef(ErrLost, "%s: %v", conn.address, err)
		switch {
		case stale || errors.Is(err, errUnidentified):
			lost = errors.WithType(lost, ErrStale)
		case errors.Is(err, ErrOversized):
			lost = errors.WithType(lost, ErrOversized)
		}
		return nil, lost
	}
	conn.readKeepAlive(received.header.Header)
	misdirected := received.header.StatusCode == http.StatusMisdirectedRequest
	if misdirected {
		// Other idle connections may lead to the same wrong upstream.
		c.closeIdle(conn.address)
	}
	return &Response{
		Status:      received.header.StatusCode,
		Header:      received.header.Header,
		Reply:       received.reply,
		Length:      received.header.ContentLength,
		Unframed:    received.header.Body != http.NoBody && received.header.ContentLength < 0 && len(received.header.TransferEncoding) == 0,
		Misdirected: misdirected && conn.used,
		client:      c,
		conn:        conn,
		body:        received.header.Body,
		sending:     pending,
		reusable:    received.expected && !received.header.Close && !misdirected,
		accepted:    received.identified,
		distinct:    request.Distinct,
	}, nil
}
