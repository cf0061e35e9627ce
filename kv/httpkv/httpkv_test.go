package httpkv_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/httpkv"
)

// status returns a handler that reads the request and responds with a status and a body.
func status(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

// reset reads the request and then ends the connection with a TCP reset.
func reset(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// drop reads the request and then closes the connection without a response.
func drop(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// hang reads the request and returns only after the client has disconnected.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
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

// truncate sends fewer bytes than its Content-Length says.
func truncate(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"version":`)
	panic(http.ErrAbortHandler)
}

func newStore(c *qt.C, handler http.Handler, timeout time.Duration) *httpkv.Store {
	server := httptest.NewServer(handler)
	c.Cleanup(server.Close)
	transport := &http.Transport{}
	c.Cleanup(transport.CloseIdleConnections)
	return httpkv.New(httpkv.Config{
		Address: ident.Address(server.Listener.Addr().String()),
		Client: &http.Client{
			Transport: transport,
		},
		Limit: timeout,
		Wait:  time.Millisecond,
	})
}

// Guards against a response that lacks what the caller relies on: a page that ends a
// listing too early, or a write that seems to have no version or no lease.
func TestIncompleteResponse(t *testing.T) {
	tests := map[string]struct {
		body string
		call func(ctx context.Context, s *httpkv.Store) error
		want error
	}{
		"page without entries that is not the last": {
			body: `{"entries":[],"cursor":7,"more":true}`,
			call: func(ctx context.Context, s *httpkv.Store) error {
				_, err := s.List(ctx, "a/", "a/1", 2)
				return err
			},
			want: kv.ErrUnavailable,
		},
		"put without a version": {
			body: `{}`,
			call: func(ctx context.Context, s *httpkv.Store) error {
				_, err := s.Put(ctx, kv.Put{
					Key: "a",
				})
				return err
			},
			want: kv.ErrUncertain,
		},
		"grant without a lease": {
			body: `{}`,
			call: func(ctx context.Context, s *httpkv.Store) error {
				_, err := s.Grant(ctx, time.Second)
				return err
			},
			want: kv.ErrUncertain,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			err := test.call(t.Context(), newStore(c, status(http.StatusOK, test.body), 10*time.Second))
			c.Assert(err, qt.ErrorIs, test.want)
		})
	}
}

// Guards against a write without a response that is reported as having no
// effect, and a rejected write that is reported as uncertain.
func TestErrors(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		timeout time.Duration // 10 s if zero
		read    error
		write   error
	}{
		"missing key":                    {handler: status(404, `{"error":"not_found"}`), read: kv.ErrNotFound, write: kv.ErrNotFound},
		"missing path":                   {handler: status(404, `404 page not found`), read: kv.ErrUnavailable, write: kv.ErrUnavailable},
		"conflict":                       {handler: status(409, ``), read: kv.ErrConflict, write: kv.ErrConflict},
		"compacted":                      {handler: status(410, ``), read: kv.ErrCompacted, write: kv.ErrCompacted},
		"lease lost":                     {handler: status(412, ``), read: kv.ErrLeaseLost, write: kv.ErrLeaseLost},
		"too large":                      {handler: status(413, ``), read: kv.ErrTooLarge, write: kv.ErrTooLarge},
		"rate limit":                     {handler: status(429, ``), read: kv.ErrUnavailable, write: kv.ErrUnavailable},
		"unavailable":                    {handler: status(503, ``), read: kv.ErrUnavailable, write: kv.ErrUnavailable},
		"bad request":                    {handler: status(400, ``), read: kv.ErrUnavailable, write: kv.ErrUnavailable},
		"server error":                   {handler: status(500, ``), read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"bad gateway":                    {handler: status(502, ``), read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"gateway timeout":                {handler: status(504, ``), read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"redirect":                       {handler: status(307, ``), read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"response is not JSON":           {handler: status(200, `<html>`), read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"response is truncated":          {handler: truncate, read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"connection is closed":           {handler: drop, read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"connection is reset":            {handler: reset, read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"status 000":                     {handler: respondRaw("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}"), read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"status 999":                     {handler: respondRaw("HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\n{}"), read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"part without a length":          {handler: respondRaw("HTTP/1.1 200 OK\r\n\r\n{\"version\":1"), read: kv.ErrUnavailable, write: kv.ErrUncertain},
		"no response before the timeout": {handler: hang, timeout: 50 * time.Millisecond, read: kv.ErrUnavailable, write: kv.ErrUncertain},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			timeout := test.timeout
			if timeout == 0 {
				timeout = 10 * time.Second
			}
			store := newStore(c, test.handler, timeout)
			for operation, err := range readErrors(store) {
				c.Check(err, qt.ErrorIs, test.read, qt.Commentf("%s", operation))
			}
			for operation, err := range writeErrors(store) {
				c.Check(err, qt.ErrorIs, test.write, qt.Commentf("%s", operation))
			}
		})
	}
}

// Guards against a call that outlasts its timeout: the transport hands the connection of a
// response that switches protocols to the reader of the body, without a limit of time.
func TestSwitchedProtocol(t *testing.T) {
	c := qt.New(t)
	closed := make(chan error, 1)
	store := newStore(c, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
		closed <- err
	}), 100*time.Millisecond)
	_, err := store.Get(t.Context(), "k")
	c.Check(err, qt.ErrorIs, kv.ErrUnavailable)
	c.Check(<-closed, qt.Equals, io.EOF, qt.Commentf("the client keeps the connection"))
}

// Guards against a write that is reported as uncertain although no connection was made.
func TestConnectionRefused(t *testing.T) {
	c := qt.New(t)
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	store := httpkv.New(httpkv.Config{
		Address: ident.Address(address),
		Client: &http.Client{
			Transport: &http.Transport{},
		},
		Limit: 10 * time.Second,
	})
	for operation, err := range readErrors(store) {
		c.Check(err, qt.ErrorIs, kv.ErrUnavailable, qt.Commentf("%s", operation))
	}
	for operation, err := range writeErrors(store) {
		c.Check(err, qt.ErrorIs, kv.ErrUnavailable, qt.Commentf("%s", operation))
	}
}

// Guards against a write that is sent again after its connection broke, also on
// a reused connection.
func TestWriteIsSentOnce(t *testing.T) {
	c := qt.New(t)
	var puts atomic.Int32
	store := newStore(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			status(200, `{}`)(w, r)
			return
		}
		puts.Add(1)
		drop(w, r)
	}), 10*time.Second)
	_, err := store.Get(context.Background(), "k")
	c.Assert(err, qt.IsNil)
	_, err = store.Put(context.Background(), kv.Put{
		Key: "k",
	})
	c.Assert(err, qt.ErrorIs, kv.ErrUncertain)
	c.Assert(puts.Load(), qt.Equals, int32(1))
}

// Guards against a followed redirect, which would send a write twice.
func TestRedirectIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	store := newStore(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}), 10*time.Second)
	_, err := store.Put(context.Background(), kv.Put{
		Key: "k",
	})
	c.Assert(err, qt.ErrorIs, kv.ErrUncertain)
	c.Assert(calls.Load(), qt.Equals, int32(1))
}

// Guards against sending calls that the adapter must reject itself.
func TestRefusedBeforeSending(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	store := newStore(c, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
	}), 10*time.Second)
	_, err := store.Put(context.Background(), kv.Put{
		Key:   "k",
		Value: []byte(strings.Repeat("x", kv.MaxValueBytes+1)),
	})
	c.Check(err, qt.ErrorIs, kv.ErrTooLarge)
	_, err = store.Put(context.Background(), kv.Put{
		Key: "\xff",
	})
	c.Check(err, qt.ErrorMatches, `key "\\xff" not valid`)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = store.Put(canceled, kv.Put{
		Key: "k",
	})
	c.Check(err, qt.ErrorIs, kv.ErrUnavailable)
	c.Check(calls.Load(), qt.Equals, int32(0))
}

func readErrors(store kv.Store) map[string]error {
	ctx := context.Background()
	_, get := store.Get(ctx, "k")
	_, list := store.List(ctx, "k", "", 0)
	_, watch := store.Watch(ctx, "k", 0)
	return map[string]error{
		"get":   get,
		"list":  list,
		"watch": watch,
	}
}

func writeErrors(store kv.Store) map[string]error {
	ctx := context.Background()
	_, put := store.Put(ctx, kv.Put{
		Key: "k",
	})
	_, grant := store.Grant(ctx, time.Second)
	return map[string]error{
		"put":    put,
		"delete": store.Delete(ctx, "k", 1),
		"grant":  grant,
		"renew":  store.Renew(ctx, 1),
		"revoke": store.Revoke(ctx, 1),
	}
}

// Guards against a faulty service that exhausts the memory of the process with a body
// that has no end.
func TestEndlessResponse(t *testing.T) {
	const maxHeap = 92 << 20 // bytes; half of the memory of the smallest hosts
	endless := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		block := []byte(`{"items":[` + strings.Repeat(" ", 64<<10))
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}
	c := qt.New(t)
	store := newStore(c, http.HandlerFunc(endless), 30*time.Second)
	done := make(chan struct{})
	highest := make(chan uint64)
	go func(context.Context) { highest <- highestHeap(done) }(t.Context())
	_, err := store.List(t.Context(), "", "", 10)
	c.Check(err, qt.ErrorIs, kv.ErrUnavailable)
	_, err = store.Put(t.Context(), kv.Put{
		Key: "k",
	})
	c.Check(err, qt.ErrorIs, kv.ErrUncertain)
	close(done)
	heap := <-highest
	c.Check(heap < maxHeap, qt.IsTrue, qt.Commentf("%d bytes", heap))
}

// highestHeap returns the largest size of the heap, in bytes, until done is closed.
func highestHeap(done <-chan struct{}) uint64 {
	highest := uint64(0)
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		highest = max(highest, stats.HeapAlloc)
		select {
		case <-done:
			return highest
		case <-time.After(time.Millisecond):
		}
	}
}
