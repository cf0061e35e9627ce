package stagehttp

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a wrong classification of upstream faults: a wrong ErrNotSent runs
// a request twice, and a wrong ErrLost gives an unknown outcome to a request that
// did not run.
func TestCallFaults(t *testing.T) {
	tests := map[string]struct {
		respond script
		call    pipeline.Call
		want    error
	}{
		"reset after send": {
			respond: resetConnection,
			call:    plainCall("a"),
			want:    pipeline.ErrLost,
		},
		"closed after send": {
			respond: func(*net.TCPConn, *http.Request) bool { return false },
			call:    plainCall("a"),
			want:    pipeline.ErrLost,
		},
		"wrong attempt id": {
			respond: func(conn *net.TCPConn, _ *http.Request) bool {
				return write(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 0\r\n\r\n")
			},
			call: plainCall("a"),
			want: pipeline.ErrMismatch,
		},
		"leaving with wrong attempt id": {
			respond: func(conn *net.TCPConn, _ *http.Request) bool {
				return write(conn, "HTTP/1.1 503 X\r\nAttempt-Id: b\r\nUpstream-State: leaving\r\nContent-Length: 0\r\n\r\n")
			},
			call: plainCall("a"),
			want: pipeline.ErrMismatch,
		},
		"no attempt id": {
			respond: func(conn *net.TCPConn, _ *http.Request) bool {
				return write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			},
			call: plainCall("a"),
			want: pipeline.ErrMismatch,
		},
		"leaving": {
			respond: respondWith(503, "", "Upstream-State: leaving"),
			call:    plainCall("a"),
			want:    pipeline.ErrLeaving,
		},
		"leaving pool": {
			respond: respondWith(503, "", "Upstream-State: leaving"),
			call:    poolCall("a"),
			want:    pipeline.ErrLeaving,
		},
		"overloaded with 429": {
			respond: respondWith(429, "", "Upstream-State: overloaded"),
			call:    poolCall("a"),
			want:    pipeline.ErrOverloaded,
		},
		"overloaded with 503": {
			respond: respondWith(503, "", "Upstream-State: overloaded"),
			call:    plainCall("a"),
			want:    pipeline.ErrOverloaded,
		},
		"truncated body": {
			respond: respondRaw("Content-Length: 10\r\n\r\nshort"),
			call:    plainCall("a"),
			want:    pipeline.ErrLost,
		},
		"truncated chunks": {
			respond: respondRaw("Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"),
			call:    plainCall("a"),
			want:    pipeline.ErrLost,
		},
		"end marked by close only": {
			respond: respondRaw("Connection: close\r\n\r\nmaybe complete"),
			call:    plainCall("a"),
			want:    pipeline.ErrLost,
		},
		"oversized body": {
			respond: respondWith(200, strings.Repeat("x", 101)),
			call:    plainCall("a"),
			want:    pipeline.ErrLost,
		},
		"oversized request": {
			respond: respondWith(200, ""),
			call: pipeline.Call{
				Attempt: "a",
				Method:  http.MethodPost,
				Path:    "/",
				Body:    make([]byte, 51),
			},
			want: pipeline.ErrNotSent,
		},
		"invalid header": {
			respond: respondWith(200, ""),
			call: pipeline.Call{
				Attempt: "a",
				Method:  http.MethodGet,
				Path:    "/",
				Headers: []pipeline.Header{{
					Name:  "Key",
					Value: "a\r\nb",
				}},
			},
			want: pipeline.ErrNotSent,
		},
		"relative path": {
			respond: respondWith(200, ""),
			call: pipeline.Call{
				Attempt: "a",
				Method:  http.MethodGet,
				Path:    "http://127.0.0.1:1/",
			},
			want: pipeline.ErrNotSent,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, test.respond)
			client := newClient(t, Config{
				MaxRequest:  50,
				MaxResponse: 100,
			})
			_, err := client.Call(t.Context(), s.address, test.call)
			qt.Assert(t, err, qt.ErrorIs, test.want)
			if test.want == pipeline.ErrNotSent {
				qt.Assert(t, s.requests.Load(), qt.Equals, int64(0))
			}
			if test.want == pipeline.ErrMismatch || test.want == pipeline.ErrLost {
				qt.Assert(t, client.idle, qt.HasLen, 0)
			}
		})
	}
}

