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
	"github.com/nutmegshift/nutmegshift/order"
)

const (
	path = "/orders"
	// maxAnswer bounds the bytes of an engine's state.
	maxAnswer = 64 << 10
)

// Errors that Client returns, annotated. A stale fencing number is
// order.ErrStale, an engine without a known address order.ErrNoEngine.
const (
	ErrUnavailable = errors.ConstError("engine did not answer, an order may have taken effect")
	ErrRejected    = errors.ConstError("engine does not accept the order")
	ErrInvalid     = errors.ConstError("answer is not the state of an engine")
)

// Config holds the dependencies of a Client.
type Config struct {
	Client  *http.Client // its redirect policy is not used
	Address func(engine ident.UpstreamID) (ident.Address, bool)
	Accept  time.Duration // time after which an order to load that has no answer is taken for accepted
	Load    time.Duration // longest load of a model
}

// Client reaches engines over HTTP.
type Client struct {
	client  http.Client
	address func(ident.UpstreamID) (ident.Address, bool)
	accept  time.Duration
	load    time.Duration
	loads   *loads
}

var _ order.Engines = (*Client)(nil)

// New returns a client without loads.
func New(config Config) *Client {
	c := &Client{
		client:  *config.Client,
		address: config.Address,
		accept:  config.Accept,
		load:    config.Load,
		loads:   newLoads(),
	}
	// A followed redirect could give the order to another engine.
	c.client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return c
}

// orderBody is the body of an order.
type orderBody struct {
	Kind  string          `json:"kind"` // load, unload or role
	Model ident.ModelName `json:"model,omitempty"`
	Role  order.Role      `json:"role,omitempty"`
}

// stateBody is the answer to both calls. The pointers tell a state from other JSON.
type stateBody struct {
	Role    *order.Role          `json:"role"`
	Models  []ident.ModelName    `json:"models"`
	Fencing *ident.FencingNumber `json:"fencing"`
}

// Actual implements order.Engines.
func (c *Client) Actual(ctx context.Context, engine ident.UpstreamID) (order.Actual, error) {
	// Loads are read first: one that ends during the call is in one of the two lists.
	loading := c.loads.of(engine)
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
		return errors.Annotatef(ErrRejected, "order of type %T", o)
	}
}

// Close cancels the loads in progress and waits until they ended.
func (c *Client) Close() {
	c.loads.close()
}

// sendLoad starts a load unless it is in progress, and waits for its answer
// until it can be taken for accepted.
func (c *Client) sendLoad(ctx context.Context, engine ident.UpstreamID, fence ident.FencingNumber, model ident.ModelName) error {
	l := c.loads.begin(ctx, c.load, engine, model, func(ctx context.Context) error {
		return c.post(ctx, engine, fence, orderBody{
			Kind:  "load",
			Model: model,
		})
	})
	accepted := time.NewTimer(c.accept)
	defer accepted.Stop()
	select {
	case <-l.ended:
		return l.err
	case <-accepted.C:
		return nil
	case <-ctx.Done():
		l.cancel()
		<-l.ended
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

// do makes one call and returns the state that the engine answers with.
func (c *Client) do(ctx context.Context, engine ident.UpstreamID, method string, body []byte, fence ident.FencingNumber) (stateBody, error) {
	address, known := c.address(engine)
	if !known {
		return stateBody{}, errors.Annotatef(order.ErrNoEngine, "engine %q", engine)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(address)+path, bytes.NewReader(body))
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return stateBody{}, errors.Annotatef(ErrUnavailable, "engine %q: read answer: %v", engine, err)
	}
	state, err := translate(response.StatusCode, answer, method, fence)
	return state, errors.Annotatef(err, "engine %q", engine)
}

// translate returns the state in an answer or the error that it stands for.
func translate(status int, answer []byte, method string, fence ident.FencingNumber) (stateBody, error) {
	switch {
	case status == http.StatusOK, status == http.StatusConflict && method == http.MethodPost:
	case status == http.StatusTooManyRequests, status == http.StatusRequestTimeout, status >= http.StatusInternalServerError:
		return stateBody{}, errors.Annotatef(ErrUnavailable, "status %d", status)
	default:
		return stateBody{}, errors.Annotatef(ErrRejected, "status %d", status)
	}
	var state stateBody
	if len(answer) > maxAnswer {
		return stateBody{}, errors.Annotatef(ErrInvalid, "more than %d bytes", maxAnswer)
	}
	if err := json.Unmarshal(answer, &state); err != nil {
		return stateBody{}, errors.Annotatef(ErrInvalid, "status %d: %v", status, err)
	}
	if state.Role == nil || state.Fencing == nil {
		return stateBody{}, errors.Annotatef(ErrInvalid, "status %d without role or fencing number", status)
	}
	if status == http.StatusOK {
		return state, nil
	}
	// Only a number above ours makes the refusal one of a stale number.
	if *state.Fencing <= fence {
		return stateBody{}, errors.Annotatef(ErrRejected, "conflict at fencing number %d, highest is %d", fence, *state.Fencing)
	}
	return stateBody{}, errors.Annotatef(order.ErrStale, "fencing number %d, highest is %d", fence, *state.Fencing)
}
