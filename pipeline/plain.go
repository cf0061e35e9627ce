package pipeline

import (
	"context"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/outcome"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// plainStage names the only stage of a plain service in events and costs.
const plainStage ident.StageName = "call"

// runPlain runs a job of a plain service, which is a single call. A complete
// response of any status is sent to the caller, which interprets it.
func (r *run) runPlain(ctx context.Context) outcome.Outcome {
	stage := document.Stage{
		Name: plainStage,
		Pool: r.job.Route.Pool,
		Cost: 1,
	}
	if r.missesDeadline(nil) {
		return r.fail(outcome.Deadline, "no time left")
	}
	r.job.Budget.First(stage.Name)
	var exclude []ident.UpstreamID
	for {
		placed, err := r.place(stage, 0, exclude, 0)
		if err != nil {
			return r.failStage(ctx, stage, err)
		}
		exclude = append(exclude, placed.lease.Upstream)
		reply, err := r.call(ctx, placed)
		if err == nil {
			r.mayHaveRun = true
			return outcome.Answered{
				Status: reply.Status,
				Type:   reply.Type,
				Body:   reply.Body,
			}
		}
		if !r.job.Route.Repeatable && !notRun(err) {
			return r.unknown(placed, err)
		}
		if denied := r.checkRetry(ctx, placed, err); denied != nil {
			return r.failStage(ctx, stage, denied)
		}
		if len(exclude) >= maxAttempts {
			return r.failStage(ctx, stage, withReason(outcome.NoUpstream, err))
		}
	}
}

// call makes one attempt at a plain call.
func (r *run) call(ctx context.Context, placed attempt) (Reply, error) {
	reply, err := r.cfg.Transport.Call(ctx, placed.lease.Address, Call{
		Attempt:  placed.id,
		Method:   r.job.Method,
		Path:     r.job.Path,
		Headers:  r.job.Headers,
		Body:     r.job.Body,
		Priority: r.job.Priority,
	})
	if err == nil && reply.Attempt != placed.id {
		err = ErrMismatch
	}
	r.finish(placed, reply.Load, err, false)
	r.recordCrash(ctx, placed, err)
	return reply, err
}

// unknown returns the outcome of a non-repeatable job that may have run.
func (r *run) unknown(placed attempt, err error) outcome.Outcome {
	r.event("end", placed.id, timeline.NewField("reason", string(outcome.ConnectionLost)))
	return outcome.Unknown{
		Reason:  outcome.ConnectionLost,
		Message: "the upstream may have run the request: " + err.Error(),
	}
}
