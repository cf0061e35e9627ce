package batch

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Errors by which a job ends, possibly annotated. No result is kept after them.
const (
	// ErrOverload means that the stages cannot be finished in time.
	ErrOverload = errors.ConstError("stages cannot be finished in time")
	// ErrFailed means that the stages failed too often.
	ErrFailed = errors.ConstError("stages failed")
	// ErrNoUpstream means that a stage has no upstream.
	ErrNoUpstream = errors.ConstError("stage has no upstream")
)

// Overload is an ErrOverload with the delay that the stages would have.
type Overload struct {
	Delay time.Duration
	Limit time.Duration
}

// Error implements error.
func (o *Overload) Error() string {
	return fmt.Sprintf("stages would be delayed by %s, the limit is %s", o.Delay.Round(time.Millisecond), o.Limit.Round(time.Millisecond))
}

// Unwrap returns ErrOverload.
func (o *Overload) Unwrap() error {
	return ErrOverload
}

// Return is when a caller may come back: by then the work that is ahead now is
// done, and half as much again leaves time for what arrives meanwhile.
func (o *Overload) Return() time.Duration {
	return max(leastReturn, (o.Delay-o.Limit)*3/2)
}

// leastReturn keeps callers from coming back before the load can have changed.
const leastReturn = time.Second

// FirstEventTime is the time that a model usually takes from the end of the stages
// to its first event.
const FirstEventTime = 300 * time.Millisecond

// JobID names a job of a Scheduler.
type JobID uint64

// CallID names a call of a Scheduler.
type CallID uint64

// Rank is the urgency of a request; lower ranks are more urgent, and 0 is that
// of the most urgent routes.
type Rank int

// Kind names stages whose pieces take the same time, for example by route and index.
type Kind string

// Stage is the work of one stage of a request.
type Stage struct {
	Service ident.ServiceName
	Kind    Kind
	After   []int // indices of the stages whose results it needs
	Pieces  int   // 0 omits the stage
	Bytes   int64 // approximate size of a result
}

// Job is the work of all stages of a request.
type Job struct {
	ID        JobID
	Request   ident.RequestID
	Domain    ident.FailureDomain // where the results are needed
	Rank      Rank
	Stages    []Stage
	Key       string    // names the content of the pieces of the first stages
	Objective time.Time // when the stages must be done for an answer that is on time
	Deadline  time.Time // when they must be done for any answer
}

// Work reports whether any stage has pieces.
func (j Job) Work() bool {
	return slices.ContainsFunc(j.Stages, func(s Stage) bool { return s.Pieces > 0 })
}

// Call is a batch to send to an upstream.
type Call struct {
	ID       CallID
	Upstream fleet.Upstream
	Items    []wire.Item
	Expected time.Duration // time that the upstream takes
}

// Outcome is the sealed set of ends of a call.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Completed is an answered call, with one result for each item in order.
type Completed struct {
	Results []wire.ItemResult
}

// whole reports whether every item is done.
func (c Completed) whole() bool {
	for _, result := range c.Results {
		if result.Status != wire.ItemDone {
			return false
		}
	}
	return true
}

// Refused is a call that did not run.
type Refused struct{}

// Lost is a call without a usable answer.
type Lost struct{}

func (Completed) outcome() {}
func (Refused) outcome()   {}
func (Lost) outcome()      {}

// Done is the end of a job.
type Done struct {
	Job    JobID
	Err    error
	Inputs []wire.Handle       // results of the last stages
	Domain ident.FailureDomain // that holds most of their bytes; empty if there are none
	Bytes  int64               // that it holds
}

// Release lists results that are no longer needed, by the upstream that holds them.
type Release struct {
	Address ident.Address
	Handles []wire.Handle
}

// result is what an upstream holds of a job.
type result struct {
	handle wire.Handle
	worker *worker
	bytes  int64
	lapses time.Time // when the upstream drops it; zero if it does not
}

func (r *result) lapsed(now time.Time) bool {
	return !r.lapses.IsZero() && now.After(r.lapses)
}

// task is one stage of a job.
type task struct {
	job      *job
	index    int
	stage    Stage
	pool     *pool
	needs    int       // stages before that are not finished
	waiting  []int     // pieces that are in no call
	running  int       // pieces that are in a call
	started  time.Time // of the latest call with one of its pieces
	results  []*result
	tries    int
	queued   bool
	finished bool
}

// job is a Job with the state of its stages.
type job struct {
	Job
	tasks    []*task
	left     int       // stages with pieces that are not finished
	finished time.Time // when its stages were; zero before
	stale    bool      // results that it needs are lost
	ended    bool
}

// running reports whether pieces of the job are in a call.
func (j *job) running() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.running > 0 })
}

// followed reports whether another stage needs the results of a stage.
func (j *job) followed(index int) bool {
	for _, t := range j.tasks {
		if t.stage.Pieces > 0 && slices.Contains(t.stage.After, index) {
			return true
		}
	}
	return false
}

// inputs returns the results that a stage needs, in order of stage and piece.
func (t *task) inputs() []*result {
	var inputs []*result
	for _, before := range t.stage.After {
		for _, r := range t.job.tasks[before].results {
			if r != nil {
				inputs = append(inputs, r)
			}
		}
	}
	return inputs
}
