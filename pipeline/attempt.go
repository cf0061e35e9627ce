package pipeline

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/outcome"
	"github.com/nutmegshift/nutmegshift/timeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// maxPlacements bounds the upstreams that one stage of a job may try, counting
// those that did not run it.
const maxPlacements = 4

// overloadPause is the time between two tries while every upstream of a stage
// refuses work; the selector holds a refusing upstream back for 200 ms or more.
const overloadPause = 50 * time.Millisecond

// haltedError ends a stage for a reason that the caller learns.
type haltedError struct {
	reason outcome.Reason
	cause  error
}

// Error implements error.
func (e haltedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e haltedError) Unwrap() error { return e.cause }

func halt(reason outcome.Reason, cause error) error {
	return haltedError{
		reason: reason,
		cause:  cause,
	}
}

// attempt is one attempt at a stage on one upstream.
type attempt struct {
	id      ident.AttemptID
	lease   upstream.Lease
	stage   document.Stage
	start   time.Time
	suspect bool
	first   time.Duration // until the first token; answers differ in length, first tokens compare
}

// place chooses an upstream for a new attempt at the stage. With within above 0
// it is one that is expected to complete in that time.
func (r *run) place(stage document.Stage, prefix upstream.Prefix, exclude []ident.UpstreamID, within time.Duration) (attempt, error) {
	now := r.cfg.Now()
	if r.job.Suspect {
		exclude = r.suspects.occupied(exclude)
	}
	lease, err := r.cfg.Selector.Choose(now, upstream.Query{
		Pool:       stage.Pool,
		Prefix:     prefix,
		Exclude:    exclude,
		Weight:     r.job.Service.AttainmentWeight,
		CrossCost:  r.job.Service.CrossCost,
		Cost:       stage.Cost,
		Repeatable: r.job.Route.Repeatable && !r.job.Suspect,
		Within:     within,
		Avoid:      r.lost,
	})
	switch {
	case errors.Is(err, upstream.ErrOverloaded):
		return attempt{}, halt(outcome.Overload, err)
	case err != nil:
		return attempt{}, halt(outcome.NoUpstream, err)
	}
	placed := attempt{
		id:      r.cfg.NewAttempt(),
		lease:   lease,
		stage:   stage,
		start:   now,
		suspect: r.job.Suspect,
	}
	if placed.suspect {
		r.suspects.enter(lease.Upstream)
	}
	r.event("attempt", placed.id, timeline.NewField("stage", string(stage.Name)), timeline.NewField("upstream", string(lease.Upstream)), timeline.NewField("domain", string(lease.Domain)))
	return placed, nil
}

// settle reports the end of an attempt to the selector, the meter and the timeline.
func (r *run) settle(a attempt, load *upstream.Load, err error, wasted bool) {
	took := r.cfg.Now().Sub(a.start)
	latency := took
	if a.first > 0 {
		latency = a.first
	}
	if a.suspect {
		r.suspects.leave(a.lease.Upstream)
	}
	r.cfg.Selector.Done(a.lease, upstream.Report{
		Latency: latency,
		Load:    load,
		Result:  result(err),
	})
	use := Use{
		Service: r.job.Service.Name,
		Stage:   a.stage.Name,
		Time:    took,
		Price:   took.Seconds() * a.stage.Cost,
		Crossed: a.lease.Cross,
		Wasted:  wasted || err != nil,
	}
	if use.Crossed {
		use.Price += r.job.Service.CrossCost
	}
	r.cfg.Meter.Add(use)
	if err != nil {
		r.event("attempt failed", a.id, timeline.NewField("upstream", string(a.lease.Upstream)), timeline.NewField("error", err.Error()))
		return
	}
	r.event("attempt done", a.id, timeline.NewField("stage", string(a.stage.Name)), timeline.NewField("took", took.String()))
	if !wasted {
		r.job.Estimates.Record(a.stage.Name, took)
	}
}

