package upstreamhttp_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
)

// maxRead is the number of bytes that the client may take from an upstream that sends
// no end of a response, before it closes the connection. It includes what the socket
// buffers of both sides hold.
const maxRead = 16 << 20

// maxAllocated is the number of bytes that the client may allocate for such a response,
// garbage included. The smallest hosts have 184 MB and serve many requests at a time.
const maxAllocated = 8 << 20

// endless writes the start and then repeats a text until the client closes the
// connection, or until limit bytes are written. It counts the written bytes.
func endless(start, repeated string, written *atomic.Int64) script {
	const limit = 256 << 20
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	return func(conn *net.TCPConn, _ *http.Request, _ string) bool {
		write(conn, start)
		for written.Load() < limit {
			n, err := conn.Write(block)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
		return false
	}
}

// allocated returns the number of bytes that the process has allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Guards against a faulty upstream that exhausts the memory of a host, or keeps it
// busy until the deadline, with a response that has no end. The request may have run.
func TestEndlessResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n"
	const other = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: b\r\n"
	tests := map[string]struct {
		start, repeated string
		inBody          bool // Send succeeds and reading the body fails
		otherError      bool // the response is rejected for another reason than its size
	}{
		"header line":                   {start: head + "Padding: ", repeated: "x"},
		"header lines":                  {start: head, repeated: "Padding: x\r\n"},
		"distinct header lines":         {start: head, repeated: "A: 1\r\nB: 2\r\nC: 3\r\nD: 4\r\n"},
		"status line":                   {start: "HTTP/1.1 200 ", repeated: "x"},
		"informational responses":       {repeated: "HTTP/1.1 102 Processing\r\n\r\n"},
		"long informational responses":  {repeated: "HTTP/1.1 103 Hints\r\nLink: " + strings.Repeat("x", 1000) + "\r\n\r\n"},
		"body of another response":      {start: other + "\r\n", repeated: "x", otherError: true},
		"long body of another response": {start: other + "Content-Length: 9999999999\r\n\r\n", repeated: "x"},
		"chunks of another response":    {start: other + "Transfer-Encoding: chunked\r\n\r\n", repeated: "1\r\nx\r\n"},
		"other responses":               {repeated: other + "Content-Length: 1\r\n\r\nx", otherError: true},
		"body":                          {start: head + "\r\n", repeated: "x", inBody: true},
		"chunks":                        {start: head + "Transfer-Encoding: chunked\r\n\r\n", repeated: "1\r\nx\r\n", inBody: true},
		"chunk extension":               {start: head + "Transfer-Encoding: chunked\r\n\r\n1;", repeated: "x", inBody: true, otherError: true},
		"trailer":                       {start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "Padding: x\r\n", inBody: true, otherError: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var written atomic.Int64
			s := serve(t, endless(test.start, test.repeated, &written))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			before := allocated()
			response, err := newClient(t).Send(ctx, request(s.address))
			if test.inBody {
				c.Assert(err, qt.IsNil)
				_, err = readAll(response, 1<<20)
				response.Close()
			}
			c.Check(err, qt.ErrorIs, upstreamhttp.ErrLost)
			c.Check(errors.Is(err, upstreamhttp.ErrOversized), qt.Equals, !test.otherError)
			c.Check(ctx.Err(), qt.IsNil, qt.Commentf("the client waits for the deadline"))
			c.Check(written.Load() < maxRead, qt.IsTrue, qt.Commentf("%d bytes were read", written.Load()))
			used := allocated() - before
			c.Check(used < maxAllocated, qt.IsTrue, qt.Commentf("%d bytes were allocated", used))
		})
	}
}

// Guards against an upstream that keeps a request, its connection and its memory for
// longer than the deadline, by sending a byte from time to time.
func TestSlowResponse(t *testing.T) {
	tests := map[string]struct {
		text   string
		inBody bool
	}{
		"status line":               {text: "HTTP/1.1 200 OK"},
		"header":                    {text: "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\nPadding: x"},
		"informational responses":   {text: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3)},
		"body of another response":  {text: "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Length: 100\r\n\r\nx"},
		"length of a chunk":         {text: "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n000", inBody: true},
		"body that ends by a close": {text: "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\nx", inBody: true},
	}
	const pause = 20 * time.Millisecond
	const timeout = 500 * time.Millisecond
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			closed := make(chan struct{})
			s := serve(t, func(conn *net.TCPConn, _ *http.Request, _ string) bool {
				defer close(closed)
				// Most of the text comes at once, the rest byte by byte until the client closes.
				split := len(test.text) - 1
				write(conn, test.text[:split])
				for write(conn, test.text[split:]) {
					time.Sleep(pause)
				}
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			response, err := newClient(t).Send(ctx, request(s.address))
			if test.inBody {
				c.Assert(err, qt.IsNil)
				_, err = readAll(response, 1<<20)
				response.Close()
			}
			c.Check(err, qt.ErrorIs, upstreamhttp.ErrLost)
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				c.Fatal("the connection was not closed")
			}
		})
	}
}

// Guards against bounds that reject a proper response: one with a long header, after
// informational responses, or after one to another request.
func TestLongResponse(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	head := "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n"
	tests := map[string]string{
		"long header":                  head + "Padding: " + strings.Repeat("x", 32<<10) + "\r\n" + body,
		"some informational responses": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 4) + head + body,
		"after a long other response":  "HTTP/1.1 200 OK\r\nSeal: s\r\nId: b\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000) + head + body,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, raw(text))
			response, err := newClient(t).Send(t.Context(), request(s.address))
			c.Assert(err, qt.IsNil)
			defer response.Close()
			got, err := readAll(response, 1<<10)
			c.Assert(err, qt.IsNil)
			c.Check(string(got), qt.Equals, "ok")
		})
	}
}
