package batch

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
	"github.com/nutmegshift/nutmegshift/internal/relay/share"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Errors with which a job ends, possibly annotated. The job has no results then.
const (
	// ErrOverload means that the stages cannot be finished in time.
	ErrOverload = errors.ConstError("stages cannot be finished in time")
	// ErrFailed means that calls of a stage failed too often.
	ErrFailed = errors.ConstError("stages failed")
	// ErrNoUpstream means that no upstream is available for a stage.
	ErrNoUpstream = errors.ConstError("stage has no upstream")
)

// Overload is an ErrOverload with the delay that the stages would have.
type Overload struct {
	Delay time.Duration // expected delay beyond the time that the stages take without load
	Limit time.Duration // highest delay that was allowed
	Usage share.Ratio   // usage of the organisation relative to its share, if refused because of it; 0 otherwise
}

// Error implements error.
func (o *Overload) Error() string {
	reason := fmt.Sprintf("stages would be delayed by %s, the limit is %s", o.Delay.Round(time.Millisecond), o.Limit.Round(time.Millisecond))
	if o.Usage.Limited() {
		reason += fmt.Sprintf(", since the usage of the organisation is %.2f of its share", o.Usage)
	}
	return reason
}

// Unwrap returns ErrOverload.
func (o *Overload) Unwrap() error {
	return ErrOverload
}

// RetryAfter returns how long a caller should wait before a retry. By then the work
// that is ahead now is done; half as much time again is added for work that arrives
// meanwhile. An organisation that is limited to its share waits until its usage has decayed.
func (o *Overload) RetryAfter() time.Duration {
	if o.Usage.Limited() {
		return max(minRetryAfter, o.Usage.Wait())
	}
	return max(minRetryAfter, (o.Delay-o.Limit)*3/2)
}

// minRetryAfter keeps callers from retrying before the load can have changed.
const minRetryAfter = time.Second

// FirstEventTime is the time that a model usually takes from the end of the stages
// to its first event.
const FirstEventTime = 300 * time.Millisecond

// JobID identifies a job of a Scheduler.
type JobID uint64

// CallID identifies a call of a Scheduler.
type CallID uint64

// Rank is the priority class of a request: 0 is the class of the most urgent routes,
// and higher ranks are less urgent.
type Rank int

// ResumedRank is the class of requests that take up a stream, before those of all routes and
// organisations: their callers have received part of the response. Such a job is refused
// only if it cannot meet its deadline, or if its organisation uses more than its share.
const ResumedRank Rank = -1 << 19

// Kind groups stages whose pieces take the same time, for example by route and stage
// index.
type Kind string

// Stage is one stage of a request. Its pieces can run in different calls.
type Stage struct {
	Service ident.ServiceName
	Kind    Kind
	After   []int // indices of the stages whose results are inputs
	Pieces  int   // number of pieces; 0 omits the stage
	Bytes   int64 // approximate size of the result of a piece
}

// Job holds the stages of a request.
type Job struct {
	ID        JobID
	Request   ident.RequestID
	Domain    ident.FailureDomain // failure domain in which the results are read
	Rank      Rank
	Stages    []Stage
	Key       string    // identifies the content of the pieces of the stages without inputs
	Objective time.Time // when the stages must be finished for the response to be on time
	Deadline  time.Time // when the stages must be finished for any response

	Organisation ident.OrganisationID // on whose behalf the request runs; empty if unknown
	Weight       share.Weight         // of the organisation when services are short of capacity; 0 if shares do not apply
}

// HasWork reports whether any stage has pieces.
func (j Job) HasWork() bool {
	return slices.ContainsFunc(j.Stages, func(s Stage) bool { return s.Pieces > 0 })
}

// Call is a batch of items to send to an upstream.
type Call struct {
	ID       CallID
	Upstream fleet.Upstream
	Items    []wire.Item
	Expected time.Duration // expected duration
	Forecast loadreport.Forecast
}

// Outcome is the sealed set of outcomes of a call.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Completed means that the upstream responded, with one result for each item in order.
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

// Refused means that the upstream did not run the call.
type Refused struct {
	Pause time.Duration // how long the upstream wants no other call; 0 if not stated
}

// Lost means that the call ended without a usable response.
type Lost struct{}

func (Completed) outcome() {}
func (Refused) outcome()   {}
func (Lost) outcome()      {}

// Done reports the end of a job.
type Done struct {
	Job    JobID
	Err    error
	Inputs []wire.Handle       // results of the stages that no other stage needs, the inputs of the model
	Domain ident.FailureDomain // failure domain that holds most bytes of Inputs; empty without inputs
	Bytes  int64               // number of bytes of Inputs in Domain
}

// Release lists results that are no longer needed at one upstream.
type Release struct {
	Upstream fleet.Upstream
	Handles  []wire.Handle
}

// result is the result of a piece, which an upstream holds.
type result struct {
	handle  wire.Handle
	worker  *worker
	bytes   int64
	expires time.Time // when the upstream drops it; zero if it has no expiry
}

func (r *result) expired(now time.Time) bool {
	return !r.expires.IsZero() && now.After(r.expires)
}

// task is one stage of a job with its state.
type task struct {
	job         *job
	index       int
	stage       Stage
	pool        *pool
	pendingDeps int       // stages in After that are not finished
	waiting     []int     // pieces that are in no call
	running     int       // number of pieces that are in a call
	started     time.Time // start of the latest call with a piece of the task
	results     []*result // by piece; nil if not available
	failures    int       // calls that failed, restarts of the job included
	queued      bool      // in the queue of the pool
	finished    bool
	schedule
	order   order // position in the queue of the present plan
	planned int   // waiting pieces that the present plan has assigned
}

// job is a Job with the state of its stages.
type job struct {
	Job
	tasks      []*task
	unfinished int       // number of stages with pieces that are not finished
	finished   time.Time // when the last stage finished; zero before
	expected   time.Time // expected end of the stages; zero if not predicted
	stale      bool      // results were lost; restart when no piece is running
	ended      bool
}

// running reports whether pieces of the job are in a call.
func (j *job) running() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.running > 0 })
}

// hasDependents reports whether another stage needs the results of a stage.
func (j *job) hasDependents(index int) bool {
	for _, t := range j.tasks {
		if t.stage.Pieces > 0 && slices.Contains(t.stage.After, index) {
			return true
		}
	}
	return false
}

// inputs returns the results that a stage needs, sorted by stage and piece.
func (t *task) inputs() []*result {
	var inputs []*result
	for _, dep := range t.stage.After {
		for _, r := range t.job.tasks[dep].results {
			if r != nil {
				inputs = append(inputs, r)
			}
		}
	}
	return inputs
}
