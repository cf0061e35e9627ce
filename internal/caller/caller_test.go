package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/caller"
	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
	"github.com/nutmegshift/nutmegshift/outcome"
)

// fakeServer sends its tokens and returns its outcome for every request.
type fakeServer struct {
	tokens  []string
	outcome outcome.Outcome
	last    caller.Request
}

func (f *fakeServer) Serve(_ context.Context, request caller.Request, sink caller.Sink) outcome.Outcome {
	f.last = request
	for _, token := range f.tokens {
		if err := sink.Token(token); err != nil {
			break
		}
	}
	return f.outcome
}

func services() *document.Set {
	registry := document.NewRegistry()
	for _, v := range []document.Versioned{
		{
			Revision: 1,
			Service: &document.Service{
				Name:     "entries-api",
				Kind:     document.Plain,
				Deadline: time.Second,
				Shares: map[ident.OrganisationID]float64{
					"rindworks": 1,
				},
				Routes: []document.Route{
					{
						Name:               "enter",
						Method:             http.MethodPost,
						Path:               "/entries",
						IdentityHeader:     "Idempotency-Key",
						IdentityField:      "submission",
						OrganisationHeader: "X-Organisation",
					},
				},
			},
		},
		{
			Revision: 1,
			Service: &document.Service{
				Name:      "nutmeg-pool",
				Kind:      document.Pipeline,
				Deadline:  time.Second,
				MaxTokens: 100,
				Routes: []document.Route{
					{
						Name:               "chat",
						Method:             http.MethodPost,
						Path:               "/chat",
						Repeatable:         true,
						OrganisationHeader: "X-Organisation",
					},
				},
			},
		},
	} {
		registry.Offer(v)
	}
	return registry.Snapshot()
}

func serve(t *testing.T, server caller.Server) *httptest.Server {
	return serveWith(t, server, 1024, memory.New(1<<20))
}

// serveWith is like serve with a largest body in bytes and a budget of memory.
func serveWith(t *testing.T, server caller.Server, maxBody int64, budget *memory.Budget) *httptest.Server {
	started := httptest.NewUnstartedServer(nil)
	started.Listener = callerhttp.Listen(started.Listener, callerhttp.Limits{})
	started.Config = callerhttp.New(callerhttp.Config{
		Handler: caller.New(caller.Config{
			Server:   server,
			Services: services,
			NewID:    func() ident.RequestID { return "r1" },
			Now:      time.Now,
			MaxBody:  maxBody,
			Memory:   budget,
			Log:      zerolog.Nop(),
		}),
		HeaderTimeout: time.Minute,
		Log:           zerolog.Nop(),
	})
	started.Start()
	t.Cleanup(started.Close)
	return started
}

type errorBody struct {
	Error struct {
		Reason outcome.Reason `json:"reason"`
		Ran    any            `json:"ran"`
	} `json:"error"`
}

// An invalid request must get the status of its fault and an error body that states
// that it did not run.
func TestBadRequests(t *testing.T) {
	cases := map[string]struct {
		method string
		path   string
		org    string
		body   string
		status int
	}{
		"unknown service": {
			method: http.MethodPost,
			path:   "/nothing/entries",
			org:    "rindworks",
			status: http.StatusNotFound,
		},
		"unknown route": {
			method: http.MethodPost,
			path:   "/entries-api/other",
			org:    "rindworks",
			status: http.StatusNotFound,
		},
		"wrong method": {
			method: http.MethodGet,
			path:   "/entries-api/entries",
			org:    "rindworks",
			status: http.StatusMethodNotAllowed,
		},
		"no organisation": {
			method: http.MethodPost,
			path:   "/entries-api/entries",
			body:   `{}`,
			status: http.StatusBadRequest,
		},
		"unknown organisation": {
			method: http.MethodPost,
			path:   "/entries-api/entries",
			org:    "stranger",
			body:   `{}`,
			status: http.StatusForbidden,
		},
		"broken JSON": {
			method: http.MethodPost,
			path:   "/entries-api/entries",
			org:    "rindworks",
			body:   `{"submission":`,
			status: http.StatusBadRequest,
		},
		"oversized body": {
			method: http.MethodPost,
			path:   "/entries-api/entries",
			org:    "rindworks",
			body:   `{"a":"` + strings.Repeat("x", 2000) + `"}`,
			status: http.StatusRequestEntityTooLarge,
		},
		"chat without a message": {
			method: http.MethodPost,
			path:   "/nutmeg-pool/chat",
			org:    "any",
			body:   `{"messages":[]}`,
			status: http.StatusBadRequest,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			fake := &fakeServer{}
			status, body := send(t, serve(t, fake).URL+tc.path, tc.method, tc.org, tc.body)
			c.Assert(status, qt.Equals, tc.status)
			var decoded errorBody
			c.Assert(json.Unmarshal([]byte(body), &decoded), qt.IsNil, qt.Commentf(body))
			c.Assert(decoded.Error.Ran, qt.Equals, false)
			c.Assert(fake.last.ID, qt.Equals, ident.RequestID(""))
		})
	}
}

