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
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// The header fields of the upstream protocol.
const (
	attemptHeader  = "Attempt-Id"
	priorityHeader = "Priority"
	stateHeader    = "Upstream-State"
	loadHeader     = "Upstream-Load"
)

// poolPaths are the paths of the stages that pools serve. Calls to any other
// path go to plain services.
var poolPaths = map[string]bool{
	"/v1/encode":   true,
	"/v1/retrieve": true,
	"/v1/rerank":   true,
}

// ownHeaders are set by the client or describe the connection of the caller, so
// they are not passed through. Accept-Encoding is among them because a Reply
// does not carry the encoding of its body.
var ownHeaders = map[string]bool{
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
	idle   map[ident.Address][]*connection // the most recently used one is last
}

var _ pipeline.Transport = (*Client)(nil)

// New returns a client without connections.
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
		MaxResponseHeaderBytes: maxReplyHeader,
		Protocols:              protocols,
	}
	return c
}

// Close closes the idle connections; the others are closed as their exchanges end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	var idle []*connection
	for _, list := range c.idle {
		idle = append(idle, list...)
	}
	for _, conn := range idle {
		c.remove(conn)
	}
	c.mu.Unlock()
	for _, conn := range idle {
		conn.discard()
	}
}

// Call implements pipeline.Transport. The answer of a plain service is a Reply
// whatever its status; pools that answer without success give a
// pipeline.StatusError. A reply that exceeds Config.MaxReply is lost.
func (c *Client) Call(ctx context.Context, to ident.Address, call pipeline.Call) (pipeline.Reply, error) {
	reply, err := c.call(ctx, to, call)
	return reply, errors.Annotatef(err, "%s %s at %s", call.Method, call.Path, to)
}

func (c *Client) call(ctx context.Context, to ident.Address, call pipeline.Call) (pipeline.Reply, error) {
	request, err := c.request(ctx, to, call)
	if err != nil {
		return pipeline.Reply{}, mapped(pipeline.ErrNotSent, err)
	}
	conn := c.take(to)
	if conn == nil {
		conn, err = c.connect(ctx, to)
		if err != nil {
			return pipeline.Reply{}, mapped(pipeline.ErrNotSent, err)
		}
	}
	response, err := exchange(conn, request, call.Attempt)
	if err != nil {
		return pipeline.Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.body(response)
	if err != nil {
		conn.discard()
		return pipeline.Reply{}, mapped(pipeline.ErrLost, err)
	}
	if response.Close {
		conn.discard()
	} else {
		c.put(conn)
	}
	if err := refusal(response); err != nil {
		return pipeline.Reply{}, err
	}
	if poolPaths[request.URL.Path] && !success(response.StatusCode) {
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

// request builds the HTTP request of a call.
func (c *Client) request(ctx context.Context, to ident.Address, call pipeline.Call) (*http.Request, error) {
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
		if name := textproto.CanonicalMIMEHeaderKey(header.Name); !ownHeaders[name] {
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

// exchange sends the request and returns the head of the reply to it. After an
// error the connection is closed.
func exchange(conn *connection, request *http.Request, attempt ident.AttemptID) (*http.Response, error) {
	conn.begin()
	response, err := conn.client.RoundTrip(request)
	if err != nil {
		if ended := context.Cause(request.Context()); ended != nil {
			err = ended
		}
		if conn.discard() {
			return nil, mapped(pipeline.ErrLost, err)
		}
		return nil, mapped(pipeline.ErrNotSent, err)
	}
	if got := response.Header.Get(attemptHeader); got != string(attempt) {
		conn.discard()
		_ = response.Body.Close()
		return nil, errors.Annotatef(pipeline.ErrMismatch, "attempt %q answered as %q", attempt, got)
	}
	return response, nil
}

// body reads the complete reply body.
func (c *Client) body(response *http.Response) ([]byte, error) {
	if response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errors.New("reply has neither length nor chunks, so its end cannot be told from a broken connection")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxReply+1))
	if err != nil {
		return nil, errors.Annotate(err, "read reply")
	}
	if int64(len(body)) > c.config.MaxReply {
		return nil, errors.Errorf("reply exceeds %d bytes", c.config.MaxReply)
	}
	return body, nil
}

// refusal returns the error of a reply that states that the request did not run.
func refusal(response *http.Response) error {
	switch state := response.Header.Get(stateHeader); {
	case state == "leaving" && response.StatusCode == http.StatusServiceUnavailable:
		return pipeline.ErrLeaving
	case state == "overloaded" && response.StatusCode == http.StatusServiceUnavailable,
		state == "overloaded" && response.StatusCode == http.StatusTooManyRequests:
		return pipeline.ErrOverloaded
	}
	return nil
}

func success(status int) bool {
	return status >= 200 && status < 300
}

// mapped gives err the kind that the pipeline acts on.
func mapped(kind errors.ConstError, err error) error {
	return fmt.Errorf("%w: %w", kind, err)
}
