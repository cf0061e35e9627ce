package stagehttp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// tokenEvents returns the server-sent events of tokens with the given offsets.
func tokenEvents(offsets ...int) string {
	var text strings.Builder
	for _, offset := range offsets {
		fmt.Fprintf(&text, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", offset, offset)
	}
	return text.String()
}

// collect reads the stream to its end.
func collect(tokens pipeline.Tokens) (text string, count int, err error) {
	for {
		token, err := tokens.Next()
		if err != nil {
			return text, count, err
		}
		text += token.Text
		count++
	}
}

// Guards against a token stream that loses, duplicates or truncates tokens without an
// error.
func TestStreamFaults(t *testing.T) {
	const done = "data: [DONE]\n\n"
	tests := map[string]struct {
		events string
		offset int
		text   string
		want   error
	}{
		"complete": {
			events: "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n" + tokenEvents(0, 1) +
				"data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n" + done,
			text: "t0t1",
			want: io.EOF,
		},
		"carriage returns and comments": {
			events: ": ping\r\n\r\n" + strings.ReplaceAll(tokenEvents(0), "\n", "\r\n") + "data: [DONE]\r\n\r\n",
			text:   "t0",
			want:   io.EOF,
		},
		"resumed": {
			events: tokenEvents(2, 3) + done,
			offset: 2,
			text:   "t2t3",
			want:   io.EOF,
		},
		"resumed from the start by the engine": {
			events: tokenEvents(0, 1, 2, 3) + done,
			offset: 2,
			text:   "t2t3",
			want:   io.EOF,
		},
		"duplicates": {
			events: tokenEvents(0, 1, 0, 1, 1, 2) + done,
			text:   "t0t1t2",
			want:   io.EOF,
		},
		"gap": {
			events: tokenEvents(0, 2) + done,
			text:   "t0",
			want:   pipeline.ErrLost,
		},
		"gap at the start": {
			events: tokenEvents(1) + done,
			want:   pipeline.ErrLost,
		},
		"no end mark": {
			events: tokenEvents(0, 1),
			text:   "t0t1",
			want:   pipeline.ErrLost,
		},
		"empty": {
			want: pipeline.ErrLost,
		},
		"cut within the end mark": {
			events: tokenEvents(0) + "data: [DONE]\n",
			text:   "t0",
			want:   pipeline.ErrLost,
		},
		"cut within an event": {
			events: tokenEvents(0) + "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"t1\"}}]}\n",
			text:   "t0",
			want:   pipeline.ErrLost,
		},
		"error event": {
			events: tokenEvents(0) + "event: error\ndata: {}\n\n" + done,
			text:   "t0",
			want:   pipeline.ErrLost,
		},
		"token without an offset": {
			events: tokenEvents(0) + "data: {\"choices\":[{\"delta\":{\"content\":\"t1\"}}]}\n\n" + done,
			text:   "t0",
			want:   pipeline.ErrLost,
		},
		"offset that is no number": {
			events: "id: x\ndata: {}\n\n" + done,
			want:   pipeline.ErrLost,
		},
		"data that is no object": {
			events: "id: 0\ndata: {\n\n" + done,
			want:   pipeline.ErrLost,
		},
		"oversized event": {
			events: tokenEvents(0) + "data: " + strings.Repeat("x", 300) + "\n\n" + done,
			text:   "t0",
			want:   pipeline.ErrLost,
		},
		"oversized stream": {
			events: strings.Repeat(": ping\n", 1000) + tokenEvents(0) + done,
			want:   pipeline.ErrLost,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, respondRaw("Connection: close\r\n\r\n"+test.events))
			client := newClient(t, Config{
				MaxResponse: 4000,
				MaxEvent:    200,
			})
			tokens, err := client.Generate(t.Context(), s.address, pipeline.Generation{
				Attempt: "a",
				Offset:  test.offset,
			})
			qt.Assert(t, err, qt.IsNil)
			text, _, err := collect(tokens)
			qt.Assert(t, err, qt.ErrorIs, test.want)
			qt.Assert(t, text, qt.Equals, test.text)
			_, again := tokens.Next()
			qt.Assert(t, again, qt.Equals, err)
			qt.Assert(t, tokens.Close(), qt.IsNil)
		})
	}
}

