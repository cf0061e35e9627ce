package upstreamhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// codec reads only what the client needs.
type codec struct {
	wire.Codec
}

func (codec) Reply(_ int, header http.Header) wire.Reply {
	return wire.Reply{
		Request: ident.RequestID(header.Get("Id")),
		Sealed:  header.Get("Seal") != "",
	}
}

// script answers one request on a connection; the connection stays open for
// another one if it returns true.
type script func(conn *net.TCPConn, request *http.Request, body string) bool

// server follows a script byte by byte.
type server struct {
	address     ident.Address
	mu          sync.Mutex
	requests    []string
	connections atomic.Int64
}

func (s *server) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func serve(t *testing.T, answer script) *server {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &server{
		address: ident.Address(listener.Addr().String()),
	}
	var running sync.WaitGroup
	var open sync.Map
	running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			open.Store(conn, true)
			running.Go(func() {
				defer func() { _ = conn.Close() }()
				s.handle(conn.(*net.TCPConn), answer)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		open.Range(func(conn, _ any) bool {
			_ = conn.(net.Conn).Close()
			return true
		})
		running.Wait()
	})
	return s
}

func (s *server) handle(conn *net.TCPConn, answer script) {
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
		if !answer(conn, request, string(body)) {
			return
		}
	}
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// reply answers with extra header lines and a body.
func reply(body string, lines ...string) script {
	return func(conn *net.TCPConn, _ *http.Request, _ string) bool {
		return write(conn, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n"+strings.Join(append(lines, ""), "\r\n")+
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	}
}

// raw answers with a text and ends the connection.
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
		Codec:  codec{},
		Dial:   upstreamhttp.Dial,
		Now:    time.Now,
		Opened: func() {},
	})
	t.Cleanup(client.Close)
	return client
}

func request(to ident.Address) upstreamhttp.Request {
	return upstreamhttp.Request{
		Address: to,
		Request: "a",
		Method:  http.MethodPost,
		Target:  "/p/%2Fx?q=1&q=2",
		Host:    "pule25.example",
		Header:  http.Header{"Id": {"a"}},
		Body:    []byte("body"),
	}
}