// Guards against a request that counts as sent although the connection was refused.
func TestRefusedConnection(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := ident.Address(listener.Addr().String())
	qt.Assert(t, listener.Close(), qt.IsNil)
	client := newClient(t, Config{})
	_, err = client.Call(t.Context(), address, plainCall("a"))
	qt.Assert(t, err, qt.ErrorIs, pipeline.ErrNotSent)
	_, err = client.Generate(t.Context(), address, pipeline.Generation{
		Attempt: "a",
	})
	qt.Assert(t, err, qt.ErrorIs, pipeline.ErrNotSent)
}

// Guards against a complete response of a plain service that is reported as an error
// because of its status, and against an error response of a pool that is reported as
// a result.
func TestStatusOfCompleteReply(t *testing.T) {
	for _, status := range []int{200, 302, 409, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := startServer(t, respondWith(status, "body", "Content-Type: text/x", "Upstream-Load: running=3 queued=1 at=2000"))
			client := newClient(t, Config{})
			got, err := client.Call(t.Context(), s.address, plainCall("a"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, pipeline.Reply{
				Attempt: "a",
				Status:  status,
				Type:    "text/x",
				Body:    []byte("body"),
				Load: &upstream.Load{
					Running: 3,
					Queued:  1,
					At:      time.UnixMilli(2000),
				},
			})
			_, err = client.Call(t.Context(), s.address, poolCall("a"))
			if status == 200 {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			var statusError pipeline.StatusError
			qt.Assert(t, errors.As(err, &statusError), qt.IsTrue)
			qt.Assert(t, statusError, qt.DeepEquals, pipeline.StatusError{
				Status: status,
				Body:   []byte("body"),
			})
			qt.Assert(t, s.connections.Load(), qt.Equals, int64(1))
		})
	}
}

// Guards against a damaged response that counts as a response, and against one that seems to
// switch protocols and is read without end, which takes the connection out of the context.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			s := startServer(t, func(conn *net.TCPConn, request *http.Request) bool {
				write(conn, "HTTP/1.1 "+status+" X\r\nConnection: Upgrade\r\nUpgrade: x\r\nAttempt-Id: "+request.Header.Get(attemptHeader)+"\r\nContent-Length: 0\r\n\r\n")
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, _ = conn.Read(make([]byte, 1)) // until the client closes
				return false
			})
			client := newClient(t, Config{})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			for _, call := range []pipeline.Call{plainCall("a"), poolCall("b")} {
				_, err := client.Call(ctx, s.address, call)
				qt.Check(t, err, qt.ErrorIs, pipeline.ErrLost, qt.Commentf("%s", call.Path))
			}
			_, err := client.Generate(ctx, s.address, pipeline.Generation{
				Attempt: "a",
			})
			qt.Check(t, err, qt.ErrorIs, pipeline.ErrLost)
			qt.Check(t, client.idle, qt.HasLen, 0)
			qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("the client waits for the end of the connection"))
		})
	}
}

// Guards against retries by net/http: http.Transport retries GET, HEAD and requests
// with an Idempotency-Key if a reused connection breaks after the request was sent.
func TestReusedConnectionRunsAtMostOnce(t *testing.T) {
	tests := map[string]pipeline.Call{
		"get": {
			Method: http.MethodGet,
		},
		"head": {
			Method: http.MethodHead,
		},
		"empty post with key": {
			Method: http.MethodPost,
			Headers: []pipeline.Header{{
				Name:  "Idempotency-Key",
				Value: "k",
			}},
		},
		"post with key": {
			Method: http.MethodPost,
			Headers: []pipeline.Header{{
				Name:  "X-Idempotency-Key",
				Value: "k",
			}},
			Body: []byte("fee"),
		},
		"put": {
			Method: http.MethodPut,
			Body:   []byte("fee"),
		},
		"delete": {
			Method: http.MethodDelete,
		},
	}
	failures := map[string]script{
		"closed": func(*net.TCPConn, *http.Request) bool { return false },
		"reset":  resetConnection,
	}
	for name, call := range tests {
		for failure, fail := range failures {
			t.Run(name+" "+failure, func(t *testing.T) {
				respond := respondWith(200, "")
				s := startServer(t, func(conn *net.TCPConn, request *http.Request) bool {
					if request.URL.Path == "/first" {
						return respond(conn, request)
					}
					return fail(conn, request)
				})
				client := newClient(t, Config{})
				call.Attempt = "a"
				call.Path = "/first"
				_, err := client.Call(t.Context(), s.address, call)
				qt.Assert(t, err, qt.IsNil)
				call.Attempt = "b"
				call.Path = "/second"
				_, err = client.Call(t.Context(), s.address, call)
				qt.Check(t, s.requests.Load(), qt.Equals, int64(2))
				qt.Assert(t, err, qt.ErrorIs, pipeline.ErrLost)
				qt.Assert(t, s.connections.Load(), qt.Equals, int64(1))
			})
		}
	}
}

