package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// maxFailures is the number of failed calls after which a stage fails its job.
	maxFailures = 4
	// expiryMargin is subtracted from the time that upstreams keep results, so that the
	// results can still be read after they are handed out.
	expiryMargin = 300 * time.Millisecond
)

// Reasons why an item failed.
const (
	errLost     = errors.ConstError("call was lost")
	errRejected = errors.ConstError("item was rejected")
	errNoInput  = errors.ConstError("an input is gone")
)

// Scheduler plans the stages of jobs. After each call of a method that takes a time,
// the owner calls Plan and executes the actions that it returns. A Scheduler is not
// safe for concurrent use.
type Scheduler struct {
	policy      Policy
	pools       map[ident.ServiceName]*pool
	order       []*pool // sorted by name, so that the same events lead to the same plans
	workers     map[ident.UpstreamID]*worker
	jobs        map[JobID]*job
	unread      map[JobID]*job // finished jobs whose results are held
	calls       map[CallID]*call
	lastCall    CallID
	slack       slackState
	urgentSlack time.Duration // moving average of the slack of the most urgent jobs
	paced       bool          // an upstream has reported its pace
	shares      shares
	done        []Done
	releases    map[fleet.Upstream][]wire.Handle
}

// New returns a scheduler without upstreams.
func New(policy Policy) *Scheduler {
	return &Scheduler{
		policy:   policy,
		pools:    make(map[ident.ServiceName]*pool),
		workers:  make(map[ident.UpstreamID]*worker),
		jobs:     make(map[JobID]*job),
		unread:   make(map[JobID]*job),
		calls:    make(map[CallID]*call),
		shares:   make(shares),
		releases: make(map[fleet.Upstream][]wire.Handle),
		slack: slackState{
			acceptance: newAcceptance(),
		},
	}
}

// Configure sets the services that run stages, their limits, and their upstreams.
// Calls in progress at upstreams that are no longer listed continue.
func (s *Scheduler) Configure(services map[ident.ServiceName]*routes.Service, upstreams func(ident.ServiceName) []fleet.Upstream) {
	s.slack.forecastAt = time.Time{}
	for _, w := range s.workers {
		w.gone = true
	}
	for name, service := range services {
		if service.Batch == nil {
			continue
		}
		p := s.pools[name]
		if p == nil {
			p = s.newPool(name)
		}
		p.limits = *service.Batch
		p.workers = p.workers[:0]
		for _, upstream := range upstreams(name) {
			p.workers = append(p.workers, s.workerFor(p, upstream))
		}
	}
	for id, w := range s.workers {
		if w.gone && len(w.calls) == 0 {
			delete(s.workers, id)
		}
	}
}

// newPool adds a pool for a service.
func (s *Scheduler) newPool(name ident.ServiceName) *pool {
	p := &pool{
		service: name,
		items:   make(map[Kind]time.Duration),
	}
	s.pools[name] = p
	s.order = append(s.order, p)
	slices.SortFunc(s.order, func(a, b *pool) int { return cmp.Compare(a.service, b.service) })
	return p
}

// workerFor returns the worker of an upstream. A new incarnation of an upstream gets
// a new worker, since it holds no results.
func (s *Scheduler) workerFor(p *pool, upstream fleet.Upstream) *worker {
	w, ok := s.workers[upstream.ID]
	if !ok || w.upstream.Started != upstream.Started || w.upstream.Address != upstream.Address || w.pool != p {
		w = &worker{
			pool:    p,
			reports: loadreport.New(),
		}
		w.refresh(time.Time{})
		s.workers[upstream.ID] = w
	}
	w.upstream = upstream
	w.gone = false
	return w
}

// Submit accepts a job. It returns ErrOverload if the job cannot be finished in time,
// and ErrNoUpstream if a stage has no upstream; the job is then not accepted.
func (s *Scheduler) Submit(now time.Time, submitted Job) error {
	j := &job{
		Job: submitted,
	}
	for i, stage := range submitted.Stages {
		p := s.pools[stage.Service]
		if stage.Pieces > 0 && (p == nil || len(p.workers) == 0) {
			return errors.Annotatef(ErrNoUpstream, "stage %d, service %q", i, stage.Service)
		}
		j.tasks = append(j.tasks, &task{
			job:   j,
			index: i,
			stage: stage,
			pool:  p,
		})
	}
	s.refresh(now)
	j.shareSlack(now)
	err := s.admit(now, j)
	s.account(now, j, err)
	if err != nil {
		return err
	}
	s.start(now, j)
	if s.slack.enabled {
		s.addToForecasts(now, j)
	}
	return nil
}

