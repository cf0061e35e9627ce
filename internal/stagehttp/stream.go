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

// completion is the request for a token stream.
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
	kind string
	data string
}

// Generate implements pipeline.Transport. Each stream has a connection of its
// own, which is closed with it: closing it cancels an unfinished generation.
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
		return nil, mapped(pipeline.ErrNotSent, err)
	}
	request, err := c.request(ctx, to, pipeline.Call{
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
		return nil, mapped(pipeline.ErrNotSent, err)
	}
	conn, err := c.connect(ctx, to)
	if err != nil {
		return nil, mapped(pipeline.ErrNotSent, err)
	}
	response, err := exchange(conn, request, generation.Attempt)
	if err != nil {
		return nil, err
	}
	if !success(response.StatusCode) {
		defer func() {
			conn.discard()
			_ = response.Body.Close()
		}()
		body, err := c.body(response)
		if err != nil {
			return nil, mapped(pipeline.ErrLost, err)
		}
		if err := refusal(response); err != nil {
			return nil, err
		}
		return nil, pipeline.StatusError{
			Status: response.StatusCode,
			Body:   body,
		}
	}
	lines := bufio.NewScanner(io.LimitReader(response.Body, c.config.MaxReply))
	lines.Buffer(nil, c.config.MaxEvent)
	return &stream{
		ctx:   ctx,
		conn:  conn,
		body:  response.Body,
		lines: lines,
		next:  generation.Offset,
		load:  parseLoad(response.Header.Get(loadHeader)),
	}, nil
}

// stream implements pipeline.Tokens.
type stream struct {
	ctx   context.Context
	conn  *connection
	body  io.Closer
	lines *bufio.Scanner
	next  int // offset of the next token
	load  *upstream.Load
	ended error // repeated by Next once set
}

// Next implements pipeline.Tokens.
func (s *stream) Next() (pipeline.Token, error) {
	for s.ended == nil {
		token, found, err := s.read()
		if err != nil {
			s.end(err)
			break
		}
		if found {
			s.next++
			return token, nil
		}
	}
	return pipeline.Token{}, s.ended
}

// Load implements pipeline.Tokens.
func (s *stream) Load() *upstream.Load { return s.load }

// Close implements pipeline.Tokens.
func (s *stream) Close() error {
	s.end(errors.Annotate(pipeline.ErrLost, "stream closed"))
	return nil
}

func (s *stream) end(reason error) {
	if s.ended != nil {
		return
	}
	s.ended = reason
	s.conn.discard()
	_ = s.body.Close()
}

// read handles one event; found is false for events that carry no new token.
func (s *stream) read() (token pipeline.Token, found bool, err error) {
	e, err := s.event()
	if err != nil {
		return token, false, err
	}
	if e.data == streamEnd {
		return token, false, io.EOF
	}
	if e.kind == "error" {
		return token, false, errors.Annotatef(pipeline.ErrLost, "engine ended the stream: %s", e.data)
	}
	var c chunk
	if err := json.Unmarshal([]byte(e.data), &c); err != nil {
		return token, false, mapped(pipeline.ErrLost, errors.Annotate(err, "parse event"))
	}
	var text strings.Builder
	for _, choice := range c.Choices {
		text.WriteString(choice.Delta.Content)
	}
	if e.id == "" {
		if text.Len() > 0 {
			return token, false, errors.Annotate(pipeline.ErrLost, "token without an offset")
		}
		return token, false, nil // states the role or the reason for the end
	}
	offset, err := strconv.Atoi(e.id)
	if err != nil {
		return token, false, mapped(pipeline.ErrLost, errors.Annotate(err, "parse token offset"))
	}
	if offset > s.next {
		return token, false, errors.Annotatef(pipeline.ErrLost, "token %d arrived instead of %d", offset, s.next)
	}
	if offset < s.next {
		return token, false, nil
	}
	return pipeline.Token{
		Offset: offset,
		Text:   text.String(),
	}, true, nil
}

// event reads up to the next event that has data.
func (s *stream) event() (event, error) {
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
			e.kind = value
		case "data":
			data = append(data, value)
		}
	}
	err := s.lines.Err()
	if ended := context.Cause(s.ctx); ended != nil {
		err = ended
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return event{}, mapped(pipeline.ErrLost, errors.Annotate(err, "read token stream"))
}
