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

	shortTimeout = 20 * time.Millisecond
	timeout      = 10 * time.Second
)

// newClient returns a client of a test server whose handler acts as engine. Load
// orders without a response are treated as accepted after acceptAfter.
func newClient(t *testing.T, handler http.Handler, acceptAfter time.Duration) *orderhttp.Client {
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
		AcceptAfter: acceptAfter,
		LoadTimeout: timeout,
	})
	t.Cleanup(func() {
		client.Close()
		transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// respond returns a handler that reads the request and sends a fixed response.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// resetConnection reads the request and closes the connection with a TCP reset.
func resetConnection(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// truncateBody sends fewer bytes than its Content-Length says.
func truncateBody(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"models":[`)
	panic(http.ErrAbortHandler)
}

// respondRaw reads the request, writes a text and closes the connection.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// switchProtocols seems to switch protocols, and returns when the client closes the
// connection or after some seconds.
func switchProtocols(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
}

// hang does not respond until the client closes the connection.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// Guards against treating a rejection, a connection fault or a malformed response
// as an accepted order, or as the state of an engine without models, which would
// load its models again.
func TestFaults(t *testing.T) {
	const state = `{"models":["m"],"role":"decode","fencing":7,"orders":1}`
	tests := map[string]struct {
		handler   http.HandlerFunc
		actualErr error
		sendErr   error
	}{
		"state":                       {handler: respond(200, state)},
		"conflict at a higher number": {handler: respond(409, `{"role":"","fencing":8}`), actualErr: orderhttp.ErrRejected, sendErr: order.ErrStale},
		"conflict at the same number": {handler: respond(409, state), actualErr: orderhttp.ErrRejected, sendErr: orderhttp.ErrRejected},
		"conflict without a state":    {handler: respond(409, `{}`), actualErr: orderhttp.ErrRejected, sendErr: orderhttp.ErrInvalid},
		"conflict not JSON":           {handler: respond(409, `no`), actualErr: orderhttp.ErrRejected, sendErr: orderhttp.ErrInvalid},
		"bad request":                 {handler: respond(400, `{}`), actualErr: orderhttp.ErrRejected, sendErr: orderhttp.ErrRejected},
		"path not found":              {handler: respond(404, `{}`), actualErr: orderhttp.ErrRejected, sendErr: orderhttp.ErrRejected},
		"redirect":                    {handler: respond(307, ``), actualErr: orderhttp.ErrRejected, sendErr: orderhttp.ErrRejected},
		"no content":                  {handler: respond(204, ``), actualErr: orderhttp.ErrRejected, sendErr: orderhttp.ErrRejected},
		"too many requests":           {handler: respond(429, ``), actualErr: orderhttp.ErrUnavailable, sendErr: orderhttp.ErrUnavailable},
		"server error":                {handler: respond(500, state), actualErr: orderhttp.ErrUnavailable, sendErr: orderhttp.ErrUnavailable},
		"leaving":                     {handler: respond(503, `{}`), actualErr: orderhttp.ErrUnavailable, sendErr: orderhttp.ErrUnavailable},
		"not JSON":                    {handler: respond(200, `<html>`), actualErr: orderhttp.ErrInvalid, sendErr: orderhttp.ErrInvalid},
		"JSON without state fields":   {handler: respond(200, `{"load":3}`), actualErr: orderhttp.ErrInvalid, sendErr: orderhttp.ErrInvalid},
		"wrong type":                  {handler: respond(200, `{"models":"m","role":"","fencing":1}`), actualErr: orderhttp.ErrInvalid, sendErr: orderhttp.ErrInvalid},
		"body too long":               {handler: respond(200, strings.Repeat(" ", 65<<10)+state), actualErr: orderhttp.ErrInvalid, sendErr: orderhttp.ErrInvalid},
		"truncated body":              {handler: truncateBody, actualErr: orderhttp.ErrUnavailable, sendErr: orderhttp.ErrUnavailable},
		"reset":                       {handler: resetConnection, actualErr: orderhttp.ErrUnavailable, sendErr: orderhttp.ErrUnavailable},
		"status 000":                  {handler: respondRaw("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}"), actualErr: orderhttp.ErrUnavailable, sendErr: orderhttp.ErrUnavailable},
		"status 600":                  {handler: respondRaw("HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}"), actualErr: orderhttp.ErrUnavailable, sendErr: orderhttp.ErrUnavailable},
		"part without a length":       {handler: respondRaw("HTTP/1.1 200 OK\r\n\r\n" + state[:len(state)-1]), actualErr: orderhttp.ErrInvalid, sendErr: orderhttp.ErrInvalid},
		"switches protocols":          {handler: switchProtocols, actualErr: orderhttp.ErrUnavailable, sendErr: orderhttp.ErrUnavailable},
		"hang":                        {handler: hang, actualErr: orderhttp.ErrUnavailable, sendErr: orderhttp.ErrUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient(t, test.handler, timeout)
			limit := timeout
			if name == "hang" {
				limit = shortTimeout
			}
			assertErr := func(do func(ctx context.Context) error, want error) {
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
			assertErr(func(ctx context.Context) error {
				_, err := client.Actual(ctx, engine)
				return err
			}, test.actualErr)
			for _, o := range []order.Order{order.Load{Model: "m"}, order.Unload{Model: "m"}, order.SetRole{Role: "decode"}} {
				assertErr(func(ctx context.Context) error { return client.Send(ctx, engine, fence, o) }, test.sendErr)
			}
		})
	}
}

// Guards against wrong errors for an engine that is not known and for an address
// that refuses connections.
func TestNoEngine(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client := newClient(t, http.NotFoundHandler(), timeout)
	_, err := client.Actual(ctx, "other")
	c.Assert(err, qt.ErrorIs, order.ErrNoEngine)
	c.Assert(client.Send(ctx, "other", fence, order.Load{Model: "m"}), qt.ErrorIs, order.ErrNoEngine)

	unreachable := orderhttp.New(orderhttp.Config{
		Client:      &http.Client{},
		Address:     func(ident.UpstreamID) (ident.Address, bool) { return "127.0.0.1:1", true },
		AcceptAfter: timeout,
		LoadTimeout: timeout,
	})
	c.Assert(unreachable.Send(ctx, engine, fence, order.Load{Model: "m"}), qt.ErrorIs, orderhttp.ErrUnavailable)
}

// Checks the orders and the handling of fencing numbers against the engine stand-in.
func TestEngine(t *testing.T) {
	tests := map[string]struct {
		checksFence bool
		staleErr    error
		lateRole    order.Role // after the late order
	}{
		"engine checks fencing numbers":  {checksFence: true, staleErr: order.ErrStale, lateRole: "decode"},
		"engine ignores fencing numbers": {lateRole: "prefill"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			client := newClient(t, upstreams.NewEngine(upstreams.EngineConfig{
				CheckFencing: test.checksFence,
				Models:       []ident.ModelName{"old"},
			}).Handler(), timeout)
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
			if test.staleErr == nil {
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(err, qt.ErrorIs, test.staleErr)
			}
			actual, err = client.Actual(ctx, engine)
			c.Assert(err, qt.IsNil)
			c.Assert(actual.Role, qt.Equals, test.lateRole)
		})
	}
}

// Guards against a long load that blocks the tick, is ordered twice, or cannot be
// cancelled by Unload or Close.
func TestLongLoad(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	standin := upstreams.NewEngine(upstreams.EngineConfig{
		CheckFencing: true,
		LoadTime:     time.Hour,
	})
	client := newClient(t, standin.Handler(), shortTimeout)
	for range 3 {
		c.Assert(client.Send(ctx, engine, fence, order.Load{Model: "m"}), qt.IsNil)
	}
	actual, err := client.Actual(ctx, engine)
	c.Assert(err, qt.IsNil)
	c.Assert(actual.Models, qt.HasLen, 0)
	c.Assert(actual.Loading, qt.DeepEquals, []ident.ModelName{"m"})

	// A stale fencing number is rejected at once, also for a long load.
	formerHolder := newClient(t, standin.Handler(), timeout)
	c.Assert(formerHolder.Send(ctx, engine, fence-1, order.Load{Model: "other"}), qt.ErrorIs, order.ErrStale)

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

// Guards against a load that failed in the background but is still reported as
// loading, so that it is never ordered again.
func TestBackgroundLoadFails(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	release := make(chan struct{})
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-release
			respond(500, ``)(w, r)
			return
		}
		respond(200, `{"models":null,"role":"","fencing":0}`)(w, r)
	}), shortTimeout)
	c.Assert(client.Send(ctx, engine, fence, order.Load{Model: "m"}), qt.IsNil)
	actual, err := client.Actual(ctx, engine)
	c.Assert(err, qt.IsNil)
	c.Assert(actual.Loading, qt.HasLen, 1)
	close(release)
	for limit := time.Now().Add(timeout); len(actual.Loading) > 0; {
		c.Assert(time.Now().Before(limit), qt.IsTrue)
		actual, err = client.Actual(ctx, engine)
		c.Assert(err, qt.IsNil)
	}
	for limit := time.Now().Add(timeout); ; {
		err := client.Send(ctx, engine, fence, order.Load{Model: "m"})
		if err != nil {
			c.Assert(err, qt.ErrorIs, orderhttp.ErrUnavailable)
			return
		}
		c.Assert(time.Now().Before(limit), qt.IsTrue)
	}
}