// start enqueues the stages of a job that need no results of other stages.
func (s *Scheduler) start(now time.Time, j *job) {
	s.jobs[j.ID] = j
	for _, t := range j.tasks {
		t.results = make([]*result, t.stage.Pieces)
		for piece := range t.stage.Pieces {
			t.waiting = append(t.waiting, piece)
		}
		for _, dep := range t.stage.After {
			if j.Stages[dep].Pieces > 0 {
				t.pendingDeps++
			}
		}
		if t.stage.Pieces > 0 {
			j.unfinished++
			if t.pendingDeps == 0 {
				t.enqueue()
			}
		}
	}
	if j.unfinished == 0 {
		s.finish(now, j)
	}
}

// Cancel ends a job whose results are no longer wanted, and releases them.
func (s *Scheduler) Cancel(id JobID) {
	if j, ok := s.jobs[id]; ok {
		s.remove(j)
	}
}

// Consumed ends a finished job whose results have been read, and releases them.
func (s *Scheduler) Consumed(id JobID) {
	s.Cancel(id)
}

// FinishCall records the outcome of a call. Unknown calls are ignored.
func (s *Scheduler) FinishCall(now time.Time, id CallID, outcome Outcome) {
	c, ok := s.calls[id]
	if !ok {
		return
	}
	delete(s.calls, id)
	c.worker.endCall(now, c, outcome)
	completed, responded := outcome.(Completed)
	if responded && len(completed.Results) != len(c.parts) {
		responded = false // the response does not match the call
	}
	_, refused := outcome.(Refused)
	failed := make(map[*task]error)
	if responded {
		c.worker.updateForeign(now, c, completed)
	}
	for i, part := range c.parts {
		t := part.task
		t.running--
		switch {
		case responded:
			s.recordResult(now, c.worker, part, completed.Results[i], failed)
			continue
		case !refused:
			failed[t] = errLost
		}
		t.waiting = append(t.waiting, part.piece)
	}
	for _, part := range c.parts {
		s.advance(now, part.task, failed[part.task])
		delete(failed, part.task)
	}
}

// recordResult stores the result of one item, or puts its piece back to the waiting
// ones and sets the reason in failed.
func (s *Scheduler) recordResult(now time.Time, w *worker, p part, got wire.ItemResult, failed map[*task]error) {
	t := p.task
	if got.Status != wire.ItemDone {
		t.waiting = append(t.waiting, p.piece)
		switch got.Status {
		case wire.ItemNoCapacity: // not a failure: the piece runs once there is free capacity
		case wire.ItemNoInput:
			failed[t] = errNoInput
		default:
			if failed[t] == nil {
				failed[t] = errRejected
			}
		}
		return
	}
	r := &result{
		handle: got.Handle,
		worker: w,
		bytes:  t.stage.Bytes,
	}
	if retain := w.pool.limits.Retention; retain > 0 {
		r.expires = now.Add(retain - expiryMargin)
	}
	w.heldBytes += r.bytes
	if t.job.ended {
		s.release(r)
		return
	}
	t.results[p.piece] = r
}

// advance continues a job after a call with a part of a task has ended: it restarts
// or fails the job, enqueues the task again, or enqueues the stages that can start
// now. A nil failed means that no part of the task failed.
func (s *Scheduler) advance(now time.Time, t *task, failed error) {
	j := t.job
	switch {
	case j.ended:
		return
	case j.stale:
		s.restart(now, j)
		return
	case t.finished:
		return
	}
	if failed != nil {
		t.failures++
		if t.failures >= maxFailures {
			s.fail(j, errors.Annotatef(ErrFailed, "stage %d: %v", t.index, failed))
			return
		}
		if errors.Is(failed, errNoInput) || t.missesInputs() {
			s.restart(now, j)
			return
		}
	}
	switch {
	case len(t.waiting) > 0 && t.missesInputs():
		s.restart(now, j)
		return
	case len(t.waiting) > 0:
		t.enqueue()
		return
	case t.running > 0:
		return
	}
	t.finished = true
	j.unfinished--
	s.releaseInputs(t)
	for _, next := range j.tasks {
		for _, dep := range next.stage.After {
			if dep == t.index {
				next.pendingDeps--
			}
		}
		if next.pendingDeps == 0 && len(next.waiting) > 0 && next.running == 0 {
			next.enqueue()
		}
	}
	if j.unfinished == 0 {
		s.finish(now, j)
	}
}

