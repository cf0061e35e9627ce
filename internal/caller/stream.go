package caller

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

type delta struct {
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int    `json:"index"`
	Delta        delta  `json:"delta"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type chunk struct {
	ID      ident.RequestID `json:"id"`
	Object  string          `json:"object"`
	Choices []choice        `json:"choices"`
}

// stream writes tokens as server-sent events. The response header is sent with the
// first token.
type stream struct {
	request ident.RequestID
	writer  http.ResponseWriter
	started bool
}

// Token implements Sink.
func (s *stream) Token(text string) error {
	s.start()
	return s.writeChunk(choice{
		Delta: delta{
			Content: text,
		},
	})
}

// finish writes the end of a complete stream.
func (s *stream) finish() error {
	s.start()
	err := s.writeChunk(choice{
		FinishReason: "stop",
	})
	if err != nil {
		return err
	}
	return s.write("data: [DONE]\n\n")
}

// fail writes an error event in place of the final [DONE], which tells the caller
// that the stream is incomplete.
func (s *stream) fail(body errorBody) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Annotate(err, "encode stream error")
	}
	return s.write(fmt.Sprintf("event: error\ndata: %s\n\n", encoded))
}

func (s *stream) start() {
	if s.started {
		return
	}
	s.started = true
	s.writer.Header().Set("Content-Type", "text/event-stream")
	s.writer.Header().Set("Cache-Control", "no-cache")
	s.writer.WriteHeader(http.StatusOK)
}

func (s *stream) writeChunk(c choice) error {
	encoded, err := json.Marshal(chunk{
		ID:     s.request,
		Object: "chat.completion.chunk",
		Choices: []choice{
			c,
		},
	})
	if err != nil {
		return errors.Annotate(err, "encode token")
	}
	return s.write(fmt.Sprintf("data: %s\n\n", encoded))
}

func (s *stream) write(text string) error {
	if _, err := s.writer.Write([]byte(text)); err != nil {
		return errors.Annotate(err, "write to caller")
	}
	if flusher, ok := s.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}
