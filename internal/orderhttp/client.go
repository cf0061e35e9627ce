package orderhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/transport/httpstatus"
	"github.com/nutmegshift/nutmegshift/order"
)

const (
	ordersPath = "/orders"
	// maxStateBytes bounds a response body, which is the state of an engine.
	maxStateBytes = 64 << 10
)

// Errors that the methods of Client return, annotated. They also return
// order.ErrStale for a stale fencing number and order.ErrNoEngine for an engine
// whose address is not known.
const (
	ErrUnavailable = errors.ConstError("engine unavailable, an order may have taken effect")
	ErrRejected    = errors.ConstError("request not accepted")
	ErrInvalid     = errors.ConstError("response is not an engine state")
)

// Config holds the dependencies of a Client.
type Config struct {
	Client *http.Client // copied; redirects are never followed
	// Address returns the address of an engine, and false if the engine is unknown.
	Address func(engine ident.UpstreamID) (ident.Address, bool)
	// AcceptAfter is how long Send waits for the response to a load before it
	// treats the load as accepted.
	AcceptAfter time.Duration
	LoadTimeout time.Duration // timeout of a model load
}

// Client is the order.Engines implementation over HTTP.
type Client struct {
	client      http.Client
	address     func(ident.UpstreamID) (ident.Address, bool)
	acceptAfter time.Duration
	loadTimeout time.Duration
	loads       *loads
}

var _ order.Engines = (*Client)(nil)

// New returns a client. Close must be called to end the loads that it starts.
func New(config Config) *Client {
	c := &Client{
		client:      *config.Client,
		address:     config.Address,
		acceptAfter: config.AcceptAfter,
		loadTimeout: config.LoadTimeout,
		loads:       newLoads(),
	}
	// Following a redirect could send the order to another engine.
	c.client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return c
}

// orderBody is the request body of an order.
type orderBody struct {
	Kind  string          `json:"kind"` // load, unload or role
	Model ident.ModelName `json:"model,omitempty"`
	Role  order.Role      `json:"role,omitempty"`
}

// stateBody is the response body of both calls. The pointers distinguish a state
// from other JSON objects, which lack the fields.
type stateBody struct {
	Role    *order.Role          `json:"role"`
	Models  []ident.ModelName    `json:"models"`
	Fencing *ident.FencingNumber `json:"fencing"`
}

// Actual implements order.Engines.
func (c *Client) Actual(ctx context.Context, engine ident.UpstreamID) (order.Actual, error) {
	// Read the loads before the state. In the other order, a load that completes
	// in between would be in neither list.
	loading := c.loads.models(engine)
	state, err := c.do(ctx, engine, http.MethodGet, nil, 0)
	if err != nil {
		return order.Actual{}, err
	}
	return order.Actual{
		Role:   *state.Role,
		Models: state.Models,
		Loading: slices.DeleteFunc(loading, func(model ident.ModelName) bool {
			return slices.Contains(state.Models, model)
		}),
	}, nil
}

// Send implements order.Engines.
func (c *Client) Send(ctx context.Context, engine ident.UpstreamID, fence ident.FencingNumber, o order.Order) error {
	switch o := o.(type) {
	case order.Load:
		return c.sendLoad(ctx, engine, fence, o.Model)
	case order.Unload:
		c.loads.cancel(engine, o.Model)
		return c.post(ctx, engine, fence, orderBody{
			Kind:  "unload",
			Model: o.Model,
		})
	case order.SetRole:
		return c.post(ctx, engine, fence, orderBody{
			Kind: "role",
			Role: o.Role,
		})
	default:
		return errors.Annotatef(ErrRejected, "unsupported order type %T", o)
	}
}

// Close cancels the loads in progress and waits until they have ended.
func (c *Client) Close() {
	c.loads.cancelAll()
}

// sendLoad starts a load, unless it is already in progress, and waits for the
// response. After acceptAfter it treats the load as accepted and returns nil.
func (c *Client) sendLoad(ctx context.Context, engine ident.UpstreamID, fence ident.FencingNumber, model ident.ModelName) error {
	l := c.loads.start(ctx, c.loadTimeout, engine, model, func(ctx context.Context) error {
		return c.post(ctx, engine, fence, orderBody{
			Kind:  "load",
			Model: model,
		})
	})
	timer := time.NewTimer(c.acceptAfter)
	defer timer.Stop()
	select {
	case <-l.done:
		return l.err
	case <-timer.C:
		return nil
	case <-ctx.Done():
		l.cancel()
		<-l.done
		return l.err
	}
}

func (c *Client) post(ctx context.Context, engine ident.UpstreamID, fence ident.FencingNumber, body orderBody) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Annotate(err, "encode order")
	}
	_, err = c.do(ctx, engine, http.MethodPost, encoded, fence)
	return errors.Annotatef(err, "order to %s", body.Kind)
}

// do makes one HTTP call and returns the state in the response.
func (c *Client) do(ctx context.Context, engine ident.UpstreamID, method string, body []byte, fence ident.FencingNumber) (stateBody, error) {
	address, known := c.address(engine)
	if !known {
		return stateBody{}, errors.Annotatef(order.ErrNoEngine, "engine %q", engine)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(address)+ordersPath, bytes.NewReader(body))
	if err != nil {
		return stateBody{}, errors.Annotatef(order.ErrNoEngine, "engine %q at %q: %v", engine, address, err)
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Fencing-Number", strconv.FormatUint(uint64(fence), 10))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return stateBody{}, errors.Annotatef(ErrUnavailable, "engine %q: %v", engine, err)
	}
	defer func() { _ = response.Body.Close() }()
	if httpstatus.KindOf(response.StatusCode) != httpstatus.Final {
		return stateBody{}, errors.Annotatef(ErrUnavailable, "engine %q: status %d", engine, response.StatusCode)
	}
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes+1))
	if err != nil {
		return stateBody{}, errors.Annotatef(ErrUnavailable, "engine %q: read response body: %v", engine, err)
	}
	state, err := decodeResponse(response.StatusCode, encoded, method, fence)
	return state, errors.Annotatef(err, "engine %q", engine)
}

// decodeResponse returns the state in a response, or the error for its status.
func decodeResponse(status int, body []byte, method string, fence ident.FencingNumber) (stateBody, error) {
	switch {
	case status == http.StatusOK, status == http.StatusConflict && method == http.MethodPost:
	case status == http.StatusTooManyRequests, status == http.StatusRequestTimeout, status >= http.StatusInternalServerError:
		return stateBody{}, errors.Annotatef(ErrUnavailable, "status %d", status)
	default:
		return stateBody{}, errors.Annotatef(ErrRejected, "status %d", status)
	}
	var state stateBody
	if len(body) > maxStateBytes {
		return stateBody{}, errors.Annotatef(ErrInvalid, "more than %d bytes", maxStateBytes)
	}
	if err := json.Unmarshal(body, &state); err != nil {
		return stateBody{}, errors.Annotatef(ErrInvalid, "status %d: %v", status, err)
	}
	if state.Role == nil || state.Fencing == nil {
		return stateBody{}, errors.Annotatef(ErrInvalid, "status %d: no role or fencing number in the body", status)
	}
	if status == http.StatusOK {
		return state, nil
	}
	// The fencing number is stale only if the engine has accepted a higher one.
	if *state.Fencing <= fence {
		return stateBody{}, errors.Annotatef(ErrRejected, "conflict at fencing number %d, the engine's highest is %d", fence, *state.Fencing)
	}
	return stateBody{}, errors.Annotatef(order.ErrStale, "fencing number %d, the engine's highest is %d", fence, *state.Fencing)
}
