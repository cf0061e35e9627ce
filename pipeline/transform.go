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

// hedgeFactor delays a hedge beyond the 95th percentile of a stage, so that
// hedges stay rarer than the budget allows when the stage is healthy.
const hedgeFactor = 1.5

type stageInput struct {
	Input string `json:"input"`
}

type stageOutput struct {
	Output string `json:"output"`
}

// ended is the end of one attempt at a transforming stage.
type ended struct {
	attempt attempt
	reply   Reply
	err     error
}

// transform runs one stage that turns a text into another.
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
		done, err := r.hedged(ctx, stage, call, &exclude)
		if err != nil {
			if err := r.outwait(ctx, stage, err); err != nil {
				return "", err
			}
			exclude = nil
			continue
		}
		if done.err == nil {
			r.ran = true
			return decodeOutput(stage, done.reply)
		}
		if err := r.again(ctx, done.attempt, done.err); err != nil {
			if err := r.outwait(ctx, stage, err); err != nil {
				return "", err
			}
			exclude = nil
			continue
		}
		if len(exclude) >= maxPlacements {
			return "", halt(outcome.NoUpstream, done.err)
		}
	}
}

// hedged runs one attempt, and a second one if the first straggles; the first
// success wins and the other is cancelled. It returns when both have ended.
func (r *run) hedged(ctx context.Context, stage document.Stage, call Call, exclude *[]ident.UpstreamID) (ended, error) {
	ctx, cancel := r.limit(ctx, stage)
	defer cancel()
	ends := make(chan ended)
	start := r.cfg.Now()
	running, err := r.launch(ctx, stage, call, exclude, 0, ends)
	if err != nil {
		return ended{}, err
	}
	hedge, stop := r.hedgeTimer(stage)
	defer stop()
	var winner *ended
	var last ended
	for running > 0 {
		select {
		case <-hedge:
			if r.job.Suspect || winner != nil || !r.job.Budget.Take(stage.Name) {
				continue
			}
			// A hedge that finds no upstream expected to finish sooner than the
			// first attempt has taken is given up: the whole pool is slow, and
			// hedges would take capacity from it.
			started, err := r.launch(ctx, stage, call, exclude, r.cfg.Now().Sub(start), ends)
			if err != nil {
				r.job.Budget.Return(stage.Name)
				continue
			}
			r.event("hedge", "", timeline.NewField("stage", string(stage.Name)))
			running += started
		case last = <-ends:
			running--
			r.settle(last.attempt, last.reply.Load, last.err, winner != nil)
			r.strike(ctx, last.attempt, last.err)
			if !notRun(last.err) {
				r.ran = true
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

// launch starts one attempt whose end arrives at ends, and returns how many it started.
func (r *run) launch(ctx context.Context, stage document.Stage, call Call, exclude *[]ident.UpstreamID, within time.Duration, ends chan<- ended) (int, error) {
	placed, err := r.place(stage, 0, *exclude, within)
	if err != nil {
		return 0, err
	}
	*exclude = append(*exclude, placed.lease.Upstream)
	call.Attempt = placed.id
	go func(ctx context.Context) {
		reply, err := r.cfg.Transport.Call(ctx, placed.lease.Address, call)
		ends <- ended{
			attempt: placed,
			reply:   reply,
			err:     checked(reply, call.Attempt, err),
		}
	}(ctx)
	return 1, nil
}

// hedgeTimer fires when an attempt has become a straggler; it never does while
// the stage's duration is not known.
func (r *run) hedgeTimer(stage document.Stage) (<-chan time.Time, func() bool) {
	slow := r.job.Estimates.Stage(stage.Name).High
	if slow <= 0 {
		return nil, func() bool { return false }
	}
	timer := time.NewTimer(time.Duration(float64(slow) * hedgeFactor))
	return timer.C, timer.Stop
}

// checked drops the result of another attempt and turns error statuses into errors.
func checked(reply Reply, want ident.AttemptID, err error) error {
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

func stagePath(stage document.Stage) string {
	if stage.Path != "" {
		return stage.Path
	}
	return "/v1/" + string(stage.Kind)
}

func decodeOutput(stage document.Stage, reply Reply) (string, error) {
	var decoded stageOutput
	if err := json.Unmarshal(reply.Body, &decoded); err != nil {
		return "", halt(outcome.UpstreamError, errors.Annotatef(err, "decode output of stage %q", stage.Name))
	}
	return decoded.Output, nil
}
