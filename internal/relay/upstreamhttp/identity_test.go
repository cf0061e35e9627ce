package upstreamhttp_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
)

// echo responds to a request with its id and body.
func echo(conn net.Conn, r *http.Request, body string) bool {
	return write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nSeal: s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body))
}

// refusal is a response that states that a request did not run; lines are further
// header lines.
func refusal(status int, lines string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, lines)
}

// Guards against a refusal of an earlier request, written once more on a kept
// connection, that is taken for the response to the next request: the caller would be
// told that the request did not run, or it would run a second time elsewhere.
func TestRepeatedRefusal(t *testing.T) {
	first := map[string]string{
		"unavailable": refusal(503, "Id: first\r\nNot-Run: 1\r\n"),
		"misdirected": refusal(421, "Id: first\r\nNot-Run: 1\r\n"),
		"without id":  refusal(503, "Not-Run: 1\r\n"),
		"served":      "HTTP/1.1 200 OK\r\nSeal: s\r\nId: first\r\nContent-Length: 0\r\n\r\n",
	}
	repeats := map[string]string{
		"the same":                        refusal(503, "Id: first\r\nNot-Run: 1\r\n"),
		"misdirected":                     refusal(421, "Id: first\r\nNot-Run: 1\r\n"),
		"without id":                      refusal(503, "Not-Run: 1\r\n"),
		"misdirected without id":          refusal(421, "Not-Run: 1\r\n"),
		"without header fields":           refusal(503, ""),
		"misdirected, no fields":          refusal(421, ""),
		"twice":                           refusal(503, "Not-Run: 1\r\n") + refusal(503, "Not-Run: 1\r\n"),
		"with a pause":                    refusal(503, "Retry-After: 9\r\nNot-Run: 1\r\n"),
		"of the engine, without an id":    "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
		"without an id, with a long body": "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\nno!",
	}
	for firstName, firstText := range first {
		for repeatName, repeat := range repeats {
			for _, repeatable := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, then %s, repeatable %t", firstName, repeatName, repeatable), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					var runs atomic.Int64 // of the second request
					var kept atomic.Pointer[net.TCPConn]
					s := serve(t, func(conn *net.TCPConn, r *http.Request, body string) bool {
						if r.Header.Get("Id") == "first" {
							kept.Store(conn)
							return write(conn, firstText)
						}
						runs.Add(1)
						if conn == kept.Load() && !write(conn, repeat) {
							return false
						}
						time.Sleep(10 * time.Millisecond) // the request runs meanwhile
						return echo(conn, r, body)
					})
					client := newClient(t)
					send := func(id ident.RequestID) (*upstreamhttp.Response, error) {
						r := request(s.address)
						r.ID = id
						r.Header = http.Header{"Id": {string(id)}}
						r.Repeatable = repeatable
						return client.Send(t.Context(), r)
					}
					response, err := send("first")
					c.Assert(err, qt.IsNil)
					_, err = readAll(response, 1<<10)
					c.Assert(err, qt.IsNil)
					response.Close()

					response, err = send("second")
					if err != nil {
						// The caller may send it again.
						c.Assert(repeatable, qt.IsTrue, qt.Commentf("%v", err))
						c.Assert(err, qt.ErrorIs, upstreamhttp.ErrStale)
						c.Assert(err, qt.ErrorIs, upstreamhttp.ErrLost)
						response, err = send("second")
					}
					c.Assert(err, qt.IsNil)
					defer response.Close()
					c.Check(response.Status, qt.Equals, 200)
					c.Check(response.Reply.NotRun, qt.IsFalse)
					body, err := readAll(response, 1<<10)
					c.Assert(err, qt.IsNil)
					c.Check(string(body), qt.Equals, "body")
					if !repeatable {
						c.Check(runs.Load(), qt.Equals, int64(1))
					}
				})
			}
		}
	}
}

// Guards against a refusal that is not believed although it can only belong to the
// request, which would count as one that may have run.
func TestRefusal(t *testing.T) {
	tests := map[string]struct {
		refusal string
		warm    bool // another request has been served on the connection
	}{
		"with id":                            {refusal: refusal(503, "Id: a\r\nNot-Run: 1\r\n")},
		"with id, on a kept connection":      {refusal: refusal(503, "Id: a\r\nNot-Run: 1\r\n"), warm: true},
		"without id, on a new connection":    {refusal: refusal(503, "Not-Run: 1\r\n")},
		"misdirected, with id":               {refusal: refusal(421, "Id: a\r\nNot-Run: 1\r\n"), warm: true},
		"misdirected, on a new connection":   {refusal: refusal(421, "Not-Run: 1\r\n")},
		"invalid, on a new connection":       {refusal: refusal(400, "Not-Run: 1\r\n")},
		"after informational, no id, is new": {refusal: "HTTP/1.1 102 X\r\n\r\n" + refusal(503, "Not-Run: 1\r\n")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, func(conn *net.TCPConn, r *http.Request, body string) bool {
				if r.Header.Get("Id") == "warm" {
					return echo(conn, r, body)
				}
				return write(conn, test.refusal)
			})
			client := newClient(t)
			if test.warm {
				r := request(s.address)
				r.ID = "warm"
				r.Header = http.Header{"Id": {"warm"}}
				response, err := client.Send(t.Context(), r)
				c.Assert(err, qt.IsNil)
				_, err = readAll(response, 1<<10)
				c.Assert(err, qt.IsNil)
				response.Close()
			}
			response, err := client.Send(t.Context(), request(s.address))
			c.Assert(err, qt.IsNil)
			defer response.Close()
			c.Check(response.Reply.NotRun, qt.IsTrue)
			c.Check(s.connections.Load(), qt.Equals, int64(1))
		})
	}
}

