package upstreamhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
)

// maxEvent is the maximum size of an event in bytes.
const maxEvent = 1 << 20

// Event is a server-sent event, as the upstream wrote it.
type Event struct {
	ID   wire.EventID // 0 if it has none
	Text []byte       // including the blank line at its end; valid until the next call of Next
}

// Events reads server-sent events from a response body. It is not safe for
// concurrent use.
type Events struct {
	source *eofReader
	reader *bufio.Reader
	lease  *memory.Lease // of the text
	text   []byte
}

// eofReader records whether the latest read returned io.EOF.
type eofReader struct {
	io.Reader
	eof bool
}

// Read implements io.Reader.
func (e *eofReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	e.eof = err == io.EOF
	return n, err
}

// NewEvents returns a reader of the events in a response body. Events that do not fit into
// a small buffer take the memory of the lease.
func NewEvents(body io.Reader, lease *memory.Lease) *Events {
	e := &eofReader{
		Reader: body,
	}
	return &Events{
		source: e,
		reader: bufio.NewReaderSize(e, bufferBytes),
		lease:  lease,
	}
}

// Next returns the next complete event. At the end of a complete stream it returns
// io.EOF; it returns ErrLost if the stream breaks off or is malformed, or if there is no
// memory for the event, and ErrOversized if an event is too long.
func (e *Events) Next(ctx context.Context) (Event, error) {
	e.reset()
	event := Event{}
	for {
		line, err := e.reader.ReadSlice('\n')
		if len(e.text)+len(line) > maxEvent {
			return Event{}, errors.WithType(errors.Annotatef(ErrLost, "event exceeds %d bytes", maxEvent), ErrOversized)
		}
		if memoryErr := e.append(ctx, line); memoryErr != nil {
			return Event{}, errors.Annotatef(ErrLost, "read event: %v", memoryErr)
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(e.text) == 0:
			return Event{}, io.EOF
		case err == io.EOF:
			return Event{}, errors.Annotate(ErrLost, "stream ends within an event")
		case err != nil:
			return Event{}, errors.Annotatef(ErrLost, "read event: %v", err)
		}
		line = lastLine(e.text)
		if len(line) == 0 {
			event.Text = e.text
			return event, nil
		}
		if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.Atoi(string(bytes.TrimSpace(text)))
			if err != nil {
				return Event{}, errors.Annotatef(ErrLost, "invalid event id %q", text)
			}
			event.ID = wire.EventID(id)
		}
	}
}

// eventBuffers are the sizes of the buffers for the text of an event.
var eventBuffers = []int{bufferBytes, memory.SmallBytes, maxEvent}

// append adds a line to the text, and replaces the buffer if it is too small.
func (e *Events) append(ctx context.Context, line []byte) error {
	if need := len(e.text) + len(line); need > cap(e.text) {
		i := slices.IndexFunc(eventBuffers, func(size int) bool { return size >= need })
		if err := e.lease.Resize(ctx, int64(eventBuffers[i])); err != nil {
			return err
		}
		grown := make([]byte, len(e.text), eventBuffers[i])
		copy(grown, e.text)
		e.text = grown
	}
	e.text = append(e.text, line...)
	return nil
}

// reset drops the text, and its buffer if that is a large one.
func (e *Events) reset() {
	e.text = e.text[:0]
	if cap(e.text) > memory.SmallBytes {
		e.text = nil
		e.lease.Release()
	}
}

// Ready reports whether another complete event, or the end of the stream, can be
// read without waiting.
func (e *Events) Ready() bool {
	if e.source.eof && e.reader.Buffered() == 0 {
		return true
	}
	buffered, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && bytes.Contains(buffered, []byte("\n\n"))
}

// lastLine returns the last line of the text without its line ending.
func lastLine(text []byte) []byte {
	text = bytes.TrimSuffix(text, []byte("\n"))
	text = bytes.TrimSuffix(text, []byte("\r"))
	if i := bytes.LastIndexByte(text, '\n'); i >= 0 {
		text = text[i+1:]
	}
	return text
}
