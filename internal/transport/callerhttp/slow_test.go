package callerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
)

// Guards against callers that hold all connections of a host by bodies that arrive a few bytes
// at a time, so that nobody else gets one.
func TestSlowBodies(t *testing.T) {
	const (
		callers  = 4
		interval = 100 * time.Millisecond // between two pieces of a body
		length   = 1 << 20
	)
	tests := map[string]struct {
		piece int // bytes
		taken bool
	}{
		"slow":        {piece: 1, taken: true},
		"fast enough": {piece: 2 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			server := callerhttp.New(callerhttp.Config{
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body) // ends with the connection
					w.WriteHeader(http.StatusOK)
				}),
				Log: zerolog.Nop(),
			})
			listener := callerhttp.Listen(inner, callerhttp.Limits{
				Connections: callers,
			})
			served := make(chan error, 1)
			go func(context.Context) { served <- server.Serve(listener) }(t.Context())
			ctx, cancel := context.WithCancel(t.Context())
			dial := func() net.Conn {
				conn, err := new(net.Dialer).DialContext(ctx, "tcp", inner.Addr().String())
				c.Assert(err, qt.IsNil)
				return conn
			}
			sent := make(chan struct{})
			for range callers {
				conn := dial()
				_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
				c.Assert(err, qt.IsNil)
				go func(ctx context.Context) {
					defer func() { _ = conn.Close() }()
					for err == nil && ctx.Err() == nil {
						_, err = conn.Write(make([]byte, test.piece))
						time.Sleep(interval)
					}
					sent <- struct{}{} // its connection may have been closed
				}(ctx)
			}
			time.Sleep(2 * time.Second)
			conn := dial()
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			c.Check(err == nil || !test.taken, qt.IsTrue)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Check(err == nil, qt.Equals, test.taken)
			if err == nil {
				c.Check(response.Body.Close(), qt.IsNil)
			}
			_ = conn.Close()
			cancel()
			for range callers {
				<-sent
			}
			c.Check(server.Close(), qt.IsNil)
			c.Check(<-served, qt.ErrorIs, http.ErrServerClosed)
		})
	}
}
