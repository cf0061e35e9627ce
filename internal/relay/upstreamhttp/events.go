package upstreamhttp

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// Event is one event of a stream, as the upstream wrote it.
type Event struct {
	ID   wire.EventID // 0 if it has none
	Text []byte       // with the blank line that ends it; valid until the next read
}

// Events reads the events of an answer.
type Events struct {
	answer *ending
	reader *bufio.Reader
	text   []byte
}

// ending is a reader that notes its end.
type ending struct {
	io.Reader
	ended bool
}

// Read implements io.Reader.
func (e *ending) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	e.ended = err == io.EOF
	return n, err
}

// NewEvents returns a reader of the events of an answer.
func NewEvents(answer io.Reader) *Events {
	e := &ending{
		Reader: answer,
	}
	return &Events{
		answer: e,
		reader: bufio.NewReaderSize(e, bufferBytes),
	}
}

// Next returns the next whole event. At the end of a complete stream it returns
// io.EOF; any other error means that the stream broke off.
func (e *Events) Next() (Event, error) {
	e.text = e.text[:0]
	event := Event{}
	for {
		line, err := e.reader.ReadSlice('\n')
		e.text = append(e.text, line...)
		switch {
		case err == bufio.ErrBufferFull:
			if len(e.text) > maxEvent {
				return Event{}, errors.Annotatef(ErrLost, "event exceeds %d bytes", maxEvent)
			}
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
				return Event{}, errors.Annotatef(ErrLost, "event id %q", text)
			}
			event.ID = wire.EventID(id)
		}
	}
}

// Ready reports whether another whole event, or the end of the stream, can be
// read without waiting.
func (e *Events) Ready() bool {
	if e.answer.ended && e.reader.Buffered() == 0 {
		return true
	}
	buffered, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && bytes.Contains(buffered, []byte("\n\n"))
}

// lastLine returns the last line of the text without its end.
func lastLine(text []byte) []byte {
	text = bytes.TrimSuffix(text, []byte("\n"))
	text = bytes.TrimSuffix(text, []byte("\r"))
	if i := bytes.LastIndexByte(text, '\n'); i >= 0 {
		text = text[i+1:]
	}
	return text
}
