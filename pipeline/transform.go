package pipeline

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/outcome"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// hedgeFactor multiplies the 95th percentile of a stage's duration to give the
// delay of a hedge, so that hedges of a healthy stage stay rarer than the budget
// allows.
const hedgeFactor = 1.5

// stageInput and stageOutput are the JSON bodies of the request to a transform
// stage and of its response.
type stageInput struct {
	Input string `json:"input"`
}

type stageOutput struct {
	Output string `json:"output"`
}

// callResult is the result of one attempt at a transform stage.
type callResult struct {
	attempt attempt
	reply   Reply
	err     error
}

// transform runs a stage that returns a single text, and returns this text.
func (r *run) transform(ctx context.Context, stage document.Stage, input string) (string, error) {
	body, err := json.Marshal(stageInput{
		Input: input,
	})
	if err != nil {
		return "", errors.Annotatef(err, "encode input of stage %q", stage.Name)
	}
	call := Call{
		Method:   http.MethodPost,
		Path:     stagePath(stage),
		Body:     body,
		Priority: r.job.Priority,
	}
	r.job.Budget.First(stage.Name)
	var exclude []ident.UpstreamID
	for {
		last, err := r.callHedged(ctx, stage, call, &exclude)
		if err != nil {
			if err := r.waitForCapacity(ctx, stage, err); err != nil {
				return "", err
			}
			exclude = nil
			continue
		}
		if last.err == nil {
			r.mayHaveRun = true
			return decodeOutput(stage, last.reply)
		}
		if err := r.checkRetry(ctx, last.attempt, last.err); err != nil {
			if err := r.waitForCapacity(ctx, stage, err); err != nil {
				return "", err
			}
			exclude = nil
			continue
		}
		if len(exclude) >= maxAttempts {
			return "", withReason(outcome.NoUpstream, last.err)
		}
	}
}

// callHedged runs one attempt, and a hedge if the first attempt is a straggler. The
// first success is returned and cancels the other attempt. callHedged returns after
// both have ended, with the last failure if none succeeded.
func (r *run) callHedged(ctx context.Context, stage document.Stage, call Call, exclude *[]ident.UpstreamID) (callResult, error) {
	ctx, cancel := r.withStageTimeout(ctx, stage)
	defer cancel()
	results := make(chan callResult)
	start := r.cfg.Now()
	running, err := r.launch(ctx, stage, call, exclude, 0, results)
	if err != nil {
		return callResult{}, err
	}
	hedge, stopTimer := r.hedgeTimer(stage)
	defer stopTimer()
	var winner *callResult
	var last callResult
	for running > 0 {
		select {
		case <-hedge:
			if r.job.Suspect || winner != nil || !r.job.Budget.Take(stage.Name) {
				continue
			}
			// No hedge is sent unless an upstream is expected to finish it in
			// less time than the first attempt has taken so far: otherwise the
			// whole pool is slow, and hedges would take capacity from it.
			started, err := r.launch(ctx, stage, call, exclude, r.cfg.Now().Sub(start), results)
			if err != nil {
				r.job.Budget.Return(stage.Name)
				continue
			}
			r.event("hedge", "", timeline.NewField("stage", string(stage.Name)))
			running += started
		case last = <-results:
			running--
			r.finish(last.attempt, last.reply.Load, last.err, winner != nil)
			r.recordCrash(ctx, last.attempt, last.err)
			if !notRun(last.err) {
				r.mayHaveRun = true
			}
			if winner == nil && last.err == nil {
				kept := last
				winner = &kept
				cancel()
			}
		}
	}
	if winner != nil {
		return *winner, nil
	}
	return last, nil
}

// launch starts one attempt, adds its upstream to exclude, and sends its result to
// results. It returns the number of attempts started: 1, or 0 after an error.
func (r *run) launch(ctx context.Context, stage document.Stage, call Call, exclude *[]ident.UpstreamID, within time.Duration, results chan<- callResult) (int, error) {
	placed, err := r.place(stage, 0, *exclude, within)
	if err != nil {
		return 0, err
	}
	*exclude = append(*exclude, placed.lease.Upstream)
	call.Attempt = placed.id
	go func(ctx context.Context) {
		reply, err := r.cfg.Transport.Call(ctx, placed.lease.Address, call)
		results <- callResult{
			attempt: placed,
			reply:   reply,
			err:     checkReply(reply, call.Attempt, err),
		}
	}(ctx)
	return 1, nil
}

// hedgeTimer returns a channel that receives when an attempt that starts now is a
// straggler, and a function that stops the timer. The channel is nil, and never
// receives, while the duration of the stage is not known.
func (r *run) hedgeTimer(stage document.Stage) (<-chan time.Time, func() bool) {
	slow := r.job.Estimates.Stage(stage.Name).High
	if slow <= 0 {
		return nil, func() bool { return false }
	}
	timer := time.NewTimer(time.Duration(float64(slow) * hedgeFactor))
	return timer.C, timer.Stop
}

// checkReply returns err, ErrMismatch if the reply belongs to another attempt than
// want, or a StatusError if its status is not a success.
func checkReply(reply Reply, want ident.AttemptID, err error) error {
	switch {
	case err != nil:
		return err
	case reply.Attempt != want:
		return ErrMismatch
	case reply.Status < 200 || reply.Status > 299:
		return StatusError{
			Status: reply.Status,
			Body:   reply.Body,
		}
	default:
		return nil
	}
}

// stagePath returns the URL path of the stage, by default /v1/KIND.
func stagePath(stage document.Stage) string {
	if stage.Path != "" {
		return stage.Path
	}
	return "/v1/" + string(stage.Kind)
}

func decodeOutput(stage document.Stage, reply Reply) (string, error) {
	var decoded stageOutput
	if err := json.Unmarshal(reply.Body, &decoded); err != nil {
		return "", withReason(outcome.UpstreamError, errors.Annotatef(err, "decode output of stage %q", stage.Name))
	}
	return decoded.Output, nil
}
