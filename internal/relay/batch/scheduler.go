package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// maxTries is how often the calls of a stage may fail.
	maxTries = 4
	// lapseMargin is left of the time that upstreams keep results, for those who
	// read them.
	lapseMargin = 300 * time.Millisecond
)

// The failures of an item.
const (
	errLost    = errors.ConstError("call was lost")
	errItem    = errors.ConstError("item was rejected")
	errNoInput = errors.ConstError("an input is gone")
)

// Scheduler plans the stages of jobs. After any method that takes a time, Next
// returns what has to be done.
type Scheduler struct {
	policy   Policy
	pools    map[ident.ServiceName]*pool
	order    []*pool // by name, so that the same events lead to the same plans
	workers  map[ident.UpstreamID]*worker
	jobs     map[JobID]*job
	calls    map[CallID]*call
	last     CallID
	slack    time.Duration // moving average, of the most urgent jobs
	done     []Done
	releases map[ident.Address][]wire.Handle
}

// New returns a scheduler without upstreams.
func New(policy Policy) *Scheduler {
	return &Scheduler{
		policy:   policy,
		pools:    make(map[ident.ServiceName]*pool),
		workers:  make(map[ident.UpstreamID]*worker),
		jobs:     make(map[JobID]*job),
		calls:    make(map[CallID]*call),
		releases: make(map[ident.Address][]wire.Handle),
	}
}

// Configure takes the limits of the services that run stages and their
// upstreams. Calls in progress at upstreams that are missing go on.
func (s *Scheduler) Configure(services map[ident.ServiceName]*routes.Service, upstreams func(ident.ServiceName) []fleet.Upstream) {
	for _, w := range s.workers {
		w.gone = true
	}
	for name, service := range services {
		if service.Batch == nil {
			continue
		}
		p := s.pools[name]
		if p == nil {
			p = s.pool(name)
		}
		p.limits = *service.Batch
		p.workers = p.workers[:0]
		for _, upstream := range upstreams(name) {
			p.workers = append(p.workers, s.worker(p, upstream))
		}
	}
	for id, w := range s.workers {
		if w.gone && len(w.calls) == 0 {
			delete(s.workers, id)
		}
	}
}

// pool returns a new pool of a service.
func (s *Scheduler) pool(name ident.ServiceName) *pool {
	p := &pool{
		service: name,
		items:   make(map[Kind]time.Duration),
	}
	s.pools[name] = p
	s.order = append(s.order, p)
	slices.SortFunc(s.order, func(a, b *pool) int { return cmp.Compare(a.service, b.service) })
	return p
}

// worker returns the worker of an upstream; a new incarnation holds nothing.
func (s *Scheduler) worker(p *pool, upstream fleet.Upstream) *worker {
	w, ok := s.workers[upstream.ID]
	if !ok || w.upstream.Started != upstream.Started || w.upstream.Address != upstream.Address || w.pool != p {
		w = &worker{
			pool: p,
			pace: 1,
		}
		s.workers[upstream.ID] = w
	}
	w.upstream = upstream
	w.gone = false
	return w
}

// Submit takes a job. It returns ErrOverload or ErrNoUpstream if the job cannot
// be finished in time; then nothing is kept of it.
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
	if err := s.admit(now, j); err != nil {
		return err
	}
	s.start(now, j)
	return nil
}

// start puts the first stages of a job into their queues.
func (s *Scheduler) start(now time.Time, j *job) {
	s.jobs[j.ID] = j
	for _, t := range j.tasks {
		t.results = make([]*result, t.stage.Pieces)
		for piece := range t.stage.Pieces {
			t.waiting = append(t.waiting, piece)
		}
		for _, before := range t.stage.After {
			if j.Stages[before].Pieces > 0 {
				t.needs++
			}
		}
		if t.stage.Pieces > 0 {
			j.left++
			if t.needs == 0 {
				t.enqueue()
			}
		}
	}
	if j.left == 0 {
		s.finish(now, j)
	}
}

// Cancel ends a job of which nobody wants the results.
func (s *Scheduler) Cancel(id JobID) {
	if j, ok := s.jobs[id]; ok {
		s.end(j)
	}
}

// Consumed releases the results of a job that is done.
func (s *Scheduler) Consumed(id JobID) {
	s.Cancel(id)
}

// Finish takes the end of a call.
func (s *Scheduler) Finish(now time.Time, id CallID, outcome Outcome) {
	c, ok := s.calls[id]
	if !ok {
		return
	}
	delete(s.calls, id)
	c.worker.ended(now, c, outcome)
	completed, answered := outcome.(Completed)
	if answered && len(completed.Results) != len(c.parts) {
		answered = false // an answer to something else
	}
	failed := make(map[*task]error)
	if answered {
		c.worker.measure(now, c, completed)
	}
	for i, part := range c.parts {
		t := part.task
		t.running--
		switch {
		case answered:
			s.take(now, c.worker, part, completed.Results[i], failed)
			continue
		case outcome != Outcome(Refused{}):
			failed[t] = errLost
		}
		t.waiting = append(t.waiting, part.piece)
	}
	for _, part := range c.parts {
		s.progress(now, part.task, failed[part.task])
		delete(failed, part.task)
	}
}