// Guards against a lost request that is reported as not sent, which would run
// twice, and against bytes of another answer.
func TestSend(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n"
	tests := map[string]struct {
		answer script
		err    error // of Send
		body   string
		broken bool // the body
	}{
		"answer":                    {answer: reply("hello"), body: "hello"},
		"informational answer":      {answer: raw("HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok"), body: "ok"},
		"answer to another request": {answer: raw("HTTP/1.1 200 OK\r\nSeal: s\r\nId: b\r\nContent-Length: 2\r\n\r\nno" + head + "Content-Length: 2\r\n\r\nok"), body: "ok"},
		"only another answer":       {answer: raw("HTTP/1.1 200 OK\r\nSeal: s\r\nId: b\r\nContent-Length: 2\r\n\r\nno"), err: upstreamhttp.ErrLost},
		"chunked":                   {answer: raw(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), body: "ok"},
		"ends with the connection":  {answer: raw(head + "\r\nok"), body: "ok"},
		"cut in the body":           {answer: raw(head + "Content-Length: 9\r\n\r\nok"), broken: true},
		"cut in a chunk":            {answer: raw(head + "Transfer-Encoding: chunked\r\n\r\n9\r\nok"), broken: true},
		"reset in the body": {
			answer: func(conn *net.TCPConn, r *http.Request, body string) bool {
				write(conn, head+"\r\nok")
				time.Sleep(20 * time.Millisecond)
				return reset(conn, r, body)
			},
			broken: true,
		},
		"no answer":         {answer: raw(""), err: upstreamhttp.ErrLost},
		"reset":             {answer: reset, err: upstreamhttp.ErrLost},
		"not HTTP":          {answer: raw("\x00\x01 garbage\r\n\r\n"), err: upstreamhttp.ErrLost},
		"silent":            {answer: hang, err: upstreamhttp.ErrLost},
		"cut in the header": {answer: raw("HTTP/1.1 200 OK\r\nSe"), err: upstreamhttp.ErrLost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := serve(t, test.answer)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			answer, err := newClient(t).Send(ctx, request(s.address))
			if test.err != nil {
				c.Assert(err, qt.ErrorIs, test.err)
				return
			}
			c.Assert(err, qt.IsNil)
			defer answer.Close()
			body, err := answer.All(1 << 10)
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

// Guards against a target that is changed on its way.
func TestTargetIsKept(t *testing.T) {
	for _, target := range []string{"/", "/a//b/../c", "//a/b", "/a%2fb%20c?x=%zz;y", "/a?", "/ä"} {
		t.Run(target, func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, reply(""))
			r := request(s.address)
			r.Target = target
			answer, err := newClient(t).Send(t.Context(), r)
			c.Assert(err, qt.IsNil)
			answer.Close()
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

// Guards against connections that are used again although their exchange is not
// complete or bytes are left on them, and against new ones for each request.
func TestReuse(t *testing.T) {
	stray := func(conn *net.TCPConn, r *http.Request, body string) bool {
		return reply("ok")(conn, r, body) && write(conn, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\n")
	}
	closes := func(conn *net.TCPConn, r *http.Request, body string) bool {
		reply("ok")(conn, r, body)
		return false
	}
	tests := map[string]struct {
		answer      script
		read        bool          // the body of the first answer
		idle        time.Duration // longest idle time of a connection
		pause       time.Duration // between the requests
		connections int64
	}{
		"complete exchange":         {answer: reply("ok"), read: true, connections: 1},
		"abandoned exchange":        {answer: reply("ok"), connections: 2},
		"upstream closes":           {answer: reply("ok", "Connection: close"), read: true, connections: 2},
		"upstream keeps it briefly": {answer: reply("ok", "Keep-Alive: timeout=0"), read: true, connections: 2},
		"second answer is left":     {answer: stray, read: true, pause: 50 * time.Millisecond, connections: 2},
		"closed while idle":         {answer: closes, read: true, pause: 50 * time.Millisecond, connections: 2},
		"idle for too long":         {answer: reply("ok"), read: true, idle: 10 * time.Millisecond, pause: 50 * time.Millisecond, connections: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := serve(t, test.answer)
			client := newClient(t)
			for i := range 2 {
				r := request(s.address)
				r.Idle = test.idle
				answer, err := client.Send(t.Context(), r)
				c.Assert(err, qt.IsNil)
				if test.read || i > 0 {
					_, err = answer.All(1 << 10)
					c.Assert(err, qt.IsNil)
				}
				answer.Close()
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
	var open []*upstreamhttp.Answer
	for range 2 {
		answer, err := client.Send(t.Context(), r)
		c.Assert(err, qt.IsNil)
		open = append(open, answer)
	}
	_, err := client.Send(t.Context(), r)
	c.Assert(err, qt.ErrorIs, upstreamhttp.ErrBusy)
	for _, answer := range open {
		_, err := answer.All(1 << 10)
		c.Assert(err, qt.IsNil)
		answer.Close()
	}
	// An idle connection that is too old for a request gives way.
	time.Sleep(20 * time.Millisecond)
	r.Idle = time.Millisecond
	answer, err := client.Send(t.Context(), r)
	c.Assert(err, qt.IsNil)
	answer.Close()
	c.Check(s.connections.Load(), qt.Equals, int64(3))
}

// Guards against hosts that together exceed what an upstream accepts, and
// against hosts with a small share that refuse a second request at once.
func TestShare(t *testing.T) {
	tests := map[string]struct {
		connections int
		hosts       int
		want        upstreamhttp.Limit
	}{
		"few hosts":              {connections: 52, hosts: 9, want: upstreamhttp.Limit{Open: 5, Idle: 5}},
		"one each":               {connections: 110, hosts: 74, want: upstreamhttp.Limit{Open: 2, Idle: 1}},
		"more hosts than places": {connections: 110, hosts: 300, want: upstreamhttp.Limit{Open: 2}},
		"no limit":               {hosts: 9},
		"alone":                  {connections: 52, want: upstreamhttp.Limit{Open: 52, Idle: 52}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, upstreamhttp.Share(test.connections, test.hosts), qt.Equals, test.want)
		})
	}
}

// Guards against idle connections beyond the share, which count at the upstream
// as much as those in use.
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
		var open []*upstreamhttp.Answer
		for range 2 {
			answer, err := client.Send(t.Context(), r)
			c.Assert(err, qt.IsNil)
			open = append(open, answer)
		}
		for _, answer := range open {
			_, err := answer.All(1 << 10)
			c.Assert(err, qt.IsNil)
			answer.Close()
		}
	}
	c.Check(s.connections.Load(), qt.Equals, int64(3))
}

// Guards against kept connections that lead to another upstream than the one that
// has the address now: each request on them would be refused.
func TestMisdirected(t *testing.T) {
	c := qt.New(t)
	var moved atomic.Bool
	s := serve(t, func(conn *net.TCPConn, r *http.Request, body string) bool {
		if moved.Load() {
			return write(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		}
		return reply("ok")(conn, r, body)
	})
	client := newClient(t)
	send := func() *upstreamhttp.Answer {
		answer, err := client.Send(t.Context(), request(s.address))
		c.Assert(err, qt.IsNil)
		_, err = answer.All(1 << 10)
		c.Assert(err, qt.IsNil)
		return answer
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

// Guards against a request that goes on at its upstream after its caller has left.
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
	answer, err := newClient(t).Send(ctx, request(s.address))
	c.Assert(err, qt.IsNil)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = answer.All(1 << 10)
	c.Check(err, qt.ErrorIs, upstreamhttp.ErrLost)
	answer.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		c.Fatal("the connection stays open")
	}
}

// Guards against other bytes where the rest of a long body is due, when the
// upstream answers before it has read all of it.
func TestEarlyAnswer(t *testing.T) {
	c := qt.New(t)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	got := make(chan int64, 2)
	var handling sync.WaitGroup
	handling.Go(func() {
		for range 2 {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			write(conn, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(100 * time.Millisecond)
			n, _ := io.Copy(io.Discard, r.Body)
			got <- n
			_ = conn.Close()
		}
	})
	defer handling.Wait()
	defer func() { _ = listener.Close() }()
	client := newClient(t)
	r := request(ident.Address(listener.Addr().String()))
	r.Body = make([]byte, 8<<20)
	for range 2 {
		answer, err := client.Send(t.Context(), r)
		c.Assert(err, qt.IsNil)
		_, err = answer.All(1 << 10)
		c.Assert(err, qt.IsNil)
		answer.Close()
		c.Check(<-got <= int64(len(r.Body)), qt.IsTrue)
	}
}
