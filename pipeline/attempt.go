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

// maxAttempts bounds the attempts at one stage of a job, including those that an
// upstream did not run. Waiting for overloaded upstreams resets the count.
const maxAttempts = 4

// overloadRetryInterval is the time between attempts while every upstream of a
// stage is overloaded. The selector does not choose an overloaded upstream again
// for at least 200 ms.
const overloadRetryInterval = 50 * time.Millisecond

// stageError ends a stage with the reason that is reported to the caller.
type stageError struct {
	reason outcome.Reason
	cause  error
}

// Error implements error.
func (e stageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e stageError) Unwrap() error { return e.cause }

// withReason returns a stageError.
func withReason(reason outcome.Reason, cause error) error {
	return stageError{
		reason: reason,
		cause:  cause,
	}
}

// attempt is one attempt at a stage on one upstream.
type attempt struct {
	id         ident.AttemptID
	lease      upstream.Lease
	stage      document.Stage
	start      time.Time
	suspect    bool
	firstToken time.Duration // from start to the first token, 0 before it; see finish
}

// place chooses an upstream for a new attempt at the stage. If within is above 0,
// the upstream must be expected to complete the attempt in that time.
func (r *run) place(stage document.Stage, prefix upstream.Prefix, exclude []ident.UpstreamID, within time.Duration) (attempt, error) {
	now := r.cfg.Now()
	if r.job.Suspect {
		exclude = r.suspects.excludeOccupied(exclude)
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
		Avoid:      r.crashDomain,
	})
	switch {
	case errors.Is(err, upstream.ErrOverloaded):
		return attempt{}, withReason(outcome.Overload, err)
	case err != nil:
		return attempt{}, withReason(outcome.NoUpstream, err)
	}
	placed := attempt{
		id:      r.cfg.NewAttempt(),
		lease:   lease,
		stage:   stage,
		start:   now,
		suspect: r.job.Suspect,
	}
	if placed.suspect {
		r.suspects.add(lease.Upstream)
	}
	r.event("attempt", placed.id, timeline.NewField("stage", string(stage.Name)), timeline.NewField("upstream", string(lease.Upstream)), timeline.NewField("domain", string(lease.Domain)))
	return placed, nil
}

// finish reports the end of an attempt to the selector, the meter and the
// timeline, and records the duration of a useful attempt in the estimates. For a
// token stream the reported latency is the time to the first token, because the
// total time depends on the length of the response.
func (r *run) finish(a attempt, load *upstream.Load, err error, wasted bool) {
	took := r.cfg.Now().Sub(a.start)
	latency := took
	if a.firstToken > 0 {
		latency = a.firstToken
	}
	if a.suspect {
		r.suspects.remove(a.lease.Upstream)
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

// result converts an error of the Transport to the result reported to the selector.
func result(err error) upstream.Result {
	var status StatusError
	switch {
	case err == nil:
		return upstream.Completed{}
	case errors.Is(err, context.Canceled):
		// Checked before ErrNotSent: a hedged request cancelled while it connects
		// is no failure of its upstream. DeadlineExceeded is checked after
		// ErrNotSent, because dialling has a deadline of its own.
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

// connectionBroken reports whether the upstream broke the connection. An attempt
// that this host cancelled, for example at the stage's timeout, also ends with
// ErrLost, but is no sign of a crash.
func connectionBroken(err error) bool {
	return errors.Is(err, ErrLost) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// recordCrash asks the guard whether the attempt ended because its upstream
// crashed; the guard records the crash before anything else happens to the
// request. After a crash the request is a suspect.
func (r *run) recordCrash(ctx context.Context, a attempt, err error) {
	if !connectionBroken(err) || !r.job.Guard.ConnectionLost(ctx, a.lease) {
		return
	}
	r.crashed = true
	r.job.Suspect = true
	// Upstreams of one failure domain can fail together. A retry in the same
	// domain could meet a second crash that the request did not cause, which
	// would put it into quarantine.
	r.crashDomain = a.lease.Domain
}

// checkRetry returns nil if the stage may be retried after err, else the error
// that ends the stage. After a crash the guard must allow the retry, too. It
// sets r.mayHaveRun if the attempt may have run.
func (r *run) checkRetry(ctx context.Context, a attempt, err error) error {
	if !notRun(err) {
		r.mayHaveRun = true
	}
	if denied := r.checkRetryPolicy(ctx, a, err); denied != nil {
		return denied
	}
	if r.crashed && !r.job.Guard.AllowRetry(ctx) {
		return withReason(outcome.Quarantined, err)
	}
	r.crashed = false
	return nil
}

// checkRetryPolicy returns nil if the deadline, the kind of err and the retry
// budget permit a retry, else the error that ends the stage.
func (r *run) checkRetryPolicy(ctx context.Context, a attempt, err error) error {
	var status StatusError
	switch {
	case ctx.Err() != nil:
		return withReason(outcome.Deadline, ctx.Err())
	case r.missesDeadline(r.laterStages), r.missesDeadline(append([]document.Stage{a.stage}, r.laterStages...)):
		return withReason(outcome.Deadline, err)
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrLeaving):
		return nil
	case errors.Is(err, ErrOverloaded):
		return r.takeRetry(a.stage, withReason(outcome.Overload, err))
	case errors.As(err, &status) && status.Status < 500:
		return withReason(outcome.UpstreamError, err)
	default:
		return r.takeRetry(a.stage, withReason(outcome.UpstreamError, err))
	}
}

// waitForCapacity waits for overloadRetryInterval if err states that the upstreams
// of the stage are overloaded. It returns nil if the stage is to be retried, else
// err. A job that may have run waits, because the results of its earlier stages
// would be lost. Any other job does not wait, so that its caller learns at once
// that it did not run.
func (r *run) waitForCapacity(ctx context.Context, stage document.Stage, err error) error {
	var stageErr stageError
	if !r.mayHaveRun || !errors.As(err, &stageErr) || stageErr.reason != outcome.Overload {
		return err
	}
	if r.job.OnOverload != nil {
		r.job.OnOverload()
		r.job.OnOverload = nil
	}
	timer := time.NewTimer(overloadRetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return err
	case <-timer.C:
	}
	if r.missesDeadline(append([]document.Stage{stage}, r.laterStages...)) {
		return err
	}
	r.event("outwaited", "", timeline.NewField("stage", string(stage.Name)))
	return nil
}

// takeRetry takes one retry from the budget and returns nil, or returns denied if
// the budget is used up.
func (r *run) takeRetry(stage document.Stage, denied error) error {
	if r.job.Budget.Take(stage.Name) {
		return nil
	}
	r.event("retry denied", "")
	return denied
}
