package pipeline

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/outcome"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// part is the prefix of this package's events.
const part = "pipeline"

// Config holds what a Runner needs.
type Config struct {
	Transport  Transport
	Selector   Selector
	Meter      Meter
	Recorder   timeline.Recorder
	Now        func() time.Time
	NewAttempt func() ident.AttemptID
}

// Runner runs jobs.
type Runner struct {
	cfg      Config
	suspects *placements
}

// New returns a runner.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:      cfg,
		suspects: newPlacements(),
	}
}

// run is the progress of one job.
type run struct {
	*Runner
	job  Job
	sink Sink
	ran  bool                // some upstream may have executed a part of the job
	rest []document.Stage    // after the present one
	lost ident.FailureDomain // in which an upstream crashed with the job; empty if none
	// crashed states that an upstream crashed since the guard last allowed a try.
	crashed bool
}

// Run runs the job to its end; tokens of a streamed answer go to sink.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	state := &run{
		Runner: r,
		job:    job,
		sink:   sink,
	}
	if job.Service.Kind == document.Plain {
		return state.plain(ctx)
	}
	return state.stages(ctx)
}

// stages runs the pipeline; the output of a stage is the input of the next.
func (r *run) stages(ctx context.Context) outcome.Outcome {
	stages := r.job.Service.Stages
	text := r.job.Prompt
	for i, stage := range stages {
		if r.late(stages[i:]) {
			return r.end(outcome.Deadline, "the remaining stages take longer than the time left")
		}
		r.rest = stages[i+1:]
		var err error
		if stage.Kind == document.Generate {
			text, err = r.generate(ctx, stage, text)
		} else {
			text, err = r.transform(ctx, stage, text)
		}
		if err != nil {
			return r.failed(ctx, stage, err)
		}
	}
	if r.job.Stream {
		return outcome.Answered{
			Status: http.StatusOK,
			Stream: true,
		}
	}
	return completed(r.job.Request, text)
}

// late reports whether the remaining stages cannot finish before the deadline.
func (r *run) late(remaining []document.Stage) bool {
	left := r.job.Deadline.Sub(r.cfg.Now())
	return left <= 0 || r.job.Estimates.Remaining(names(remaining)) > left
}

// limit bounds one attempt by the stage's timeout, and by the time from which
// the stages after it cannot finish before the deadline.
func (r *run) limit(ctx context.Context, stage document.Stage) (context.Context, context.CancelFunc) {
	latest := r.job.Deadline.Add(-r.job.Estimates.Remaining(names(r.rest)))
	if stage.Timeout > 0 {
		if timeout := r.cfg.Now().Add(stage.Timeout); timeout.Before(latest) {
			latest = timeout
		}
	}
	return context.WithDeadline(ctx, latest)
}

func names(stages []document.Stage) []ident.StageName {
	found := make([]ident.StageName, 0, len(stages))
	for _, stage := range stages {
		found = append(found, stage.Name)
	}
	return found
}

// failed turns the error of a stage into an outcome.
func (r *run) failed(ctx context.Context, stage document.Stage, err error) outcome.Outcome {
	message := fmt.Sprintf("stage %s: %v", stage.Name, err)
	if ctx.Err() != nil {
		return r.end(outcome.Deadline, message)
	}
	var halted haltedError
	if errors.As(err, &halted) {
		return r.end(halted.reason, message)
	}
	return r.end(outcome.UpstreamError, message)
}

// end returns Refused if no upstream ran any part of the job, else Failed.
func (r *run) end(reason outcome.Reason, message string) outcome.Outcome {
	r.event("end", "", timeline.NewField("reason", string(reason)))
	if !r.ran {
		return outcome.Refused{
			Reason:  reason,
			Message: message,
		}
	}
	status := http.StatusBadGateway
	if reason == outcome.Deadline {
		status = http.StatusGatewayTimeout
	}
	return outcome.Failed{
		Status:  status,
		Reason:  reason,
		Message: message,
	}
}

func (r *run) event(name string, attempt ident.AttemptID, fields ...timeline.Field) {
	r.cfg.Recorder.Record(timeline.Event{
		Request: r.job.Request,
		Attempt: attempt,
		Part:    part,
		Name:    name,
		Fields:  fields,
	})
}