// result turns the error of a transport into the selector's result.
func result(err error) upstream.Result {
	var status StatusError
	switch {
	case err == nil:
		return upstream.Completed{}
	case errors.Is(err, context.Canceled):
		// This comes before ErrNotSent: a hedge that lost while it connected says
		// nothing against its upstream. A deadline does not, as dialling has one.
		return upstream.Cancelled{}
	case errors.Is(err, ErrNotSent):
		return upstream.NotSent{}
	case errors.Is(err, ErrLeaving):
		return upstream.Leaving{}
	case errors.Is(err, ErrOverloaded):
		return upstream.Overloaded{}
	case errors.Is(err, context.DeadlineExceeded):
		return upstream.Cancelled{}
	case errors.As(err, &status):
		return upstream.Completed{
			Failed: status.Status >= 500,
		}
	default:
		return upstream.Lost{}
	}
}

// notRun reports whether the upstream certainly did not run the attempt.
func notRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrLeaving) || errors.Is(err, ErrOverloaded)
}

// broken reports whether the upstream broke the connection. An attempt that
// this host cut off, such as one that took longer than the stage's timeout, is
// lost too but says nothing about a crash.
func broken(err error) bool {
	return errors.Is(err, ErrLost) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// strike records the crash of the upstream that an attempt ended by, before
// anything else happens to the request, and makes the request a suspect.
func (r *run) strike(ctx context.Context, a attempt, err error) {
	if !broken(err) || !r.job.Guard.Lost(ctx, a.lease) {
		return
	}
	r.crashed = true
	r.job.Suspect = true
	// Upstreams of a failure domain fail together; a second crash there would
	// put a harmless request into quarantine.
	r.lost = a.lease.Domain
}

// again decides whether a repeatable stage may be tried again after err, and
// returns the reason why not. After a crash the guard has to allow it too.
func (r *run) again(ctx context.Context, a attempt, err error) error {
	if !notRun(err) {
		r.ran = true
	}
	if denied := r.denied(ctx, a, err); denied != nil {
		return denied
	}
	if r.crashed && !r.job.Guard.Again(ctx) {
		return halt(outcome.Quarantined, err)
	}
	r.crashed = false
	return nil
}

// denied returns why a stage may not be tried again after err, nil if it may.
func (r *run) denied(ctx context.Context, a attempt, err error) error {
	var status StatusError
	switch {
	case ctx.Err() != nil:
		return halt(outcome.Deadline, ctx.Err())
	case r.late(r.rest), r.late(append([]document.Stage{a.stage}, r.rest...)):
		return halt(outcome.Deadline, err)
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrLeaving):
		return nil
	case errors.Is(err, ErrOverloaded):
		return r.budgeted(a.stage, halt(outcome.Overload, err))
	case errors.As(err, &status) && status.Status < 500:
		return halt(outcome.UpstreamError, err)
	default:
		return r.budgeted(a.stage, halt(outcome.UpstreamError, err))
	}
}

// outwait waits after the refusal err of an overloaded stage and returns nil if
// the stage is to be tried again. The results of earlier stages would be lost
// otherwise; a request without any ends at once, and its caller learns that it
// did not run.
func (r *run) outwait(ctx context.Context, stage document.Stage, err error) error {
	var halted haltedError
	if !r.ran || !errors.As(err, &halted) || halted.reason != outcome.Overload {
		return err
	}
	if r.job.Refused != nil {
		r.job.Refused()
		r.job.Refused = nil
	}
	timer := time.NewTimer(overloadPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return err
	case <-timer.C:
	}
	if r.late(append([]document.Stage{stage}, r.rest...)) {
		return err
	}
	r.event("outwaited", "", timeline.NewField("stage", string(stage.Name)))
	return nil
}

// budgeted returns nil if the retry budget pays for one more attempt, else denied.
func (r *run) budgeted(stage document.Stage, denied error) error {
	if r.job.Budget.Take(stage.Name) {
		return nil
	}
	r.event("retry denied", "")
	return denied
}
