package pipeline

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/outcome"
	"github.com/nutmegshift/nutmegshift/timeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// errCaller reports that the caller no longer reads its stream.
const errCaller = errors.ConstError("caller stopped reading")

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index   int               `json:"index"`
	Message completionMessage `json:"message"`
	Finish  string            `json:"finish_reason"`
}

type completionBody struct {
	ID      ident.RequestID    `json:"id"`
	Object  string             `json:"object"`
	Choices []completionChoice `json:"choices"`
}

// generation is the text that the engines have produced so far.
type generation struct {
	text   strings.Builder
	tokens int
}

// generate runs a stage that answers with tokens. A stream that breaks is
// resumed behind the last token received, at another engine where there is one.
func (r *run) generate(ctx context.Context, stage document.Stage, prompt string) (string, error) {
	ctx, cancel := r.limit(ctx, stage)
	defer cancel()
	r.job.Budget.First(stage.Name)
	made := &generation{}
	var exclude []ident.UpstreamID
	for {
		placed, err := r.place(stage, prefixOf(prompt), exclude, 0)
		if err != nil {
			if err := r.outwait(ctx, stage, err); err != nil {
				return "", err
			}
			exclude = nil
			continue
		}
		exclude = append(exclude, placed.lease.Upstream)
		err = r.attemptTokens(ctx, placed, prompt, made)
		switch {
		case err == nil:
			return made.text.String(), nil
		case errors.Is(err, errCaller):
			return "", halt(outcome.Incomplete, err)
		}
		if err := r.again(ctx, placed, err); err != nil {
			if err := r.outwait(ctx, stage, err); err != nil {
				return "", err
			}
			exclude = nil
			continue
		}
		if len(exclude) >= maxPlacements {
			return "", halt(outcome.Incomplete, err)
		}
		if made.tokens > 0 {
			r.event("resume", "", timeline.NewField("stage", string(stage.Name)))
		}
	}
}

// attemptTokens runs one attempt and appends its tokens to made.
func (r *run) attemptTokens(ctx context.Context, placed attempt, prompt string, made *generation) error {
	load, err := r.readTokens(ctx, &placed, prompt, made)
	r.settle(placed, load, err, false)
	r.strike(ctx, placed, err)
	return err
}

func (r *run) readTokens(ctx context.Context, placed *attempt, prompt string, made *generation) (*upstream.Load, error) {
	stream, err := r.cfg.Transport.Generate(ctx, placed.lease.Address, Generation{
		Attempt:   placed.id,
		Model:     r.job.Service.Model,
		Prompt:    prompt,
		Partial:   made.text.String(),
		Offset:    made.tokens,
		MaxTokens: r.job.MaxTokens,
		Priority:  r.job.Priority,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	r.ran = true
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return stream.Load(), nil
		}
		if err != nil {
			return stream.Load(), err
		}
		if placed.first == 0 {
			placed.first = r.cfg.Now().Sub(placed.start)
			r.event("first token", placed.id, timeline.NewField("took", placed.first.String()))
		}
		if token.Offset < made.tokens {
			continue // resent after a resume
		}
		if token.Offset > made.tokens {
			return stream.Load(), errors.Annotatef(ErrLost, "token %d missing", made.tokens)
		}
		if err := r.deliver(token, made); err != nil {
			return stream.Load(), err
		}
	}
}

// deliver appends a token and passes it to a streaming caller.
func (r *run) deliver(token Token, made *generation) error {
	made.tokens++
	made.text.WriteString(token.Text)
	if !r.job.Stream {
		return nil
	}
	if err := r.sink.Token(token.Text); err != nil {
		return errors.Annotate(errCaller, err.Error())
	}
	return nil
}

// prefixOf hashes the part of a prompt that engines are likely to share, such as
// an instruction before the question.
func prefixOf(prompt string) upstream.Prefix {
	const shared = 256 // bytes
	if len(prompt) < shared {
		return 0
	}
	return upstream.NewPrefix(prompt[:shared])
}

// completed is the answer to a caller that does not stream.
func completed(request ident.RequestID, text string) outcome.Outcome {
	body, err := json.Marshal(completionBody{
		ID:     request,
		Object: "chat.completion",
		Choices: []completionChoice{
			{
				Message: completionMessage{
					Role:    "assistant",
					Content: text,
				},
				Finish: "stop",
			},
		},
	})
	if err != nil {
		return outcome.Failed{
			Status:  http.StatusBadGateway,
			Reason:  outcome.UpstreamError,
			Message: "encode answer: " + err.Error(),
		}
	}
	return outcome.Answered{
		Status: http.StatusOK,
		Type:   "application/json",
		Body:   body,
	}
}