// The status and the "ran" field of an error body must state whether the request ran.
func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		outcome outcome.Outcome
		status  int
		ran     any
	}{
		"overload":          {outcome.Refused{Reason: outcome.Overload}, http.StatusServiceUnavailable, false},
		"quarantined":       {outcome.Refused{Reason: outcome.Quarantined}, http.StatusUnprocessableEntity, false},
		"store unavailable": {outcome.Refused{Reason: outcome.StoreUnavailable}, http.StatusServiceUnavailable, false},
		"upstream error":    {outcome.Failed{Reason: outcome.UpstreamError}, http.StatusBadGateway, true},
		"deadline":          {outcome.Failed{Reason: outcome.Deadline}, http.StatusGatewayTimeout, true},
		"answer not kept":   {outcome.Failed{Reason: outcome.NotKept}, http.StatusConflict, true},
		"unknown":           {outcome.Unknown{Reason: outcome.ConnectionLost}, http.StatusConflict, "unknown"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			status, body := send(t, serve(t, &fakeServer{
				outcome: tc.outcome,
			}).URL+"/entries-api/entries", http.MethodPost, "rindworks", `{"submission":"s1"}`)
			c.Assert(status, qt.Equals, tc.status)
			var decoded errorBody
			c.Assert(json.Unmarshal([]byte(body), &decoded), qt.IsNil)
			c.Assert(decoded.Error.Ran, qt.Equals, tc.ran)
		})
	}
}

// A stream that cannot be completed must not look complete.
func TestStreams(t *testing.T) {
	cases := map[string]struct {
		outcome outcome.Outcome
		done    bool
	}{
		"complete": {outcome.Answered{Stream: true}, true},
		"broken":   {outcome.Failed{Reason: outcome.Incomplete}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			status, body := send(t, serve(t, &fakeServer{
				tokens:  []string{"a ", "b "},
				outcome: tc.outcome,
			}).URL+"/nutmeg-pool/chat", http.MethodPost, "any", `{"stream":true,"messages":[{"role":"user","content":"q"}]}`)
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(strings.Contains(body, "[DONE]"), qt.Equals, tc.done)
			c.Assert(strings.Contains(body, "event: error"), qt.Equals, !tc.done)
		})
	}
}

// The organisation and identity must be read from the header and body fields that
// the service document names, and the path must keep its query.
func TestFields(t *testing.T) {
	c := qt.New(t)
	fake := &fakeServer{
		outcome: outcome.Answered{Status: http.StatusCreated, Type: "application/json"},
	}
	status, _ := send(t, serve(t, fake).URL+"/entries-api/entries?season=2", http.MethodPost, "rindworks", `{"submission":"s1"}`)
	c.Assert(status, qt.Equals, http.StatusCreated)
	c.Assert(fake.last.Identity, qt.Equals, "s1")
	c.Assert(fake.last.Organisation, qt.Equals, ident.OrganisationID("rindworks"))
	c.Assert(fake.last.Path, qt.Equals, "/entries?season=2")
}

// Garbage and half-closed connections must not affect other requests, and a request
// with both Content-Length and Transfer-Encoding, whose length is ambiguous, must
// not be served.
func TestGarbageConnection(t *testing.T) {
	cases := map[string]string{
		"garbage bytes": "\x00\x01\x02 garbage\r\n\r\n",
		"half request":  "POST /entries-api/entries HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{\"sub",
		"two lengths":   "POST /entries-api/entries HTTP/1.1\r\nHost: x\r\nX-Organisation: rindworks\r\nContent-Length: 19\r\nTransfer-Encoding: chunked\r\n\r\n13\r\n{\"submission\":\"s2\"}\r\n0\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			fake := &fakeServer{
				outcome: outcome.Answered{Status: http.StatusOK},
			}
			server := serve(t, fake)
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, text)
			c.Assert(err, qt.IsNil)
			c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			_, err = io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
			c.Assert(fake.last.ID, qt.Equals, ident.RequestID(""))
			status, _ := send(t, server.URL+"/entries-api/entries", http.MethodPost, "rindworks", `{"submission":"s1"}`)
			c.Assert(status, qt.Equals, http.StatusOK)
		})
	}
}

func send(t *testing.T, url, method, org, body string) (status int, responseBody string) {
	c := qt.New(t)
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	if org != "" {
		request.Header.Set("X-Organisation", org)
	}
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, string(received)
}

// A crowd whose bodies are legal each, and stop just short of their end, must not hold more
// memory than the budget, and must leave some for an ordinary request.
func TestUnfinishedBodies(t *testing.T) {
	c := qt.New(t)
	const clients, length = 30, 400_000
	budget := memory.New(1 << 20)
	server := serveWith(t, &fakeServer{outcome: outcome.Answered{Status: http.StatusOK}}, 1<<19, budget)
	refused := make(chan bool, clients)
	for range clients {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp4", server.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		go func(context.Context) {
			_, _ = fmt.Fprintf(conn, "POST /entries-api/entries HTTP/1.1\r\nHost: a\r\nX-Organisation: rindworks\r\nContent-Length: %d\r\n\r\n", length)
			_, _ = io.WriteString(conn, strings.Repeat("x", length-1))
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				refused <- false
				return
			}
			_ = response.Body.Close()
			refused <- response.StatusCode == http.StatusServiceUnavailable
		}(t.Context())
	}
	for held := clients; held > 3; {
		c.Check(budget.Used() <= 1<<20, qt.IsTrue)
		if !<-refused {
			break
		}
		held--
	}
	status, _ := send(t, server.URL+"/entries-api/entries", http.MethodPost, "rindworks", `{}`)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(budget.Rejected() > 0, qt.IsTrue)
}