// releaseInputs releases the inputs of a finished task that no unfinished stage
// needs.
func (s *Scheduler) releaseInputs(t *task) {
	for _, dep := range t.stage.After {
		if t.job.consumersDone(dep, func(other *task) bool { return other.finished }) {
			s.releaseAll(t.job.tasks[dep])
		}
	}
}

// missesInputs reports whether inputs of the task have been released.
func (t *task) missesInputs() bool {
	for _, dep := range t.stage.After {
		for _, r := range t.job.tasks[dep].results {
			if r == nil {
				return true
			}
		}
	}
	return false
}

// restart runs all stages of a job again because results of it were lost. If calls
// with its pieces are in progress, it only marks the job; advance restarts it when
// they have ended.
func (s *Scheduler) restart(now time.Time, old *job) {
	if old.running() {
		old.stale = true
		return
	}
	s.remove(old)
	fresh := &job{
		Job:      old.Job,
		expected: old.expected,
	}
	for _, t := range old.tasks {
		fresh.tasks = append(fresh.tasks, &task{
			job:      fresh,
			index:    t.index,
			stage:    t.stage,
			pool:     t.pool,
			failures: t.failures,
		})
	}
	fresh.shareSlack(now)
	s.start(now, fresh)
}

// restartExpired restarts jobs with queued tasks whose inputs have expired.
func (s *Scheduler) restartExpired(now time.Time) {
	var expired []*job
	for _, p := range s.order {
		for _, t := range p.queue {
			if t.queued && !t.job.ended && t.inputsExpired(now) && !slices.Contains(expired, t.job) {
				expired = append(expired, t.job)
			}
		}
	}
	slices.SortFunc(expired, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range expired {
		s.restart(now, j)
	}
}

// inputsExpired reports whether inputs of the task have expired at their upstreams.
func (t *task) inputsExpired(now time.Time) bool {
	for _, dep := range t.stage.After {
		for _, r := range t.job.tasks[dep].results {
			if r != nil && r.expired(now) {
				return true
			}
		}
	}
	return false
}

// finish reports a job whose stages are finished and keeps its results. If some of
// them have expired meanwhile, it restarts the job instead.
func (s *Scheduler) finish(now time.Time, j *job) {
	done := Done{
		Job: j.ID,
	}
	bytes := make(map[ident.FailureDomain]int64)
	for _, t := range j.tasks {
		if j.hasDependents(t.index) {
			continue
		}
		for _, r := range t.results {
			if r == nil {
				continue
			}
			if r.expired(now) {
				s.restart(now, j)
				return
			}
			done.Inputs = append(done.Inputs, r.handle)
			domain := r.worker.upstream.Domain
			bytes[domain] += r.bytes
			if bytes[domain] > done.Bytes {
				done.Domain, done.Bytes = domain, bytes[domain]
			}
		}
	}
	j.finished = now
	s.observeEnd(j, !now.After(j.Objective), now.Sub(j.expected))
	s.unread[j.ID] = j
	s.done = append(s.done, done)
}

// fail ends a job with an error.
func (s *Scheduler) fail(j *job, err error) {
	s.remove(j)
	s.observeEnd(j, false, 0)
	s.done = append(s.done, Done{
		Job: j.ID,
		Err: err,
	})
}

// remove ends a job and releases its results.
func (s *Scheduler) remove(j *job) {
	j.ended = true
	delete(s.jobs, j.ID)
	delete(s.unread, j.ID)
	for _, t := range j.tasks {
		s.releaseAll(t)
	}
}

func (s *Scheduler) releaseAll(t *task) {
	for i, r := range t.results {
		if r != nil {
			s.release(r)
			t.results[i] = nil
		}
	}
}

func (s *Scheduler) release(r *result) {
	r.worker.heldBytes -= r.bytes
	upstream := r.worker.upstream
	s.releases[upstream] = append(s.releases[upstream], r.handle)
}

func (t *task) enqueue() {
	if !t.queued {
		t.queued = true
		t.pool.queue = append(t.pool.queue, t)
	}
}