// Guards against a response that rejects a generation but is reported as a broken
// stream.
func TestGenerateRefused(t *testing.T) {
	tests := map[string]struct {
		respond script
		want    error
	}{
		"reset after send": {
			respond: resetConnection,
			want:    pipeline.ErrLost,
		},
		"leaving": {
			respond: respondWith(503, "", "Upstream-State: leaving"),
			want:    pipeline.ErrLeaving,
		},
		"overloaded": {
			respond: respondWith(429, "", "Upstream-State: overloaded"),
			want:    pipeline.ErrOverloaded,
		},
		"wrong attempt id": {
			respond: func(conn *net.TCPConn, _ *http.Request) bool {
				return write(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\n\r\n"+tokenEvents(0))
			},
			want: pipeline.ErrMismatch,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, test.respond)
			client := newClient(t, Config{})
			tokens, err := client.Generate(t.Context(), s.address, pipeline.Generation{
				Attempt: "a",
			})
			qt.Assert(t, err, qt.ErrorIs, test.want)
			qt.Assert(t, tokens, qt.IsNil)
			qt.Assert(t, s.requests.Load(), qt.Equals, int64(1))
		})
	}
	t.Run("status", func(t *testing.T) {
		s := startServer(t, respondWith(404, "no model"))
		client := newClient(t, Config{})
		_, err := client.Generate(t.Context(), s.address, pipeline.Generation{
			Attempt: "a",
		})
		qt.Assert(t, err, qt.ErrorMatches, ".*status 404")
	})
}

// Guards against a resumed stream that does not continue exactly after the partial
// text.
func TestResumeAtEngine(t *testing.T) {
	engine := upstreams.NewEngine(upstreams.EngineConfig{
		Tokens: 6,
	})
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	address := ident.Address(server.Listener.Addr().String())
	client := newClient(t, Config{})
	engine.SetFaults(upstreams.Faults{
		DropAfter: 4,
	})
	generation := pipeline.Generation{
		Attempt: "a",
		Prompt:  "flange",
	}
	tokens, err := client.Generate(t.Context(), address, generation)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tokens.Load(), qt.IsNotNil)
	text, count, err := collect(tokens)
	qt.Assert(t, err, qt.ErrorIs, pipeline.ErrLost)
	qt.Assert(t, count, qt.Equals, 4)
	generation.Attempt = "b"
	generation.Partial = text
	generation.Offset = count
	tokens, err = client.Generate(t.Context(), address, generation)
	qt.Assert(t, err, qt.IsNil)
	rest, _, err := collect(tokens)
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, text+rest, qt.Equals, upstreams.EngineOutput("flange", 6))
}

// Guards against an engine that continues a generation after its stream is closed.
func TestCancelFreesEngineSlot(t *testing.T) {
	engine := upstreams.NewEngine(upstreams.EngineConfig{
		Common: upstreams.Common{
			Slots: 1,
			Queue: 1,
		},
		TokenRate: 0.001, // the second token is not generated within the test
	})
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	address := ident.Address(server.Listener.Addr().String())
	client := newClient(t, Config{})
	first, err := client.Generate(t.Context(), address, pipeline.Generation{
		Attempt: "a",
	})
	qt.Assert(t, err, qt.IsNil)
	_, err = first.Next()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Close(), qt.IsNil)
	second, err := client.Generate(t.Context(), address, pipeline.Generation{
		Attempt:   "b",
		MaxTokens: 1,
	})
	qt.Assert(t, err, qt.IsNil)
	_, _, err = collect(second)
	qt.Assert(t, err, qt.Equals, io.EOF)
}
