package upstreamhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/standin/tcp"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// codec implements only the method that the client uses.
type codec struct {
	wire.Codec
}

func (codec) Reply(_ int, header http.Header) wire.Reply {
	return wire.Reply{
		Request: ident.RequestID(header.Get("Id")),
		Sealed:  header.Get("Seal") != "",
		NotRun:  header.Get("Not-Run") != "",
	}
}

// script responds to a request on a connection and reports whether to keep the
// connection open for another request.
type script func(conn *net.TCPConn, request *http.Request, body string) bool

// server is a TCP server that responds to each request by a script and records the
// requests.
type server struct {
	address     ident.Address
	mu          sync.Mutex
	requests    []string
	connections atomic.Int64
	handled     chan struct{} // receives an element when a script has returned, and its connection is closed if it is to be
}

func (s *server) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func serve(t *testing.T, respond script) *server {
	s := &server{
		handled: make(chan struct{}, 1000),
	}
	s.address = tcp.Serve(t, func(conn *net.TCPConn) {
		s.connections.Add(1)
		s.handle(conn, respond)
	}).Address()
	return s
}

func (s *server) handle(conn *net.TCPConn, respond script) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, fmt.Sprintf("%s %s %s %q", request.Method, request.RequestURI, request.Host, body))
		s.mu.Unlock()
		keep := respond(conn, request, string(body))
		if !keep {
			_ = conn.Close()
		}
		s.handled <- struct{}{}
		if !keep {
			return
		}
	}
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// reply responds with status 200, extra header lines and a body.
func reply(body string, lines ...string) script {
	return func(conn *net.TCPConn, _ *http.Request, _ string) bool {
		return write(conn, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n"+strings.Join(append(lines, ""), "\r\n")+
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	}
}

// raw writes a text and closes the connection.
func raw(text string) script {
	return func(conn *net.TCPConn, _ *http.Request, _ string) bool {
		write(conn, text)
		return false
	}
}

func reset(conn *net.TCPConn, _ *http.Request, _ string) bool {
	_ = conn.SetLinger(0)
	return false
}

func hang(conn *net.TCPConn, _ *http.Request, _ string) bool {
	_, _ = conn.Read(make([]byte, 1)) // until the other side closes
	return false
}

func newClient(t *testing.T) *upstreamhttp.Client {
	client := upstreamhttp.New(upstreamhttp.Config{
		Codec:   codec{},
		Dial:    upstreamhttp.Dial,
		Now:     time.Now,
		Opened:  func() {},
		Admit:   func(fleet.Upstream) time.Duration { return 0 },
		Observe: func(fleet.Upstream, wire.Reply) {},
	})
	t.Cleanup(client.Close)
	return client
}

// newLease returns a lease for a response of any size that tests use.
func newLease() *memory.Lease { return memory.New(64 << 20).Lease("upstream") }

// readAll reads the body of a response of at most limit bytes.
func readAll(response *upstreamhttp.Response, limit int64) ([]byte, error) {
	return response.ReadAll(context.Background(), newLease(), limit)
}

func request(to ident.Address) upstreamhttp.Request {
	return upstreamhttp.Request{
		Upstream: fleet.Upstream{
			Address: to,
		},
		ID:     "a",
		Method: http.MethodPost,
		Target: "/p/%2Fx?q=1&q=2",
		Host:   "pule25.example",
		Header: http.Header{"Id": {"a"}},
		Body:   []byte("body"),
	}
}

// Guards against reporting a lost request as not sent, which would run it twice, and
// against returning bytes of a response to another request.
func TestSend(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n"
	tests := map[string]struct {
		respond script
		err     error // of Send
		body    string
		broken  bool // whether the body is incomplete
	}{
		"complete response":                  {respond: reply("hello"), body: "hello"},
		"informational response":             {respond: raw("HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok"), body: "ok"},
		"response to another request":        {respond: raw("HTTP/1.1 200 OK\r\nSeal: s\r\nId: b\r\nContent-Length: 2\r\n\r\nno" + head + "Content-Length: 2\r\n\r\nok"), body: "ok"},
		"only a response to another request": {respond: raw("HTTP/1.1 200 OK\r\nSeal: s\r\nId: b\r\nContent-Length: 2\r\n\r\nno"), err: upstreamhttp.ErrLost},
		"chunked":                            {respond: raw(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), body: "ok"},
		"ends with the connection":           {respond: raw(head + "\r\nok"), body: "ok"},
		"truncated body":                     {respond: raw(head + "Content-Length: 9\r\n\r\nok"), broken: true},
		"truncated chunk":                    {respond: raw(head + "Transfer-Encoding: chunked\r\n\r\n9\r\nok"), broken: true},
		"reset in the body": {
			respond: func(conn *net.TCPConn, r *http.Request, body string) bool {
				write(conn, head+"\r\nok")
				time.Sleep(20 * time.Millisecond)
				return reset(conn, r, body)
			},
			broken: true,
		},
		"no response":      {respond: raw(""), err: upstreamhttp.ErrLost},
		"reset":            {respond: reset, err: upstreamhttp.ErrLost},
		"not HTTP":         {respond: raw("\x00\x01 garbage\r\n\r\n"), err: upstreamhttp.ErrLost},
		"silent":           {respond: hang, err: upstreamhttp.ErrLost},
		"truncated header": {respond: raw("HTTP/1.1 200 OK\r\nSe"), err: upstreamhttp.ErrLost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := serve(t, test.respond)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			response, err := newClient(t).Send(ctx, request(s.address))
			if test.err != nil {
				c.Assert(err, qt.ErrorIs, test.err)
				return
			}
			c.Assert(err, qt.IsNil)
			defer response.Close()
			body, err := readAll(response, 1<<10)
			if test.broken {
				c.Assert(err, qt.ErrorIs, upstreamhttp.ErrLost)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(string(body), qt.Equals, test.body)
			c.Check(s.seen(), qt.DeepEquals, []string{`POST /p/%2Fx?q=1&q=2 pule25.example "body"`})
		})
	}
}

// Guards against a damaged response that counts as a response, or as an informational one
// before the response.
func TestStatusOutOfRange(t *testing.T) {
	const rest = " X\r\nSeal: s\r\nId: a\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		status   string
		response bool
	}{
		"zero":                  {status: "000"},
		"below 100":             {status: "099"},
		"with a sign":           {status: "+20"},
		"switching protocols":   {status: "101"},
		"first of a response":   {status: "200", response: true},
		"last of a response":    {status: "599", response: true},
		"first beyond the last": {status: "600"},
		"last of three digits":  {status: "999"},
		"four digits":           {status: "2000"},
		"empty":                 {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, raw("HTTP/1.1 "+test.status+rest+"HTTP/1.1 200"+rest))
			response, err := newClient(t).Send(t.Context(), request(s.address))
			if !test.response {
				c.Assert(err, qt.ErrorIs, upstreamhttp.ErrLost)
				return
			}
			c.Assert(err, qt.IsNil)
			defer response.Close()
			c.Check(strconv.Itoa(response.Status), qt.Equals, test.status)
		})
	}
}

