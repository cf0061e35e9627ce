package callerhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
)

const (
	testTimeout = 5 * time.Second
	// begunPath is the path of responses of which the header is sent at once, and the rest
	// when the server is released.
	begunPath = "/begun"
)

// heldServer can be held at the moments at which a request may arrive that it has not read.
type heldServer struct {
	*http.Server
	listener *callerhttp.Listener
	address  string
	idle     chan bool // receives a value if the server, which is held, has sent a response
	release  chan bool
}

// newHeldServer starts a server. If holdIdle is set, it is held after its first response.
func newHeldServer(t *testing.T, holdIdle bool, idleTimeout time.Duration, limits callerhttp.Limits) *heldServer {
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return serveHeld(t, inner, make(chan bool), holdIdle, idleTimeout, limits)
}

// serveHeld starts a server that is held until release is closed.
func serveHeld(t *testing.T, inner net.Listener, release chan bool, holdIdle bool, idleTimeout time.Duration, limits callerhttp.Limits) *heldServer {
	s := &heldServer{
		listener: callerhttp.Listen(inner, limits),
		address:  inner.Addr().String(),
		idle:     make(chan bool, 1),
		release:  release,
	}
	s.Server = callerhttp.New(callerhttp.Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == begunPath {
				_ = http.NewResponseController(w).Flush()
				<-s.release
			}
			_, _ = io.WriteString(w, "response")
		}),
		HeaderTimeout: testTimeout,
		IdleTimeout:   idleTimeout,
		Log:           zerolog.Nop(),
	})
	track := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		track(conn, state)
		if state == http.StateIdle && holdIdle {
			s.idle <- true
			<-s.release
		}
	}
	served := make(chan error, 1)
	go func(context.Context) { served <- s.Serve(s.listener) }(t.Context())
	t.Cleanup(func() {
		_ = s.Close()
		qt.Check(t, <-served, qt.IsNotNil)
	})
	return s
}

// stop begins to stop the server. It returns when the server refuses connections and has
// had the time to close those that are open.
func (s *heldServer) stop(ctx context.Context) <-chan error {
	stopped := make(chan error, 1)
	go func(ctx context.Context) { stopped <- s.listener.Drain(ctx) }(ctx)
	for {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp4", s.address)
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	time.Sleep(100 * time.Millisecond)
	return stopped
}

// testCaller is a connection to a server.
type testCaller struct {
	net.Conn
	c      *qt.C
	reader *bufio.Reader
}

func dial(c *qt.C, address string) *testCaller {
	conn, err := new(net.Dialer).DialContext(c.Context(), "tcp4", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return &testCaller{
		Conn:   conn,
		c:      c,
		reader: bufio.NewReader(conn),
	}
}

func (t *testCaller) send(text string) {
	_, err := io.WriteString(t, text)
	t.c.Assert(err, qt.IsNil)
}

// receive reads a response and reports whether it ends the connection. Between its header
// and its body it calls begun.
func (t *testCaller) receive(begun func()) (closes bool) {
	response, err := http.ReadResponse(t.reader, nil)
	t.c.Assert(err, qt.IsNil)
	t.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	begun()
	body, err := io.ReadAll(response.Body)
	t.c.Assert(err, qt.IsNil)
	t.c.Assert(string(body), qt.Equals, "response")
	t.c.Assert(response.Body.Close(), qt.IsNil)
	return response.Close
}

// Guards against a stop that closes a connection on which a request has arrived: the
// request gets neither a response nor a refusal.
func TestStopWithUnansweredRequest(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	tests := map[string]struct {
		first         string // request before
		before, after string // parts of the second request, sent before and after the stop begins
		holdIdle      bool
	}{
		"not read": {
			first:    request,
			before:   request,
			holdIdle: true,
		},
		"header not complete": {
			first:  request,
			before: request[:20],
			after:  request[20:],
		},
		"sent during a response that began before": {
			first: "GET " + begunPath + " HTTP/1.1\r\nHost: a\r\n\r\n",
			after: request,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newHeldServer(t, test.holdIdle, time.Minute, callerhttp.Limits{})
			caller := dial(c, s.address)
			var stopped <-chan error
			stop := func() {
				if test.holdIdle {
					<-s.idle
				}
				caller.send(test.before)
				stopped = s.stop(t.Context())
				caller.send(test.after)
				close(s.release)
			}
			caller.send(test.first)
			if test.first == request {
				caller.receive(func() {})
				stop()
			} else {
				caller.receive(stop)
			}
			c.Check(caller.receive(func() {}), qt.IsTrue)
			c.Check(<-stopped, qt.IsNil)
		})
	}
}

// Guards against a request that is lost because the time limit of an idle connection passes
// after it has arrived and before it is read.
func TestIdleTimeoutWithUnreadRequest(t *testing.T) {
	c := qt.New(t)
	s := newHeldServer(t, true, time.Nanosecond, callerhttp.Limits{})
	caller := dial(c, s.address)
	caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	caller.receive(func() {})
	<-s.idle
	caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	close(s.release)
	caller.receive(func() {})
}

// Guards against a request that is lost because a new connection takes the place of the one
// on which it has arrived.
func TestConnectionLimitWithUnreadRequest(t *testing.T) {
	c := qt.New(t)
	s := newHeldServer(t, true, time.Minute, callerhttp.Limits{
		Connections: 1,
	})
	caller := dial(c, s.address)
	caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	caller.receive(func() {})
	<-s.idle
	caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	refused := dial(c, s.address)
	_, err := refused.reader.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
	close(s.release)
	caller.receive(func() {})
}

// heldListener accepts no connection before it is released.
type heldListener struct {
	*net.TCPListener
	release chan bool
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

// Guards against a stop that resets connections which callers have opened, and perhaps sent
// requests on, before the server has accepted them.
func TestStopWithConnectionNotAccepted(t *testing.T) {
	c := qt.New(t)
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	release := make(chan bool)
	s := serveHeld(t, heldListener{
		TCPListener: inner.(*net.TCPListener),
		release:     release,
	}, release, false, time.Minute, callerhttp.Limits{})
	caller := dial(c, s.address)
	caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	stopped := make(chan error, 1)
	go func(ctx context.Context) { stopped <- s.listener.Drain(ctx) }(t.Context())
	time.Sleep(100 * time.Millisecond)
	close(release)
	c.Check(caller.receive(func() {}), qt.IsTrue)
	c.Check(<-stopped, qt.IsNil)
}

// Guards against a caller that sends line breaks only, and so holds up a stop and keeps its
// connection at the limit: they are bytes, and no part of a request.
func TestLineBreaksOnly(t *testing.T) {
	const limit = 2
	c := qt.New(t)
	release := make(chan bool)
	close(release)
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := serveHeld(t, inner, release, false, testTimeout, callerhttp.Limits{
		Connections: limit,
	})
	ended := make(chan bool, limit)
	for range limit {
		caller := dial(c, s.address)
		caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		caller.receive(func() {})
		go func(ctx context.Context) {
			defer func() { ended <- true }()
			for ctx.Err() == nil {
				if _, err := io.WriteString(caller, "\r\n"); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}(t.Context())
	}
	time.Sleep(500 * time.Millisecond)
	other := dial(c, s.address)
	other.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	other.receive(func() {})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout/2)
	defer cancel()
	c.Check(s.listener.Drain(ctx), qt.IsNil)
	for range limit {
		<-ended
	}
}
