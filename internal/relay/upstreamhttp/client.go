package upstreamhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Errors of a Client, possibly annotated.
const (
	// ErrBusy means that the connection limit is reached; nothing was sent.
	ErrBusy = errors.ConstError("connection limit reached")
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrLost means that no complete response arrived; the request may have run.
	ErrLost = errors.ConstError("no complete response")
	// ErrStale is an ErrLost on a reused idle connection that ended before the
	// first byte of a response: the upstream had probably closed it already.
	ErrStale = errors.ConstError("idle connection closed before the response")
)

// maxMismatched is the number of responses to other requests that are skipped on
// a connection before it is closed.
const maxMismatched = 2

// maxInlineBody is the size, in bytes, up to which a body fits into the socket
// buffers, so that writing it does not wait for the upstream.
const maxInlineBody = 4 << 10

// Config holds the dependencies of a Client.
type Config struct {
	Codec  wire.Codec
	Dial   func(ctx context.Context, address ident.Address) (net.Conn, error)
	Now    func() time.Time
	Opened func() // called for every new connection
}

// Request is one request to an upstream. Its target, header and body are sent as they are.
type Request struct {
	Address ident.Address
	Limit   Limit
	MaxIdle time.Duration // maximum idle time of a reused connection; 0 means no limit
	NewConn bool          // do not reuse an idle connection
	ID      ident.RequestID
	Method  string
	Target  string // path and query
	Host    string
	Header  http.Header
	Body    []byte
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

// Response is an upstream's response. The caller must close it.
type Response struct {
	Status      int
	Header      http.Header
	Reply       wire.Reply
	Length      int64 // of the body in bytes; -1 if unknown
	Misdirected bool  // a reused connection led to an upstream that no longer has the address

	client   *Client
	conn     *connection
	body     io.ReadCloser
	stop     func() bool // detaches the context from the connection
	sending  *requestWrite
	reusable bool
	complete bool
}

// Send sends a request and returns once the header of the response has arrived.
// When the context ends, the exchange is aborted. Errors are ErrBusy, ErrNotSent,
// ErrLost and ErrStale.
func (c *Client) Send(ctx context.Context, request Request) (*Response, error) {
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
	return response, nil
}

// exchange sends the request and reads the header of the response. It closes the
// connection on failure.
func (c *Client) exchange(ctx context.Context, conn *connection, request Request) (*Response, error) {
	outgoing, err := buildRequest(request)
	if err != nil {
		c.discard(conn)
		return nil, errors.Annotatef(ErrNotSent, "build request: %v", err)
	}
	pending := writeRequest(ctx, conn, outgoing, len(request.Body))
	stale := conn.used && !conn.awaitResponse() && ctx.Err() == nil
	response, reply, err := c.readResponse(conn, outgoing, request.ID) //nolint:bodyclose // Response.Close closes it
	if err != nil {
		c.discard(conn) // makes writeRequest return
		<-pending.done
		err = errors.Annotatef(ErrLost, "%s: %v", conn.address, err)
		if stale {
			err = errors.WithType(err, ErrStale)
		}
		return nil, err
	}
	conn.readKeepAlive(response.Header)
	misdirected := response.StatusCode == http.StatusMisdirectedRequest
	if misdirected {
		// Other idle connections may lead to the same wrong upstream.
		c.closeIdle(conn.address)
	}
	return &Response{
		Status:      response.StatusCode,
		Header:      response.Header,
		Reply:       reply,
		Length:      response.ContentLength,
		Misdirected: misdirected && conn.used,
		client:      c,
		conn:        conn,
		body:        response.Body,
		sending:     pending,
		reusable:    !response.Close && !misdirected,
	}, nil
}

// requestWrite tracks the writing of a request.
type requestWrite struct {
	done chan struct{} // closed when writing has ended
	err  error         // valid once done is closed
}

// writeRequest writes a request. A long body is written concurrently with reading
// the response, since an upstream may respond before it has the whole body.
func writeRequest(ctx context.Context, conn *connection, outgoing *http.Request, length int) *requestWrite {
	pending := &requestWrite{
		done: make(chan struct{}),
	}
	write := func(context.Context) {
		defer close(pending.done)
		// A single write, so that the header and a short body share a packet.
		var b bytes.Buffer
		if pending.err = outgoing.Write(&b); pending.err != nil {
			return
		}
		_, pending.err = conn.Write(b.Bytes())
	}
	if length <= maxInlineBody {
		write(ctx)
	} else {
		go write(ctx)
	}
	return pending
}

// buildRequest converts the request; its target and body stay unchanged.
func buildRequest(request Request) (*http.Request, error) {
	target := &url.URL{
		Scheme: "http",
		Host:   string(request.Address),
		Opaque: request.Target,
	}
	if strings.HasPrefix(request.Target, "//") {
		// net/http puts the scheme in front of an opaque target with two slashes.
		parsed, err := url.ParseRequestURI(request.Target)
		if err != nil {
			return nil, err
		}
		target = &url.URL{
			Path:     "//" + strings.TrimPrefix(parsed.Path, "//"),
			RawPath:  parsed.RawPath,
			RawQuery: parsed.RawQuery,
		}
	}
	header := request.Header
	if header == nil {
		header = make(http.Header)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	outgoing := &http.Request{
		Method:        request.Method,
		URL:           target,
		Host:          request.Host,
		Header:        header,
		ContentLength: int64(len(request.Body)),
	}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return outgoing, nil
}

// readResponse reads the header of the response to the request. It skips
// informational responses and responses to other requests.
func (c *Client) readResponse(conn *connection, outgoing *http.Request, id ident.RequestID) (*http.Response, wire.Reply, error) {
	mismatched := 0
	for {
		response, err := http.ReadResponse(conn.reader, outgoing)
		if err != nil {
			return nil, wire.Reply{}, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := c.config.Codec.Reply(response.StatusCode, response.Header)
		if id == "" || reply.Request == id || reply.Request == "" && !reply.Sealed {
			return response, reply, nil
		}
		mismatched++
		if mismatched > maxMismatched || response.Close {
			return nil, wire.Reply{}, errors.Errorf("response belongs to request %q", reply.Request)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, wire.Reply{}, errors.Annotate(err, "skip response to another request")
		}
	}
}

// Read reads the body. The body is complete only if the error is io.EOF.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// ReadAll reads the whole body, of at most limit bytes. It returns ErrLost if the
// body is incomplete or longer.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	switch {
	case err != nil:
		return nil, errors.Annotatef(ErrLost, "read body: %v", err)
	case int64(len(body)) > limit:
		return nil, errors.Annotatef(ErrLost, "body exceeds %d bytes", limit)
	}
	return body, nil
}

// Close ends the exchange. If the exchange is incomplete, Close also closes the
// connection, which tells the upstream that nobody waits for the response.
func (r *Response) Close() {
	detached := r.stop()
	if detached && r.complete && r.reusable && r.conn.reader.Buffered() == 0 && r.sent() {
		r.client.putIdle(r.conn)
		return
	}
	r.client.discard(r.conn) // makes writeRequest return
	<-r.sending.done
}

// sent reports whether the whole request has been written.
func (r *Response) sent() bool {
	select {
	case <-r.sending.done:
		return r.sending.err == nil
	default:
		return false
	}
}