// Guards against calls without an id that take a response which the upstream wrote once
// more for that to a later call: all responses on the connection would then be taken for
// those to the call after theirs.
func TestRepeatedResponseWithoutID(t *testing.T) {
	tests := map[string]string{
		"refusal": refusal(503, "Not-Run: 1\r\n"),
		"result":  "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nresult 1",
	}
	for name, repeated := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int64
			var kept atomic.Pointer[net.TCPConn]
			s := serve(t, func(conn *net.TCPConn, _ *http.Request, _ string) bool {
				n := calls.Add(1)
				if n == 1 {
					kept.Store(conn)
					return write(conn, repeated)
				}
				if n == 2 && conn == kept.Load() && !write(conn, repeated) {
					return false
				}
				return write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nresult %d", n))
			})
			client := newClient(t)
			for call := 1; call <= 5; call++ {
				r := request(s.address)
				r.ID = ""
				r.Distinct = true
				response, err := client.Send(t.Context(), r)
				c.Assert(err, qt.IsNil)
				body, err := readAll(response, 1<<10)
				if err == nil && response.Status == http.StatusOK {
					response.Accept()
				}
				response.Close()
				<-s.handled // all bytes have arrived
				if response.Status == http.StatusOK && err == nil {
					c.Check(string(body), qt.Equals, fmt.Sprintf("result %d", calls.Load()))
				}
			}
		})
	}
}

// Guards against a late copy of a response, other than the latest one, that is taken for
// the response to a call without an id.
func TestLateCopyWithoutID(t *testing.T) {
	c := qt.New(t)
	result := func(n int64) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nresult %d", n)
	}
	var calls atomic.Int64
	s := serve(t, func(conn *net.TCPConn, _ *http.Request, _ string) bool {
		n := calls.Add(1)
		if n == 4 && !write(conn, result(1)) {
			return false
		}
		return write(conn, result(n))
	})
	client := newClient(t)
	for call := 1; call <= 6; call++ {
		r := request(s.address)
		r.ID = ""
		r.Distinct = true
		response, err := client.Send(t.Context(), r)
		c.Assert(err, qt.IsNil)
		body, err := readAll(response, 1<<10)
		if err == nil {
			response.Accept()
			c.Check(string(body), qt.Equals, fmt.Sprintf("result %d", calls.Load()))
		}
		response.Close()
		<-s.handled
	}
	c.Check(s.connections.Load(), qt.Equals, int64(2))
}

// Guards against a new connection for each call whose response always has the same body,
// and against the reuse of one whose response the caller has not accepted.
func TestEqualResponses(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		t.Run(fmt.Sprint("accepted: ", accepted), func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, func(conn *net.TCPConn, _ *http.Request, _ string) bool {
				return write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			})
			client := newClient(t)
			for range 3 {
				r := request(s.address)
				r.ID = ""
				response, err := client.Send(t.Context(), r)
				c.Assert(err, qt.IsNil)
				_, err = readAll(response, 1<<10)
				c.Check(err, qt.IsNil)
				if accepted {
					response.Accept()
				}
				response.Close()
			}
			want := int64(3)
			if accepted {
				want = 1
			}
			c.Check(s.connections.Load(), qt.Equals, want)
		})
	}
}

// Guards against reusing a connection on which bytes have arrived that belong to no
// request.
func TestStrayBytes(t *testing.T) {
	const served = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	tests := map[string]struct {
		text  string
		later string // written when the response has been read
	}{
		"after the response":            {text: served + "x"},
		"another response after it":     {text: served + refusal(503, "Not-Run: 1\r\n")},
		"later":                         {text: served, later: "x"},
		"another response later":        {text: served, later: refusal(503, "Not-Run: 1\r\n")},
		"another response before it":    {text: refusal(503, "Id: b\r\nNot-Run: 1\r\n") + served},
		"line break after the response": {text: served + "\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			read := make(chan struct{}, 1) // receives an element when a response has been read
			s := serve(t, func(conn *net.TCPConn, _ *http.Request, _ string) bool {
				if !write(conn, test.text) {
					return false
				}
				<-read
				return write(conn, test.later)
			})
			client := newClient(t)
			for range 2 {
				response, err := client.Send(t.Context(), request(s.address))
				c.Assert(err, qt.IsNil)
				body, err := readAll(response, 1<<10)
				c.Assert(err, qt.IsNil)
				c.Check(string(body), qt.Equals, "ok")
				response.Close()
				read <- struct{}{}
				<-s.handled
			}
			c.Check(s.connections.Load(), qt.Equals, int64(2))
		})
	}
}
