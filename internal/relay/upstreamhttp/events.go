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
	reader *bufio.Reader
	text   []byte
}

// NewEvents returns a reader of the events of an answer.
func NewEvents(answer io.Reader) *Events {
	return &Events{
		reader: bufio.NewReaderSize(answer, bufferBytes),
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

// Whole reports whether another whole event can be read without waiting.
func (e *Events) Whole() bool {
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