// Guards against changing the request target.
func TestTargetIsKept(t *testing.T) {
	for _, target := range []string{"/", "/a//b/../c", "//a/b", "/a%2fb%20c?x=%zz;y", "/a?", "//a?", "/a#b", "//a#b?c", "//[", "/ä"} {
		t.Run(target, func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, reply(""))
			r := request(s.address)
			r.Target = target
			response, err := newClient(t).Send(t.Context(), r)
			c.Assert(err, qt.IsNil)
			response.Close()
			c.Check(s.seen(), qt.DeepEquals, []string{"POST " + target + ` pule25.example "body"`})
		})
	}
}

// Guards against reporting a request as lost although nothing was written.
func TestNotSent(t *testing.T) {
	c := qt.New(t)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := ident.Address(listener.Addr().String())
	c.Assert(listener.Close(), qt.IsNil)
	client := newClient(t)
	_, err = client.Send(t.Context(), request(address))
	c.Assert(err, qt.ErrorIs, upstreamhttp.ErrNotSent)
	c.Check(client.Refuses(t.Context(), address), qt.IsTrue)
	c.Check(client.Refuses(t.Context(), serve(t, hang).address), qt.IsFalse)
}

// Guards against reusing a connection whose exchange is incomplete or that has unread
// bytes, and against opening a new connection for each request.
func TestReuse(t *testing.T) {
	stray := func(conn *net.TCPConn, r *http.Request, body string) bool {
		return reply("ok")(conn, r, body) && write(conn, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\n")
	}
	closes := func(conn *net.TCPConn, r *http.Request, body string) bool {
		reply("ok")(conn, r, body)
		return false
	}
	tests := map[string]struct {
		respond     script
		read        bool          // read the body of the first response
		idle        time.Duration // longest idle time of a connection
		pause       time.Duration // between the requests
		connections int64
	}{
		"complete exchange":         {respond: reply("ok"), read: true, connections: 1},
		"abandoned exchange":        {respond: reply("ok"), connections: 2},
		"upstream closes":           {respond: reply("ok", "Connection: close"), read: true, connections: 2},
		"upstream keeps it briefly": {respond: reply("ok", "Keep-Alive: timeout=0"), read: true, connections: 2},
		"unread second response":    {respond: stray, read: true, connections: 2},
		"closed while idle":         {respond: closes, read: true, connections: 2},
		"idle for too long":         {respond: reply("ok"), read: true, idle: 10 * time.Millisecond, pause: 50 * time.Millisecond, connections: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := serve(t, test.respond)
			client := newClient(t)
			for i := range 2 {
				r := request(s.address)
				r.MaxIdle = test.idle
				response, err := client.Send(t.Context(), r)
				c.Assert(err, qt.IsNil)
				if test.read || i > 0 {
					_, err = readAll(response, 1<<10)
					c.Assert(err, qt.IsNil)
				}
				response.Close()
				<-s.handled
				time.Sleep(test.pause)
			}
			c.Check(s.connections.Load(), qt.Equals, test.connections)
		})
	}
}

