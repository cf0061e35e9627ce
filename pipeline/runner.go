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

// part identifies this package in the events of the timeline.
const part = "pipeline"

// Config holds the dependencies of a Runner. All are required and must be safe for
// concurrent use.
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
	suspects *suspectUpstreams
}

// New returns a runner.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:      cfg,
		suspects: newSuspectUpstreams(),
	}
}

// run is the state of one job while it runs.
type run struct {
	*Runner
	job         Job
	sink        Sink
	mayHaveRun  bool                // an upstream may have executed a part of the job
	laterStages []document.Stage    // stages after the current one
	crashDomain ident.FailureDomain // where an upstream crashed while it ran the job; empty if none did
	// crashed states that an upstream crashed since the guard last allowed a retry.
	crashed bool
}

// Run runs the job until it completes, fails or reaches its deadline, and sends the
// tokens of a streamed response to sink, which may be nil if the job does not stream.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	state := &run{
		Runner: r,
		job:    job,
		sink:   sink,
	}
	if job.Service.Kind == document.Plain {
		return state.runPlain(ctx)
	}
	return state.runStages(ctx)
}

// runStages runs the stages of a pipeline. The output of a stage is the input of
// the next.
func (r *run) runStages(ctx context.Context) outcome.Outcome {
	stages := r.job.Service.Stages
	text := r.job.Prompt
	for i, stage := range stages {
		if r.missesDeadline(stages[i:]) {
			return r.fail(outcome.Deadline, "the remaining stages take longer than the time left")
		}
		r.laterStages = stages[i+1:]
		var err error
		if stage.Kind == document.Generate {
			text, err = r.generate(ctx, stage, text)
		} else {
			text, err = r.transform(ctx, stage, text)
		}
		if err != nil {
			return r.failStage(ctx, stage, err)
		}
	}
	if r.job.Stream {
		return outcome.Answered{
			Status: http.StatusOK,
			Stream: true,
		}
	}
	return completionOutcome(r.job.Request, text)
}

// missesDeadline reports whether the remaining stages are not expected to finish
// before the deadline.
func (r *run) missesDeadline(remaining []document.Stage) bool {
	left := r.job.Deadline.Sub(r.cfg.Now())
	return left <= 0 || r.job.Estimates.Remaining(stageNames(remaining)) > left
}

// withStageTimeout returns a context that ends at the stage's timeout, or earlier
// if the later stages could not finish before the deadline otherwise.
func (r *run) withStageTimeout(ctx context.Context, stage document.Stage) (context.Context, context.CancelFunc) {
	latest := r.job.Deadline.Add(-r.job.Estimates.Remaining(stageNames(r.laterStages)))
	if stage.Timeout > 0 {
		if timeout := r.cfg.Now().Add(stage.Timeout); timeout.Before(latest) {
			latest = timeout
		}
	}
	return context.WithDeadline(ctx, latest)
}

func stageNames(stages []document.Stage) []ident.StageName {
	names := make([]ident.StageName, 0, len(stages))
	for _, stage := range stages {
		names = append(names, stage.Name)
	}
	return names
}

// failStage returns the outcome of a job that failed at the stage with err.
func (r *run) failStage(ctx context.Context, stage document.Stage, err error) outcome.Outcome {
	message := fmt.Sprintf("stage %s: %v", stage.Name, err)
	if ctx.Err() != nil {
		return r.fail(outcome.Deadline, message)
	}
	var stageErr stageError
	if errors.As(err, &stageErr) {
		return r.fail(stageErr.reason, message)
	}
	return r.fail(outcome.UpstreamError, message)
}

// fail returns outcome.Refused if no upstream ran any part of the job, else
// outcome.Failed.
func (r *run) fail(reason outcome.Reason, message string) outcome.Outcome {
	r.event("end", "", timeline.NewField("reason", string(reason)))
	if !r.mayHaveRun {
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
