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
	// ErrBusy means that the limit of connections is reached; nothing was sent.
	ErrBusy = errors.ConstError("no connection is free")
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrLost means that no complete answer arrived; the request may have run.
	ErrLost = errors.ConstError("no complete answer")
	// ErrStale is an ErrLost of a connection that had been idle and ended before
	// the first byte of an answer: its upstream had probably closed it before.
	ErrStale = errors.ConstError("idle connection has ended")
)

// maxForeign is how many answers to other requests are skipped on a connection
// before it is given up.
const maxForeign = 2

// shortBody fits into the buffers of a connection, so that writing it does not
// wait for the upstream, in bytes.
const shortBody = 4 << 10

// Config holds the dependencies of a Client.
type Config struct {
	Codec  wire.Codec
	Dial   func(ctx context.Context, address ident.Address) (net.Conn, error)
	Now    func() time.Time
	Opened func() // is told of every new connection
}

// Request is one request to an upstream. Its target, header and body are sent as they are.
type Request struct {
	Address ident.Address
	Limit   Limit
	Idle    time.Duration // an idle connection must have been used within it; 0 is no limit
	Connect bool          // opens a new connection
	Request ident.RequestID
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
	idle   map[ident.Address][]*connection // the most recently used one is last
	open   map[ident.Address]int           // connections, idle ones included
}

// New returns a client without connections.
func New(config Config) *Client {
	return &Client{
		config: config,
		idle:   make(map[ident.Address][]*connection),
		open:   make(map[ident.Address]int),
	}
}

// Answer is the answer of an upstream. Its reader must close it.
type Answer struct {
	Status int
	Header http.Header
	Reply  wire.Reply
	Length int64 // bytes of the body; -1 if not stated
	Moved  bool  // a kept connection leads to another upstream than the address now

	client   *Client
	conn     *connection
	body     io.ReadCloser
	stop     func() bool // ends the effect of the context on the connection
	written  *writing
	reusable bool
	complete bool
}

// Send sends a request and returns the head of the answer. The end of the
// context breaks off the exchange. Errors are ErrBusy, ErrNotSent, ErrLost and
// ErrStale.
func (c *Client) Send(ctx context.Context, request Request) (*Answer, error) {
	conn, err := c.take(ctx, request)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0)) // fails only if it is closed already
	})
	answer, err := c.exchange(ctx, conn, request)
	if err != nil {
		stop()
		return nil, err
	}
	answer.stop = stop
	return answer, nil
}

// exchange closes the connection if it fails.
func (c *Client) exchange(ctx context.Context, conn *connection, request Request) (*Answer, error) {
	outgoing, err := build(request)
	if err != nil {
		c.discard(conn)
		return nil, errors.Annotatef(ErrNotSent, "build request: %v", err)
	}
	written := transmit(ctx, conn, outgoing, len(request.Body))
	stale := conn.used && !conn.answers() && ctx.Err() == nil
	response, reply, err := c.read(conn, outgoing, request.Request) //nolint:bodyclose // the Answer closes it
	if err != nil {
		c.discard(conn) // ends the writer
		<-written.ended
		err = errors.Annotatef(ErrLost, "%s: %v", conn.address, err)
		if stale {
			err = errors.WithType(err, ErrStale)
		}
		return nil, err
	}
	conn.keep(response.Header)
	misdirected := response.StatusCode == http.StatusMisdirectedRequest
	if misdirected {
		// Other connections may lead to the same wrong upstream.
		c.forget(conn.address)
	}
	return &Answer{
		Status:   response.StatusCode,
		Header:   response.Header,
		Reply:    reply,
		Length:   response.ContentLength,
		Moved:    misdirected && conn.used,
		client:   c,
		conn:     conn,
		body:     response.Body,
		written:  written,
		reusable: !response.Close && !misdirected,
	}, nil
}

// writing is the writing of a request.
type writing struct {
	ended chan struct{} // closed at the end
	err   error         // once ended is closed
}

// transmit writes a request. A long body is written beside the reading, since an
// upstream may answer before it has the whole body.
func transmit(ctx context.Context, conn *connection, outgoing *http.Request, length int) *writing {
	written := &writing{
		ended: make(chan struct{}),
	}
	write := func(context.Context) {
		defer close(written.ended)
		// One write, so that the head and a short body share a packet.
		var b bytes.Buffer
		if written.err = outgoing.Write(&b); written.err != nil {
			return
		}
		_, written.err = conn.Write(b.Bytes())
	}
	if length <= shortBody {
		write(ctx)
	} else {
		go write(ctx)
	}
	return written
}

// build returns the request with its target and body unchanged.
func build(request Request) (*http.Request, error) {
	target := &url.URL{
		Scheme: "http",
		Host:   string(request.Address),
		Opaque: request.Target,
	}
	if strings.HasPrefix(request.Target, "//") {
		// An opaque target would get the scheme in front.
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
		header["User-Agent"] = []string{""} // keeps the library from adding its own
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

// read returns the head of the answer to the request; it skips informational
// answers and those that belong to other requests.
func (c *Client) read(conn *connection, outgoing *http.Request, id ident.RequestID) (*http.Response, wire.Reply, error) {
	foreign := 0
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
		foreign++
		if foreign > maxForeign || response.Close {
			return nil, wire.Reply{}, errors.Errorf("answer belongs to request %q", reply.Request)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, wire.Reply{}, errors.Annotate(err, "skip answer to another request")
		}
	}
}

// Read reads the body. The body is complete at io.EOF; after any other error it is not.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// All reads the whole body, of at most limit bytes. It returns ErrLost if the
// body is incomplete or longer.
func (a *Answer) All(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	switch {
	case err != nil:
		return nil, errors.Annotatef(ErrLost, "read body: %v", err)
	case int64(len(body)) > limit:
		return nil, errors.Annotatef(ErrLost, "body exceeds %d bytes", limit)
	}
	return body, nil
}

// Close ends the exchange. An incomplete one ends the connection, by which the
// upstream learns that nobody waits for it.
func (a *Answer) Close() {
	untouched := a.stop()
	if untouched && a.complete && a.reusable && a.conn.reader.Buffered() == 0 && a.sent() {
		a.client.put(a.conn)
		return
	}
	a.client.discard(a.conn) // ends the writer
	<-a.written.ended
}

// sent reports whether the whole request has been written.
func (a *Answer) sent() bool {
	select {
	case <-a.written.ended:
		return a.written.err == nil
	default:
		return false
	}
}