// Guards against more connections to an upstream than the limit.
func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	s := serve(t, reply("ok"))
	client := newClient(t)
	r := request(s.address)
	r.Limit = upstreamhttp.Limit{
		Open: 2,
		Idle: 2,
	}
	var open []*upstreamhttp.Response
	for range 2 {
		response, err := client.Send(t.Context(), r)
		c.Assert(err, qt.IsNil)
		open = append(open, response)
	}
	_, err := client.Send(t.Context(), r)
	c.Assert(err, qt.ErrorIs, upstreamhttp.ErrBusy)
	for _, response := range open {
		_, err := readAll(response, 1<<10)
		c.Assert(err, qt.IsNil)
		response.Close()
	}
	// At the limit, an idle connection that is too old for a request is closed.
	time.Sleep(20 * time.Millisecond)
	r.MaxIdle = time.Millisecond
	response, err := client.Send(t.Context(), r)
	c.Assert(err, qt.IsNil)
	response.Close()
	c.Check(s.connections.Load(), qt.Equals, int64(3))
}

// Guards against hosts that together exceed the connections that an upstream accepts,
// and against hosts with a small share that refuse a second concurrent request.
func TestShare(t *testing.T) {
	tests := map[string]struct {
		connections int
		hosts       int
		want        upstreamhttp.Limit
	}{
		"few hosts":                   {connections: 52, hosts: 9, want: upstreamhttp.Limit{Open: 5, Idle: 5}},
		"one connection per host":     {connections: 110, hosts: 74, want: upstreamhttp.Limit{Open: 2, Idle: 1}},
		"more hosts than connections": {connections: 110, hosts: 300, want: upstreamhttp.Limit{Open: 2}},
		"one connection, no reserve":  {connections: 370, hosts: 352, want: upstreamhttp.Limit{Open: 2}},
		"no limit":                    {hosts: 9},
		"one host":                    {connections: 52, want: upstreamhttp.Limit{Open: 52, Idle: 52}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, upstreamhttp.Share(test.connections, test.hosts), qt.Equals, test.want)
		})
	}
}

// Guards against hosts that together open more connections than an upstream accepts, also
// while hosts are added: idle ones at each host, and as many more as the upstream has
// requests in progress.
func TestShareOfLargeFleets(t *testing.T) {
	upstreams := map[string]struct{ connections, inProgress int }{
		"model engine": {connections: 540, inProgress: 64},
		"plain":        {connections: 370, inProgress: 30},
		"few":          {connections: 52, inProgress: 5},
	}
	for name, u := range upstreams {
		t.Run(name, func(t *testing.T) {
			for hosts := 1; hosts <= 1000; hosts++ {
				limit := upstreamhttp.Share(u.connections, hosts)
				most := min(hosts*limit.Open, hosts*limit.Idle+u.inProgress)
				qt.Assert(t, most <= u.connections, qt.IsTrue, qt.Commentf("%d connections of %d hosts", most, hosts))
			}
		})
	}
}

