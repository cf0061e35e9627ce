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

// errCallerGone states that the caller no longer reads its stream.
const errCallerGone = errors.ConstError("caller stopped reading")

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// completionBody is the JSON body of a chat completion that is not streamed.
type completionBody struct {
	ID      ident.RequestID    `json:"id"`
	Object  string             `json:"object"`
	Choices []completionChoice `json:"choices"`
}

// generatedText is the text that the engines have produced so far.
type generatedText struct {
	text   strings.Builder
	tokens int
}

// generate runs a stage that returns a token stream. A broken stream is resumed
// after the last received token, on another engine if one is available.
func (r *run) generate(ctx context.Context, stage document.Stage, prompt string) (string, error) {
	ctx, cancel := r.withStageTimeout(ctx, stage)
	defer cancel()
	r.job.Budget.First(stage.Name)
	generated := &generatedText{}
	var exclude []ident.UpstreamID
	for {
		placed, err := r.place(stage, prefixOf(prompt), exclude, 0)
		if err != nil {
			if err := r.waitForCapacity(ctx, stage, err); err != nil {
				return "", err
			}
			exclude = nil
			continue
		}
		exclude = append(exclude, placed.lease.Upstream)
		err = r.attemptGeneration(ctx, placed, prompt, generated)
		switch {
		case err == nil:
			return generated.text.String(), nil
		case errors.Is(err, errCallerGone):
			return "", withReason(outcome.Incomplete, err)
		}
		if err := r.checkRetry(ctx, placed, err); err != nil {
			if err := r.waitForCapacity(ctx, stage, err); err != nil {
				return "", err
			}
			exclude = nil
			continue
		}
		if len(exclude) >= maxAttempts {
			return "", withReason(outcome.Incomplete, err)
		}
		if generated.tokens > 0 {
			r.event("resume", "", timeline.NewField("stage", string(stage.Name)))
		}
	}
}

// attemptGeneration runs one attempt and appends its tokens to generated.
func (r *run) attemptGeneration(ctx context.Context, placed attempt, prompt string, generated *generatedText) error {
	load, err := r.readTokens(ctx, &placed, prompt, generated)
	r.finish(placed, load, err, false)
	r.recordCrash(ctx, placed, err)
	return err
}

// readTokens appends the tokens of one stream to generated. It skips tokens that
// were received before, and returns the last load report of the engine.
func (r *run) readTokens(ctx context.Context, placed *attempt, prompt string, generated *generatedText) (*upstream.Load, error) {
	stream, err := r.cfg.Transport.Generate(ctx, placed.lease.Address, Generation{
		Attempt:   placed.id,
		Model:     r.job.Service.Model,
		Prompt:    prompt,
		Partial:   generated.text.String(),
		Offset:    generated.tokens,
		MaxTokens: r.job.MaxTokens,
		Priority:  r.job.Priority,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	r.mayHaveRun = true
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return stream.Load(), nil
		}
		if err != nil {
			return stream.Load(), err
		}
		if placed.firstToken == 0 {
			placed.firstToken = r.cfg.Now().Sub(placed.start)
			r.event("first token", placed.id, timeline.NewField("took", placed.firstToken.String()))
		}
		if token.Offset < generated.tokens {
			continue // the engine sent it again after a resume
		}
		if token.Offset > generated.tokens {
			return stream.Load(), errors.Annotatef(ErrLost, "token %d missing", generated.tokens)
		}
		if err := r.deliver(token, generated); err != nil {
			return stream.Load(), err
		}
	}
}

// deliver appends a token to generated and sends it to the sink if the job streams.
func (r *run) deliver(token Token, generated *generatedText) error {
	generated.tokens++
	generated.text.WriteString(token.Text)
	if !r.job.Stream {
		return nil
	}
	if err := r.sink.Token(token.Text); err != nil {
		return errors.Annotate(errCallerGone, err.Error())
	}
	return nil
}

// prefixOf hashes the start of a prompt, which is likely to be the same for many
// prompts, such as an instruction before the question. Engines can reuse their
// cache for it.
func prefixOf(prompt string) upstream.Prefix {
	const sharedBytes = 256
	if len(prompt) < sharedBytes {
		return 0
	}
	return upstream.NewPrefix(prompt[:sharedBytes])
}

// completionOutcome returns the response to a caller that does not stream.
func completionOutcome(request ident.RequestID, text string) outcome.Outcome {
	body, err := json.Marshal(completionBody{
		ID:     request,
		Object: "chat.completion",
		Choices: []completionChoice{
			{
				Message: completionMessage{
					Role:    "assistant",
					Content: text,
				},
				FinishReason: "stop",
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
