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

// plain runs one call to a plain upstream. A complete reply of any status is
// the answer, since its meaning is between the caller and the upstream.
func (r *run) plain(ctx context.Context) outcome.Outcome {
	stage := document.Stage{
		Name: plainStage,
		Pool: r.job.Route.Pool,
		Cost: 1,
	}
	if r.late(nil) {
		return r.end(outcome.Deadline, "no time left")
	}
	r.job.Budget.First(stage.Name)
	var exclude []ident.UpstreamID
	for {
		placed, err := r.place(stage, 0, exclude, 0)
		if err != nil {
			return r.failed(ctx, stage, err)
		}
		exclude = append(exclude, placed.lease.Upstream)
		reply, err := r.call(ctx, placed)
		if err == nil {
			r.ran = true
			return outcome.Answered{
				Status: reply.Status,
				Type:   reply.Type,
				Body:   reply.Body,
			}
		}
		if !r.job.Route.Repeatable && !notRun(err) {
			return r.unknown(placed, err)
		}
		if denied := r.again(ctx, placed, err); denied != nil {
			return r.failed(ctx, stage, denied)
		}
		if len(exclude) >= maxPlacements {
			return r.failed(ctx, stage, halt(outcome.NoUpstream, err))
		}
	}
}

// call sends one attempt of a plain call.
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
	r.settle(placed, reply.Load, err, false)
	r.strike(ctx, placed, err)
	return reply, err
}

// unknown ends a non-repeatable job that may have run.
func (r *run) unknown(placed attempt, err error) outcome.Outcome {
	r.event("end", placed.id, timeline.NewField("reason", string(outcome.ConnectionLost)))
	return outcome.Unknown{
		Reason:  outcome.ConnectionLost,
		Message: "the upstream may have run the request: " + err.Error(),
	}
}
