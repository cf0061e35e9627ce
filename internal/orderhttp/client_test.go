package orderhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/orderhttp"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
	"github.com/nutmegshift/nutmegshift/order"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	engine ident.UpstreamID    = "engine-1"
	fence  ident.FencingNumber = 7

	short    = 20 * time.Millisecond
	patience = 10 * time.Second
)

// connect returns a client of a handler that serves as engine; a load without
// an answer is taken for accepted after the given time.
func connect(t *testing.T, handler http.Handler, accept time.Duration) *orderhttp.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	transport := &http.Transport{}
	client := orderhttp.New(orderhttp.Config{
		Client: &http.Client{
			Transport: transport,
		},
		Address: func(id ident.UpstreamID) (ident.Address, bool) {
			return ident.Address(strings.TrimPrefix(server.URL, "http://")), id == engine
		},
		Accept: accept,
		Load:   patience,
	})
	t.Cleanup(func() {
		client.Close()
		transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// answer returns a handler that reads the request and answers.
func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// reset ends the connection with a TCP reset after the request was read.
func reset(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// cut announces more bytes than it sends.
func cut(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"models":[`)
	panic(http.ErrAbortHandler)
}

// hang answers only after the client has gone.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// Guards against a refusal, a fault or a malformed answer that is taken for an
// accepted order or for an engine without models, which would be loaded again.
func TestFaults(t *testing.T) {
	const state = `{"models":["m"],"role":"decode","fencing":7,"orders":1}`
	tests := map[string]struct {
		handler http.HandlerFunc
		read    error
		send    error
	}{
		"state":                       {handler: answer(200, state)},
		"other engine's number":       {handler: answer(409, `{"role":"","fencing":8}`), read: orderhttp.ErrRejected, send: order.ErrStale},
		"conflict at the same number": {handler: answer(409, state), read: orderhttp.ErrRejected, send: orderhttp.ErrRejected},
		"conflict without a state":    {handler: answer(409, `{}`), read: orderhttp.ErrRejected, send: orderhttp.ErrInvalid},
		"conflict not JSON":           {handler: answer(409, `no`), read: orderhttp.ErrRejected, send: orderhttp.ErrInvalid},
		"bad request":                 {handler: answer(400, `{}`), read: orderhttp.ErrRejected, send: orderhttp.ErrRejected},
		"missing path":                {handler: answer(404, `{}`), read: orderhttp.ErrRejected, send: orderhttp.ErrRejected},
		"redirect":                    {handler: answer(307, ``), read: orderhttp.ErrRejected, send: orderhttp.ErrRejected},
		"no content":                  {handler: answer(204, ``), read: orderhttp.ErrRejected, send: orderhttp.ErrRejected},
		"too many requests":           {handler: answer(429, ``), read: orderhttp.ErrUnavailable, send: orderhttp.ErrUnavailable},
		"server error":                {handler: answer(500, state), read: orderhttp.ErrUnavailable, send: orderhttp.ErrUnavailable},
		"leaving":                     {handler: answer(503, `{}`), read: orderhttp.ErrUnavailable, send: orderhttp.ErrUnavailable},
		"not JSON":                    {handler: answer(200, `<html>`), read: orderhttp.ErrInvalid, send: orderhttp.ErrInvalid},
		"JSON of another kind":        {handler: answer(200, `{"load":3}`), read: orderhttp.ErrInvalid, send: orderhttp.ErrInvalid},
		"wrong type":                  {handler: answer(200, `{"models":"m","role":"","fencing":1}`), read: orderhttp.ErrInvalid, send: orderhttp.ErrInvalid},
		"too long":                    {handler: answer(200, strings.Repeat(" ", 65<<10)+state), read: orderhttp.ErrInvalid, send: orderhttp.ErrInvalid},
		"cut":                         {handler: cut, read: orderhttp.ErrUnavailable, send: orderhttp.ErrUnavailable},
		"reset":                       {handler: reset, read: orderhttp.ErrUnavailable, send: orderhttp.ErrUnavailable},
		"hang":                        {handler: hang, read: orderhttp.ErrUnavailable, send: orderhttp.ErrUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := connect(t, test.handler, patience)
			limit := patience
			if name == "hang" {
				limit = short
			}
			call := func(do func(ctx context.Context) error, want error) {
				c.Helper()
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				defer cancel()
				err := do(ctx)
				if want == nil {
					c.Assert(err, qt.IsNil)
					return
				}
				c.Assert(err, qt.ErrorIs, want)
			}
			call(func(ctx context.Context) error {
				_, err := client.Actual(ctx, engine)
				return err
			}, test.read)
			for _, o := range []order.Order{order.Load{Model: "m"}, order.Unload{Model: "m"}, order.SetRole{Role: "decode"}} {
				call(func(ctx context.Context) error { return client.Send(ctx, engine, fence, o) }, test.send)
			}
		})
	}
}

// Guards against an order to an engine that is not known, and a connection that
// nobody accepts.
func TestNoEngine(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client := connect(t, http.NotFoundHandler(), patience)
	_, err := client.Actual(ctx, "other")
	c.Assert(err, qt.ErrorIs, order.ErrNoEngine)
	c.Assert(client.Send(ctx, "other", fence, order.Load{Model: "m"}), qt.ErrorIs, order.ErrNoEngine)

	refusing := orderhttp.New(orderhttp.Config{
		Client:  &http.Client{},
		Address: func(ident.UpstreamID) (ident.Address, bool) { return "127.0.0.1:1", true },
		Accept:  patience,
		Load:    patience,
	})
	c.Assert(refusing.Send(ctx, engine, fence, order.Load{Model: "m"}), qt.ErrorIs, orderhttp.ErrUnavailable)
}

// The contract with engines, on the stand-in.
func TestEngine(t *testing.T) {
	tests := map[string]struct {
		checks bool
		stale  error
		role   order.Role // after the late order
	}{
		"engine checks fencing numbers":  {checks: true, stale: order.ErrStale, role: "decode"},
		"engine ignores fencing numbers": {role: "prefill"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			client := connect(t, upstreams.NewEngine(upstreams.EngineConfig{
				ChecksFence: test.checks,
				Models:      []ident.ModelName{"old"},
			}).Handler(), patience)
			for _, o := range []order.Order{
				order.SetRole{Role: "decode"},
				order.Unload{Model: "old"},
				order.Load{Model: "new"},
				order.Load{Model: "new"}, // a repeated order changes nothing
			} {
				c.Assert(client.Send(ctx, engine, fence, o), qt.IsNil)
			}
			actual, err := client.Actual(ctx, engine)
			c.Assert(err, qt.IsNil)
			c.Assert(actual.Role, qt.Equals, order.Role("decode"))
			c.Assert(actual.Models, qt.DeepEquals, []ident.ModelName{"new"})
			c.Assert(actual.Loading, qt.HasLen, 0)

			err = client.Send(ctx, engine, fence-1, order.SetRole{Role: "prefill"})
			if test.stale == nil {
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(err, qt.ErrorIs, test.stale)
			}
			actual, err = client.Actual(ctx, engine)
			c.Assert(err, qt.IsNil)
			c.Assert(actual.Role, qt.Equals, test.role)
		})
	}
}

// Guards against a load that holds up the tick, is ordered twice, or cannot be
// stopped.
func TestLongLoad(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	standin := upstreams.NewEngine(upstreams.EngineConfig{
		ChecksFence: true,
		LoadTime:    time.Hour,
	})
	client := connect(t, standin.Handler(), short)
	for range 3 {
		c.Assert(client.Send(ctx, engine, fence, order.Load{Model: "m"}), qt.IsNil)
	}
	actual, err := client.Actual(ctx, engine)
	c.Assert(err, qt.IsNil)
	c.Assert(actual.Models, qt.HasLen, 0)
	c.Assert(actual.Loading, qt.DeepEquals, []ident.ModelName{"m"})

	// A stale number is refused at once, also for a load that takes long.
	former := connect(t, standin.Handler(), patience)
	c.Assert(former.Send(ctx, engine, fence-1, order.Load{Model: "other"}), qt.ErrorIs, order.ErrStale)

	c.Assert(client.Send(ctx, engine, fence, order.Unload{Model: "m"}), qt.IsNil)
	actual, err = client.Actual(ctx, engine)
	c.Assert(err, qt.IsNil)
	c.Assert(actual.Loading, qt.HasLen, 0)

	c.Assert(client.Send(ctx, engine, fence, order.Load{Model: "m"}), qt.IsNil)
	client.Close()
	actual, err = client.Actual(ctx, engine)
	c.Assert(err, qt.IsNil)
	c.Assert(actual.Loading, qt.HasLen, 0)
}

// Guards against a load that failed in the background and is never ordered again.
func TestBackgroundLoadFails(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	release := make(chan struct{})
	client := connect(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-release
			answer(500, ``)(w, r)
			return
		}
		answer(200, `{"models":null,"role":"","fencing":0}`)(w, r)
	}), short)
	c.Assert(client.Send(ctx, engine, fence, order.Load{Model: "m"}), qt.IsNil)
	actual, err := client.Actual(ctx, engine)
	c.Assert(err, qt.IsNil)
	c.Assert(actual.Loading, qt.HasLen, 1)
	close(release)
	for limit := time.Now().Add(patience); len(actual.Loading) > 0; {
		c.Assert(time.Now().Before(limit), qt.IsTrue)
		actual, err = client.Actual(ctx, engine)
		c.Assert(err, qt.IsNil)
	}
	for limit := time.Now().Add(patience); ; {
		err := client.Send(ctx, engine, fence, order.Load{Model: "m"})
		if err != nil {
			c.Assert(err, qt.ErrorIs, orderhttp.ErrUnavailable)
			return
		}
		c.Assert(time.Now().Before(limit), qt.IsTrue)
	}
}