// Guards against a second run, and against a wrong ErrNotSent, when the server
// closes a reused connection while the client writes a request to it.
func TestServerClosesIdleConnection(t *testing.T) {
	var mu sync.Mutex
	runs := make(map[string]int)
	respond := respondWith(200, "")
	s := startServer(t, func(conn *net.TCPConn, request *http.Request) bool {
		mu.Lock()
		runs[request.Header.Get(attemptHeader)]++
		mu.Unlock()
		respond(conn, request)
		return false // closes without a Connection: close header
	})
	client := newClient(t, Config{})
	failed := make(map[string]error)
	const calls = 400
	for i := range calls {
		attempt := fmt.Sprint(i)
		if _, err := client.Call(t.Context(), s.address, plainCall(ident.AttemptID(attempt))); err != nil {
			failed[attempt] = err
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for i := range calls {
		attempt := fmt.Sprint(i)
		err := failed[attempt]
		switch {
		case err == nil:
			qt.Check(t, runs[attempt], qt.Equals, 1)
		case errors.Is(err, pipeline.ErrNotSent):
			qt.Check(t, runs[attempt], qt.Equals, 0)
		default:
			qt.Check(t, err, qt.ErrorIs, pipeline.ErrLost)
			qt.Check(t, runs[attempt] <= 1, qt.IsTrue)
		}
	}
}

// Guards against a request that is written after the caller was told that no
// byte of it was sent.
func TestNotSentNeverRuns(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	service := upstreams.NewPlain(upstreams.PlainConfig{
		Common: upstreams.Common{
			Slots: 64,
		},
	})
	server := httptest.NewServer(service.Handler())
	address := ident.Address(server.Listener.Addr().String())
	client := newClient(t, Config{})
	notSent := make(map[ident.AttemptID]bool)
	for i := range 600 {
		ctx, cancel := context.WithCancel(t.Context())
		yields := random.IntN(600)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range yields {
				runtime.Gosched()
			}
			cancel()
		}()
		call := plainCall(ident.AttemptID(fmt.Sprint(i)))
		_, err := client.Call(ctx, address, call)
		<-done
		switch {
		case err == nil:
		case errors.Is(err, pipeline.ErrNotSent):
			notSent[call.Attempt] = true
		default:
			qt.Check(t, err, qt.ErrorIs, pipeline.ErrLost)
		}
		if err != nil {
			qt.Check(t, err, qt.ErrorIs, context.Canceled)
		}
	}
	client.Close()
	server.Close() // waits for the requests in progress
	seen := make(map[ident.AttemptID]bool)
	for _, execution := range service.Executions() {
		qt.Check(t, notSent[execution.Attempt], qt.IsFalse)
		qt.Check(t, seen[execution.Attempt], qt.IsFalse)
		seen[execution.Attempt] = true
	}
	t.Logf("%d not sent, %d ran", len(notSent), len(seen))
}

// Guards against a late response to a cancelled request that is taken for the
// response to the next request on the same connection.
func TestAbandonedConnectionIsNotReused(t *testing.T) {
	received := make(chan struct{})
	proceed := make(chan struct{})
	release := sync.OnceFunc(func() { close(proceed) })
	defer release()
	respond := respondWith(200, "own")
	s := startServer(t, func(conn *net.TCPConn, request *http.Request) bool {
		if request.URL.Path == "/slow" {
			close(received)
			<-proceed
		}
		return respond(conn, request)
	})
	client := newClient(t, Config{})
	call := plainCall("a")
	_, err := client.Call(t.Context(), s.address, call)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	call.Attempt = "b"
	call.Path = "/slow"
	_, err = client.Call(ctx, s.address, call)
	qt.Assert(t, err, qt.ErrorIs, pipeline.ErrLost)
	qt.Assert(t, err, qt.ErrorIs, context.Canceled)
	release()
	got, err := client.Call(t.Context(), s.address, plainCall("c"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got.Body), qt.Equals, "own")
	qt.Assert(t, s.connections.Load(), qt.Equals, int64(2))
}

// Guards against responses that are given to another of several concurrent requests.
func TestConcurrentCallsGetOwnAnswers(t *testing.T) {
	pool := upstreams.NewPool(upstreams.PoolConfig{
		Common: upstreams.Common{
			Slots: 64,
		},
		Kind: upstreams.Encoder,
	})
	server := httptest.NewServer(pool.Handler())
	defer server.Close()
	client := newClient(t, Config{})
	var running sync.WaitGroup
	for worker := range 16 {
		running.Go(func() {
			for i := range 50 {
				input := fmt.Sprintf("%d/%d", worker, i)
				got, err := client.Call(t.Context(), ident.Address(server.Listener.Addr().String()), pipeline.Call{
					Attempt: ident.AttemptID(input),
					Method:  http.MethodPost,
					Path:    "/v1/encode",
					Body:    []byte(`{"input":"` + input + `"}`),
				})
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				var body struct{ Output string }
				qt.Check(t, json.Unmarshal(got.Body, &body), qt.IsNil)
				qt.Check(t, body.Output, qt.Equals, upstreams.PoolOutput(upstreams.Encoder, input))
			}
		})
	}
	running.Wait()
}

// Guards against idle connections that outlive their timeout.
func TestIdleConnectionExpires(t *testing.T) {
	closed := make(chan struct{})
	s := startServer(t, func(conn *net.TCPConn, request *http.Request) bool {
		respondWith(200, "")(conn, request)
		_, _ = conn.Read(make([]byte, 1)) // returns when the client closes
		close(closed)
		return false
	})
	client := newClient(t, Config{
		IdleTimeout: time.Millisecond,
	})
	_, err := client.Call(t.Context(), s.address, plainCall("a"))
	qt.Assert(t, err, qt.IsNil)
	<-closed
}

// Guards against forwarding header fields that apply to the caller's connection, or
// a forged attempt id, to the upstream.
func TestHeaders(t *testing.T) {
	got := make(chan http.Header, 1)
	s := startServer(t, func(conn *net.TCPConn, request *http.Request) bool {
		got <- request.Header
		return respondWith(200, "")(conn, request)
	})
	client := newClient(t, Config{})
	call := plainCall("a")
	call.Priority = 7
	for _, name := range []string{"idempotency-key", "attempt-id", "connection", "expect", "accept-encoding", "upgrade"} {
		call.Headers = append(call.Headers, pipeline.Header{
			Name:  name,
			Value: "v",
		})
	}
	_, err := client.Call(t.Context(), s.address, call)
	qt.Assert(t, err, qt.IsNil)
	header := <-got
	header.Del("User-Agent")
	header.Del("Content-Length")
	qt.Assert(t, header, qt.DeepEquals, http.Header{
		"Idempotency-Key": {"v"},
		"Attempt-Id":      {"a"},
		"Priority":        {"7"},
		"Content-Type":    {"application/json"},
	})
}

// Guards against a malformed load report that makes an upstream look idle.
func TestParseLoad(t *testing.T) {
	tests := map[string]struct {
		text string
		want *upstream.Load
	}{
		"complete": {
			text: "running=3 queued=1 at=5",
			want: &upstream.Load{
				Running: 3,
				Queued:  1,
				At:      time.UnixMilli(5),
			},
		},
		"empty":        {},
		"missing time": {text: "running=3 queued=1"},
		"not a number": {text: "running=x queued=1 at=5"},
		"negative":     {text: "running=-1 queued=1 at=5"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, parseLoad(test.text), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a write between the decision that nothing was sent and the closing
// of the connection.
func TestSealedConnectionWritesNothing(t *testing.T) {
	s := startServer(t, respondWith(200, ""))
	client := newClient(t, Config{})
	conn, err := client.connect(t.Context(), s.address)
	qt.Assert(t, err, qt.IsNil)
	conn.sealed = true
	_, err = conn.Write([]byte("x"))
	qt.Assert(t, err, qt.ErrorIs, net.ErrClosed)
	qt.Assert(t, conn.discard(), qt.IsFalse)
}