// Guards against more idle connections than the share: idle connections count
// towards the limit of the upstream like those in use.
func TestIdleLimit(t *testing.T) {
	c := qt.New(t)
	s := serve(t, reply("ok"))
	client := newClient(t)
	r := request(s.address)
	r.Limit = upstreamhttp.Limit{
		Open: 2,
		Idle: 1,
	}
	for range 2 {
		var open []*upstreamhttp.Response
		for range 2 {
			response, err := client.Send(t.Context(), r)
			c.Assert(err, qt.IsNil)
			open = append(open, response)
		}
		for _, response := range open {
			_, err := readAll(response, 1<<10)
			c.Assert(err, qt.IsNil)
			response.Close()
		}
	}
	c.Check(s.connections.Load(), qt.Equals, int64(3))
}

// Guards against reusing connections that lead to an upstream which no longer has the
// address: it would reject each request on them.
func TestMisdirected(t *testing.T) {
	c := qt.New(t)
	var moved atomic.Bool
	s := serve(t, func(conn *net.TCPConn, r *http.Request, body string) bool {
		if moved.Load() {
			return write(conn, "HTTP/1.1 421 Misdirected Request\r\nId: a\r\nContent-Length: 0\r\n\r\n")
		}
		return reply("ok")(conn, r, body)
	})
	client := newClient(t)
	send := func() *upstreamhttp.Response {
		response, err := client.Send(t.Context(), request(s.address))
		c.Assert(err, qt.IsNil)
		_, err = readAll(response, 1<<10)
		c.Assert(err, qt.IsNil)
		return response
	}
	first, second := send(), send()
	first.Close()
	second.Close()
	c.Assert(s.connections.Load(), qt.Equals, int64(2))
	moved.Store(true)
	send().Close()
	moved.Store(false)
	send().Close()
	c.Check(s.connections.Load(), qt.Equals, int64(3))
}

// Guards against a request that keeps running at its upstream after its caller has
// cancelled it.
func TestCancel(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	s := serve(t, func(conn *net.TCPConn, _ *http.Request, _ string) bool {
		write(conn, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := newClient(t).Send(ctx, request(s.address))
	c.Assert(err, qt.IsNil)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = readAll(response, 1<<10)
	c.Check(err, qt.ErrorIs, upstreamhttp.ErrLost)
	response.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		c.Fatal("the connection was not closed")
	}
}

// Guards against writing other bytes in place of the rest of a long body when the
// upstream responds before it has read the whole body.
func TestEarlyResponse(t *testing.T) {
	c := qt.New(t)
	got := make(chan int64, 2)
	server := tcp.Serve(t, func(conn *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		write(conn, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		n, _ := io.Copy(io.Discard, r.Body)
		got <- n
	})
	client := newClient(t)
	r := request(server.Address())
	r.Body = make([]byte, 8<<20)
	for range 2 {
		response, err := client.Send(t.Context(), r)
		c.Assert(err, qt.IsNil)
		_, err = readAll(response, 1<<10)
		c.Assert(err, qt.IsNil)
		response.Close()
		c.Check(<-got <= int64(len(r.Body)), qt.IsTrue)
	}
}

// Guards against a request that reaches an upstream after it has been given up, because
// its bytes were waiting in the connection.
func TestAbandonedRequestIsNotDelivered(t *testing.T) {
	c := qt.New(t)
	abandoned := make(chan struct{})
	received := make(chan error, 1)
	server := tcp.Serve(t, func(conn *net.TCPConn) {
		select {
		case <-abandoned:
		case <-t.Context().Done(): // the test has failed
		}
		_, err := io.Copy(io.Discard, conn)
		received <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	r := request(server.Address())
	r.Body = make([]byte, 16<<20) // more than the buffers of the connection hold
	_, err := newClient(t).Send(ctx, r)
	c.Assert(err, qt.ErrorIs, upstreamhttp.ErrLost)
	close(abandoned)
	c.Check(<-received, qt.ErrorIs, syscall.ECONNRESET)
}