// take handles the result of one item.
func (s *Scheduler) take(now time.Time, w *worker, p part, got wire.ItemResult, failed map[*task]error) {
	t := p.task
	if got.Status != wire.ItemDone {
		t.waiting = append(t.waiting, p.piece)
		switch got.Status {
		case wire.ItemNoRoom: // it can be made as soon as there is room
		case wire.ItemNoInput:
			failed[t] = errNoInput
		default:
			if failed[t] == nil {
				failed[t] = errItem
			}
		}
		return
	}
	r := &result{
		handle: got.Handle,
		worker: w,
		bytes:  t.stage.Bytes,
	}
	if retain := w.pool.limits.Retain; retain > 0 {
		r.lapses = now.Add(retain - lapseMargin)
	}
	w.held += r.bytes
	if t.job.ended {
		s.release(r)
		return
	}
	t.results[p.piece] = r
}

// progress moves a job on after a call with a part of a task has ended.
func (s *Scheduler) progress(now time.Time, t *task, failed error) {
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
		t.tries++
		if t.tries >= maxTries {
			s.fail(j, errors.Annotatef(ErrFailed, "stage %d: %v", t.index, failed))
			return
		}
		if errors.Is(failed, errNoInput) || t.lacks() {
			s.restart(now, j)
			return
		}
	}
	switch {
	case len(t.waiting) > 0 && t.lacks():
		s.restart(now, j)
		return
	case len(t.waiting) > 0:
		t.enqueue()
		return
	case t.running > 0:
		return
	}
	t.finished = true
	j.left--
	s.drop(t)
	for _, next := range j.tasks {
		for _, before := range next.stage.After {
			if before == t.index {
				next.needs--
			}
		}
		if next.needs == 0 && len(next.waiting) > 0 && next.running == 0 {
			next.enqueue()
		}
	}
	if j.left == 0 {
		s.finish(now, j)
	}
}

// drop releases the results that a finished stage was the last to need.
func (s *Scheduler) drop(t *task) {
	for _, before := range t.stage.After {
		if t.job.used(before, func(other *task) bool { return other.finished }) {
			s.releaseAll(t.job.tasks[before])
		}
	}
}

// lacks reports whether inputs of the task have been released.
func (t *task) lacks() bool {
	for _, before := range t.stage.After {
		for _, r := range t.job.tasks[before].results {
			if r == nil {
				return true
			}
		}
	}
	return false
}

// restart runs all stages of a job again, since results of it are lost, as soon
// as its calls in progress have ended.
func (s *Scheduler) restart(now time.Time, old *job) {
	if old.running() {
		old.stale = true
		return
	}
	s.end(old)
	again := &job{
		Job: old.Job,
	}
	for _, t := range old.tasks {
		again.tasks = append(again.tasks, &task{
			job:   again,
			index: t.index,
			stage: t.stage,
			pool:  t.pool,
			tries: t.tries,
		})
	}
	s.start(now, again)
}

// renew starts the jobs again that wait with results that have lapsed.
func (s *Scheduler) renew(now time.Time) {
	var lapsed []*job
	for _, j := range s.jobs {
		if slices.ContainsFunc(j.tasks, func(t *task) bool { return t.queued && t.lapsed(now) }) {
			lapsed = append(lapsed, j)
		}
	}
	slices.SortFunc(lapsed, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range lapsed {
		s.restart(now, j)
	}
}

// lapsed reports whether the upstreams have dropped inputs of the task.
func (t *task) lapsed(now time.Time) bool {
	for _, before := range t.stage.After {
		for _, r := range t.job.tasks[before].results {
			if r != nil && r.lapsed(now) {
				return true
			}
		}
	}
	return false
}

// finish reports a job whose stages are done; it keeps the results. If some of
// them have lapsed meanwhile, the job starts again.
func (s *Scheduler) finish(now time.Time, j *job) {
	done := Done{
		Job: j.ID,
	}
	bytes := make(map[ident.FailureDomain]int64)
	for _, t := range j.tasks {
		if j.followed(t.index) {
			continue
		}
		for _, r := range t.results {
			if r == nil {
				continue
			}
			if r.lapsed(now) {
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
	s.done = append(s.done, done)
}

// fail ends a job with an error.
func (s *Scheduler) fail(j *job, err error) {
	s.end(j)
	s.done = append(s.done, Done{
		Job: j.ID,
		Err: err,
	})
}

// end forgets a job and releases its results.
func (s *Scheduler) end(j *job) {
	j.ended = true
	delete(s.jobs, j.ID)
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
	r.worker.held -= r.bytes
	address := r.worker.upstream.Address
	s.releases[address] = append(s.releases[address], r.handle)
}

func (t *task) enqueue() {
	if !t.queued {
		t.queued = true
		t.pool.queue = append(t.pool.queue, t)
	}
}
