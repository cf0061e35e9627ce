package stagehttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/transport/httpstatus"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// The header fields of the upstream protocol.
const (
	attemptHeader  = "Attempt-Id"
	priorityHeader = "Priority"
	stateHeader    = "Upstream-State"
	loadHeader     = "Upstream-Load"
)

// poolPaths lists the paths of the stages that pools serve. Calls to any other
// path go to plain services.
var poolPaths = map[string]bool{
	"/v1/encode":   true,
	"/v1/retrieve": true,
	"/v1/rerank":   true,
}

// reservedHeaders lists the header fields that are not forwarded, since they are
// set by the client or apply to the connection of the caller. Accept-Encoding is
// listed because a pipeline.Reply does not carry the encoding of its body.
var reservedHeaders = map[string]bool{
	"Accept-Encoding":   true,
	"Attempt-Id":        true,
	"Connection":        true,
	"Content-Length":    true,
	"Expect":            true,
	"Host":              true,
	"Keep-Alive":        true,
	"Priority":          true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// Client sends attempts to upstreams; it is safe for concurrent use.
type Client struct {
	config    Config
	transport *http.Transport

	mu     sync.Mutex
	closed bool
	idle   map[ident.Address][]*connection // most recently used last
}

var _ pipeline.Transport = (*Client)(nil)

// New returns a client. It opens connections when calls need them.
func New(config Config) *Client {
	c := &Client{
		config: config.withDefaults(),
		idle:   make(map[ident.Address][]*connection),
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
		Protocols:              protocols,
	}
	return c
}

// Close closes the idle connections. Connections in use are closed when their
// exchanges end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	var idle []*connection
	for _, list := range c.idle {
		idle = append(idle, list...)
	}
	for _, conn := range idle {
		c.removeIdle(conn)
	}
	c.mu.Unlock()
	for _, conn := range idle {
		conn.discard()
	}
}

// Call implements pipeline.Transport. It returns a response of a plain service as a
// pipeline.Reply whatever its status, but a response of a pool without a 2xx status
// as a pipeline.StatusError. A response body larger than Config.MaxResponse gives
// pipeline.ErrLost.
func (c *Client) Call(ctx context.Context, to ident.Address, call pipeline.Call) (pipeline.Reply, error) {
	reply, err := c.call(ctx, to, call)
	return reply, errors.Annotatef(err, "%s %s at %s", call.Method, call.Path, to)
}

func (c *Client) call(ctx context.Context, to ident.Address, call pipeline.Call) (pipeline.Reply, error) {
	request, err := c.newRequest(ctx, to, call)
	if err != nil {
		return pipeline.Reply{}, withKind(pipeline.ErrNotSent, err)
	}
	conn := c.getIdle(to)
	if conn == nil {
		conn, err = c.connect(ctx, to)
		if err != nil {
			return pipeline.Reply{}, withKind(pipeline.ErrNotSent, err)
		}
	}
	response, err := exchange(conn, request, call.Attempt)
	if err != nil {
		return pipeline.Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(response)
	if err != nil {
		conn.discard()
		return pipeline.Reply{}, withKind(pipeline.ErrLost, err)
	}
	if response.Close {
		conn.discard()
	} else {
		c.putIdle(conn)
	}
	if err := rejectionError(response); err != nil {
		return pipeline.Reply{}, err
	}
	if poolPaths[request.URL.Path] && !isSuccess(response.StatusCode) {
		return pipeline.Reply{}, pipeline.StatusError{
			Status: response.StatusCode,
			Body:   body,
		}
	}
	return pipeline.Reply{
		Attempt: call.Attempt,
		Status:  response.StatusCode,
		Type:    response.Header.Get("Content-Type"),
		Body:    body,
		Load:    parseLoad(response.Header.Get(loadHeader)),
	}, nil
}

// newRequest builds the HTTP request of a call.
func (c *Client) newRequest(ctx context.Context, to ident.Address, call pipeline.Call) (*http.Request, error) {
	if int64(len(call.Body)) > c.config.MaxRequest {
		return nil, errors.Errorf("request body exceeds %d bytes", c.config.MaxRequest)
	}
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Errorf("path %q does not start with a slash", call.Path)
	}
	target, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, errors.Annotate(err, "parse path")
	}
	target.Scheme = "http"
	target.Host = string(to)
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Annotate(err, "build request")
	}
	request.GetBody = nil
	for _, header := range call.Headers {
		if name := textproto.CanonicalMIMEHeaderKey(header.Name); !reservedHeaders[name] {
			request.Header.Add(name, header.Value)
		}
	}
	if len(call.Body) > 0 && request.Header.Get("Content-Type") == "" {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set(attemptHeader, string(call.Attempt))
	request.Header.Set(priorityHeader, strconv.Itoa(call.Priority))
	return request, nil
}

// exchange sends the request and returns the response, whose body is still to be
// read. If it returns an error, the connection is closed.
func exchange(conn *connection, request *http.Request, attempt ident.AttemptID) (*http.Response, error) {
	conn.beginExchange()
	response, err := conn.client.RoundTrip(request)
	if err != nil {
		if cause := context.Cause(request.Context()); cause != nil {
			err = cause
		}
		if conn.discard() {
			return nil, withKind(pipeline.ErrLost, err)
		}
		return nil, withKind(pipeline.ErrNotSent, err)
	}
	if httpstatus.KindOf(response.StatusCode) != httpstatus.Final {
		conn.discard()
		_ = response.Body.Close()
		return nil, errors.Annotatef(pipeline.ErrLost, "reply has status %03d", response.StatusCode)
	}
	if got := response.Header.Get(attemptHeader); got != string(attempt) {
		conn.discard()
		_ = response.Body.Close()
		return nil, errors.Annotatef(pipeline.ErrMismatch, "attempt %q answered as %q", attempt, got)
	}
	return response, nil
}

// readBody reads the complete response body. It returns an error if the end of the
// body is not marked or the body is too large.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	if response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errors.New("reply has neither length nor chunks, so its end cannot be told from a broken connection")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxResponse+1))
	if err != nil {
		return nil, errors.Annotate(err, "read reply")
	}
	if int64(len(body)) > c.config.MaxResponse {
		return nil, errors.Errorf("reply exceeds %d bytes", c.config.MaxResponse)
	}
	return body, nil
}

// rejectionError returns the pipeline error of a response that states that the
// request did not run, nil for any other response.
func rejectionError(response *http.Response) error {
	switch state := response.Header.Get(stateHeader); {
	case state == "leaving" && response.StatusCode == http.StatusServiceUnavailable:
		return pipeline.ErrLeaving
	case state == "overloaded" && response.StatusCode == http.StatusServiceUnavailable,
		state == "overloaded" && response.StatusCode == http.StatusTooManyRequests:
		return pipeline.ErrOverloaded
	}
	return nil
}

func isSuccess(status int) bool {
	return status >= 200 && status < 300
}

// withKind wraps err so that it also matches kind, the error that the pipeline acts on.
func withKind(kind errors.ConstError, err error) error {
	return fmt.Errorf("%w: %w", kind, err)
}
