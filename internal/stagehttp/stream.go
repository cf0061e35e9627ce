package stagehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const (
	generatePath = "/v1/chat/completions"
	streamEnd    = "[DONE]"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is the body of a request for a token stream.
type completion struct {
	Model      ident.ModelName `json:"model,omitempty"`
	Messages   []message       `json:"messages"`
	Stream     bool            `json:"stream"`
	MaxTokens  int             `json:"max_tokens,omitempty"`
	ResumeFrom int             `json:"resume_from,omitempty"`
	Partial    string          `json:"partial,omitempty"`
}

// chunk is the data of one event of a token stream.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// event is one server-sent event.
type event struct {
	id   string
	name string // value of the "event" field
	data string
}

// Generate implements pipeline.Transport. Each stream has its own connection, which
// is closed with the stream; this cancels an unfinished generation at the engine.
func (c *Client) Generate(ctx context.Context, to ident.Address, generation pipeline.Generation) (pipeline.Tokens, error) {
	tokens, err := c.generate(ctx, to, generation)
	if err != nil {
		return nil, errors.Annotatef(err, "generate at %s", to)
	}
	return tokens, nil
}

func (c *Client) generate(ctx context.Context, to ident.Address, generation pipeline.Generation) (*stream, error) {
	body, err := json.Marshal(completion{
		Model: generation.Model,
		Messages: []message{{
			Role:    "user",
			Content: generation.Prompt,
		}},
		Stream:     true,
		MaxTokens:  generation.MaxTokens,
		ResumeFrom: generation.Offset,
		Partial:    generation.Partial,
	})
	if err != nil {
		return nil, withKind(pipeline.ErrNotSent, err)
	}
	request, err := c.newRequest(ctx, to, pipeline.Call{
		Attempt: generation.Attempt,
		Method:  http.MethodPost,
		Path:    generatePath,
		Headers: []pipeline.Header{{
			Name:  "Accept",
			Value: "text/event-stream",
		}},
		Body:     body,
		Priority: generation.Priority,
	})
	if err != nil {
		return nil, withKind(pipeline.ErrNotSent, err)
	}
	conn, err := c.connect(ctx, to)
	if err != nil {
		return nil, withKind(pipeline.ErrNotSent, err)
	}
	response, err := exchange(conn, request, generation.Attempt)
	if err != nil {
		return nil, err
	}
	if !isSuccess(response.StatusCode) {
		defer func() {
			conn.discard()
			_ = response.Body.Close()
		}()
		body, err := c.readBody(response)
		if err != nil {
			return nil, withKind(pipeline.ErrLost, err)
		}
		if err := rejectionError(response); err != nil {
			return nil, err
		}
		return nil, pipeline.StatusError{
			Status: response.StatusCode,
			Body:   body,
		}
	}
	lines := bufio.NewScanner(io.LimitReader(response.Body, c.config.MaxResponse))
	lines.Buffer(nil, c.config.MaxEvent)
	return &stream{
		ctx:        ctx,
		conn:       conn,
		body:       response.Body,
		lines:      lines,
		nextOffset: generation.Offset,
		load:       parseLoad(response.Header.Get(loadHeader)),
	}, nil
}

// stream implements pipeline.Tokens.
type stream struct {
	ctx        context.Context
	conn       *connection
	body       io.Closer
	lines      *bufio.Scanner
	nextOffset int // offset of the next token
	load       *upstream.Load
	err        error // returned by every call of Next once it is set
}

// Next implements pipeline.Tokens.
func (s *stream) Next() (pipeline.Token, error) {
	for s.err == nil {
		token, found, err := s.readToken()
		if err != nil {
			s.closeWith(err)
			break
		}
		if found {
			s.nextOffset++
			return token, nil
		}
	}
	return pipeline.Token{}, s.err
}

// Load implements pipeline.Tokens.
func (s *stream) Load() *upstream.Load { return s.load }

// Close implements pipeline.Tokens.
func (s *stream) Close() error {
	s.closeWith(errors.Annotate(pipeline.ErrLost, "stream closed"))
	return nil
}

// closeWith closes the stream and sets reason as the error of later calls of Next,
// unless the stream is already closed.
func (s *stream) closeWith(reason error) {
	if s.err != nil {
		return
	}
	s.err = reason
	s.conn.discard()
	_ = s.body.Close()
}

// readToken reads one event; found is false for events without a new token.
func (s *stream) readToken() (token pipeline.Token, found bool, err error) {
	e, err := s.readEvent()
	if err != nil {
		return token, false, err
	}
	if e.data == streamEnd {
		return token, false, io.EOF
	}
	if e.name == "error" {
		return token, false, errors.Annotatef(pipeline.ErrLost, "engine ended the stream: %s", e.data)
	}
	var c chunk
	if err := json.Unmarshal([]byte(e.data), &c); err != nil {
		return token, false, withKind(pipeline.ErrLost, errors.Annotate(err, "parse event"))
	}
	var text strings.Builder
	for _, choice := range c.Choices {
		text.WriteString(choice.Delta.Content)
	}
	if e.id == "" {
		if text.Len() > 0 {
			return token, false, errors.Annotate(pipeline.ErrLost, "token without an offset")
		}
		return token, false, nil // carries the role or the finish reason
	}
	offset, err := strconv.Atoi(e.id)
	if err != nil {
		return token, false, withKind(pipeline.ErrLost, errors.Annotate(err, "parse token offset"))
	}
	if offset > s.nextOffset {
		return token, false, errors.Annotatef(pipeline.ErrLost, "token %d arrived instead of %d", offset, s.nextOffset)
	}
	if offset < s.nextOffset {
		return token, false, nil
	}
	return pipeline.Token{
		Offset: offset,
		Text:   text.String(),
	}, true, nil
}

// readEvent reads up to the end of the next event that has data.
func (s *stream) readEvent() (event, error) {
	var e event
	var data []string
	for s.lines.Scan() {
		line := s.lines.Text()
		if line == "" {
			if len(data) > 0 {
				e.data = strings.Join(data, "\n")
				return e, nil
			}
			e = event{}
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			data = append(data, value)
		}
	}
	err := s.lines.Err()
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return event{}, withKind(pipeline.ErrLost, errors.Annotate(err, "read token stream"))
}
