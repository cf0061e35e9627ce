package upstreamhttp_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Guards against returning an event before it is complete, and against a stream
// that seems complete although it broke off.
func TestEvents(t *testing.T) {
	broken := errors.New("reset")
	tests := map[string]struct {
		stream io.Reader
		ids    []wire.EventID
		text   string // of all complete events
		err    error  // at the end of the stream
	}{
		"complete":                   {stream: strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), ids: []wire.EventID{1, 2}, text: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", err: io.EOF},
		"empty":                      {stream: strings.NewReader(""), err: io.EOF},
		"byte by byte":               {stream: iotest.OneByteReader(strings.NewReader("id: 1\ndata: a\n\n")), ids: []wire.EventID{1}, text: "id: 1\ndata: a\n\n", err: io.EOF},
		"with carriage return":       {stream: strings.NewReader("id: 1\r\ndata: a\r\n\r\n"), ids: []wire.EventID{1}, text: "id: 1\r\ndata: a\r\n\r\n", err: io.EOF},
		"another first line":         {stream: strings.NewReader("weight-versions:2\nid:7\ndata: a\n\n"), ids: []wire.EventID{7}, text: "weight-versions:2\nid:7\ndata: a\n\n", err: io.EOF},
		"without an id":              {stream: strings.NewReader(": comment\n\n"), ids: []wire.EventID{0}, text: ": comment\n\n", err: io.EOF},
		"ends within an event":       {stream: strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), ids: []wire.EventID{1}, text: "id: 1\ndata: a\n\n", err: upstreamhttp.ErrLost},
		"ends before the blank line": {stream: strings.NewReader("id: 1\ndata: a\n"), err: upstreamhttp.ErrLost},
		"reset":                      {stream: io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), iotest.ErrReader(broken)), ids: []wire.EventID{1}, text: "id: 1\ndata: a\n\n", err: upstreamhttp.ErrLost},
		"malformed id":               {stream: strings.NewReader("id: x\n\n"), err: upstreamhttp.ErrLost},
		"long event":                 {stream: strings.NewReader("id: 1\ndata: " + strings.Repeat("a", 10000) + "\n\n"), ids: []wire.EventID{1}, text: "id: 1\ndata: " + strings.Repeat("a", 10000) + "\n\n", err: io.EOF},
		"endless lines":              {stream: strings.NewReader(strings.Repeat("data: a\n", 1<<18)), err: upstreamhttp.ErrLost},
		"endless event":              {stream: strings.NewReader(strings.Repeat("a", 2<<20)), err: upstreamhttp.ErrLost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			events := upstreamhttp.NewEvents(test.stream, newLease())
			var ids []wire.EventID
			var text strings.Builder
			for {
				event, err := events.Next(context.Background())
				if err != nil {
					c.Assert(err, qt.ErrorIs, test.err)
					break
				}
				ids = append(ids, event.ID)
				text.Write(event.Text)
			}
			c.Check(ids, qt.DeepEquals, test.ids)
			c.Check(text.String(), qt.Equals, test.text)
		})
	}
}

// Guards against events whose bytes are lost or changed, for any stream.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"))
	f.Add([]byte("\n\n: x\n\nid:\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		events := upstreamhttp.NewEvents(iotest.HalfReader(strings.NewReader(string(stream))), newLease())
		var received strings.Builder
		for {
			event, err := events.Next(context.Background())
			if err != nil {
				if errors.Is(err, io.EOF) && received.String() != string(stream) {
					t.Fatalf("complete stream %q, received %q", stream, received.String())
				}
				break
			}
			received.Write(event.Text)
		}
		if !strings.HasPrefix(string(stream), received.String()) {
			t.Fatalf("stream %q, received %q", stream, received.String())
		}
	})
}

// Guards against an event that is delayed until the next event arrives, and against
// sending events in more packets than needed.
func TestEventsReady(t *testing.T) {
	const one, two = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	tests := map[string]struct {
		reads []string
		end   bool // io.EOF comes with the last read
		ready []bool
	}{
		"event by event": {
			reads: []string{one, two},
			ready: []bool{false, false},
		},
		"both at once": {
			reads: []string{one + two},
			ready: []bool{true, false},
		},
		"end with the last event": {
			reads: []string{one, two},
			end:   true,
			ready: []bool{false, true},
		},
		"half an event": {
			reads: []string{one + two[:5], two[5:]},
			ready: []bool{false, false},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var parts []io.Reader
			for _, text := range test.reads {
				parts = append(parts, strings.NewReader(text))
			}
			stream := io.MultiReader(parts...)
			if test.end {
				stream = iotest.DataErrReader(stream)
			}
			events := upstreamhttp.NewEvents(stream, newLease())
			var ready []bool
			for {
				if _, err := events.Next(context.Background()); err != nil {
					c.Assert(err, qt.Equals, io.EOF)
					break
				}
				ready = append(ready, events.Ready())
			}
			c.Check(ready, qt.DeepEquals, test.ready)
		})
	}
}
