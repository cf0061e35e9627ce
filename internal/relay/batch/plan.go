package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// crossDomainDelay is the delay that is accepted to keep a megabyte of results
	// within a failure domain.
	crossDomainDelay = 300 * time.Millisecond
)

// slot is a batch that is being planned for a worker.
type slot struct {
	worker    *worker
	start     time.Time     // expected start
	immediate bool          // the batch can become a call now
	work      time.Duration // time that the items add to the call
	free      int64         // bytes that the upstream has free for results
	bytes     int64         // size of the results of the batch
	limited   bool          // its work must not become late because of more work
	limits    []rankLimit   // when the batch has to end for its work to be on time, if limited
	parts     []part
}

// Actions lists what the owner of a Scheduler has to do.
type Actions struct {
	Calls       []Call            // to send
	Done        []Done            // jobs that have ended
	Evicted     []ident.RequestID // requests of finished jobs whose unread results were dropped to free capacity
	Releases    []Release         // to send
	Predictions []Prediction      // of jobs that have ended
	Wake        time.Time         // when to call Plan again if no event comes before; zero means never
}

// Plan starts the calls that are possible now and returns what has to be done. Each
// action is returned once.
func (s *Scheduler) Plan(now time.Time) Actions {
	var actions Actions
	s.refresh(now)
	s.releaseReadInputs(now)
	actions.Evicted = s.evictUnread(now)
	s.restartExpired(now)
	for _, p := range s.order {
		if s.slack.enabled {
			s.planHeld(now, p, &actions)
		} else {
			s.planPool(now, p, &actions)
		}
	}
	actions.Done, s.done = s.done, nil
	actions.Predictions, s.slack.predictions = s.slack.predictions, nil
	for upstream, handles := range s.releases {
		actions.Releases = append(actions.Releases, Release{
			Upstream: upstream,
			Handles:  handles,
		})
	}
	clear(s.releases)
	for _, c := range s.calls {
		if at := c.started.Add(inputReadTime); at.After(now) {
			actions.wake(at)
		}
	}
	return actions
}

// planPool assigns the queued pieces of a pool to batches, and starts the batches
// that can start now.
func (s *Scheduler) planPool(now time.Time, p *pool, actions *Actions) {
	s.prune(now, p)
	if len(p.queue) == 0 {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.urgencyClass(now), b.urgencyClass(now)),
			a.latestStart().Compare(b.latestStart()),
		)
	})
	slots := p.slots(now)
	if !slices.ContainsFunc(slots, func(s slot) bool { return s.immediate }) {
		actions.wake(s.wakeTime(now, p))
		return
	}
	for _, t := range p.queue {
		t.planned = 0
		place(t, slots)
	}
	s.startPlanned(now, p, slots, actions)
	actions.wake(s.wakeTime(now, p))
}

// startPlanned starts the batches of a pool that can start now, and removes the tasks from
// the queue that have no waiting pieces left.
func (s *Scheduler) startPlanned(now time.Time, p *pool, slots []slot, actions *Actions) {
	for i := range slots {
		slot := &slots[i]
		if !slot.immediate || len(slot.parts) == 0 {
			continue
		}
		if s.slack.enabled {
			p.slack.items += itemsWeight * (float64(len(slot.parts)) - p.slack.items)
		}
		actions.Calls = append(actions.Calls, s.startCall(now, slot))
	}
	p.queue = slices.DeleteFunc(p.queue, func(t *task) bool {
		t.queued = len(t.waiting) > 0
		return !t.queued
	})
}

// prune removes tasks from the queue whose job has ended or waits for its restart,
// and fails jobs that cannot meet their deadline.
func (s *Scheduler) prune(now time.Time, p *pool) {
	var infeasible []*job
	p.queue = slices.DeleteFunc(p.queue, func(t *task) bool {
		if !t.job.ended && now.Add(t.remaining()).After(t.job.Deadline) {
			infeasible = append(infeasible, t.job)
		}
		t.queued = !t.job.ended && !t.job.stale
		return !t.queued
	})
	for _, j := range infeasible {
		if !j.ended {
			s.fail(j, errors.Annotate(ErrOverload, "deadline cannot be met"))
		}
	}
	if len(infeasible) > 0 {
		p.queue = slices.DeleteFunc(p.queue, func(t *task) bool { return t.job.ended })
	}
}

// wakeTime returns when the queue of a pool has to be planned again if no event comes
// before; zero if the queue is empty.
func (s *Scheduler) wakeTime(now time.Time, p *pool) time.Time {
	if len(p.queue) == 0 {
		return time.Time{}
	}
	next := nextTime{
		now: now,
	}
	for _, w := range p.workers {
		next.consider(w.backoffUntil)
		if w.idle(now) {
			next.consider(now.Add(capacityInterval)) // no free capacity for results
		}
	}
	for _, t := range p.queue {
		next.consider(t.job.Deadline.Add(-t.remaining()))
	}
	return next.at
}

// nextTime finds the earliest of several times after now.
type nextTime struct {
	now time.Time
	at  time.Time // zero if there is none so far
}

func (n *nextTime) consider(t time.Time) {
	if t.After(n.now) && (n.at.IsZero() || t.Before(n.at)) {
		n.at = t
	}
}

// wake makes Wake no later than at; a zero at is ignored.
func (a *Actions) wake(at time.Time) {
	if !at.IsZero() && (a.Wake.IsZero() || at.Before(a.Wake)) {
		a.Wake = at
	}
}

// slots returns an empty batch for each worker that may get calls.
func (p *pool) slots(now time.Time) []slot {
	slots := make([]slot, 0, len(p.workers))
	for _, w := range p.workers {
		if w.gone {
			continue
		}
		slots = append(slots, slot{
			worker:    w,
			start:     w.available(now),
			immediate: w.idle(now),
			free:      w.freeCapacity(now),
		})
	}
	return slots
}

// place assigns the unplaced pieces of a task to the batches that finish them first.
func place(t *task, slots []slot) {
	crossing := t.crossing()
	for t.unplaced() > 0 {
		best, fits := choose(t, crossing, slots)
		if best == nil {
			return
		}
		best.add(t, fits)
	}
}

// unplaced returns the number of waiting pieces that the present plan has not assigned.
func (t *task) unplaced() int {
	return len(t.waiting) - t.planned
}

// choose returns the batch that finishes the unplaced pieces of a task first, and how many
// of them it can take. It prefers batches that can take more of the pieces; best is nil if
// none can take any.
func choose(t *task, crossing crossing, slots []slot) (best *slot, fits int) {
	var earliest time.Time
	for i := range slots {
		slot := &slots[i]
		n := slot.roomFor(t)
		if n == 0 || n < fits {
			continue
		}
		end := slot.finishTime(t, crossing, n)
		if n > fits || end.Before(earliest) {
			best, fits, earliest = slot, n, end
		}
	}
	return best, fits
}

// add assigns the next pieces of a task to the batch.
func (s *slot) add(t *task, pieces int) {
	if pieces == 0 {
		return
	}
	for _, piece := range t.waiting[t.planned : t.planned+pieces] {
		s.parts = append(s.parts, part{
			task:  t,
			piece: piece,
		})
	}
	t.planned += pieces
	s.work += s.worker.pool.work(t, pieces)
	s.bytes += int64(pieces) * t.stage.Bytes
	if !s.limited {
		return
	}
	solo := time.Duration(float64(s.worker.pool.limits.CallTime+s.worker.pool.work(t, pieces)) * s.worker.slowdown())
	if limit, ok := t.endLimit(s.start.Add(solo)); ok {
		s.limits = append(s.limits, rankLimit{
			rank: t.job.Rank,
			end:  limit,
		})
	}
}

// roomFor returns how many of the unplaced pieces of a task the batch can take without
// making other work in it late. Urgent work does not keep other urgent work of its rank
// out: calls with few items would make more of it late.
func (s *slot) roomFor(t *task) int {
	room := min(t.unplaced(), s.capacity(t))
	if room <= 0 {
		return 0
	}
	p := s.worker.pool
	for _, limit := range s.limits {
		if t.order <= orderPressing && limit.rank >= t.job.Rank {
			continue
		}
		spare := time.Duration(float64(limit.end.Sub(s.start))/(s.worker.slowdown()*durationMargin)) - p.limits.CallTime - s.work
		room = max(0, min(room, int(spare/p.itemTime(t.stage.Kind))))
	}
	return room
}

// full reports whether the batch can take no further piece.
func (s *slot) full() bool {
	return len(s.parts) >= s.worker.pool.limits.Items
}

// capacity returns how many more pieces of a task a batch can take. A batch that
// starts later is planned as if all results were released by then.
func (s *slot) capacity(t *task) int {
	items := s.worker.pool.limits.Items - len(s.parts)
	if !s.immediate || t.stage.Bytes <= 0 {
		return items
	}
	return max(0, min(items, int((s.free-s.bytes)/t.stage.Bytes)))
}

// finishTime returns when a batch ends if it takes a number of pieces of a task, plus
// a penalty for results that cross failure domains.
func (s *slot) finishTime(t *task, crossing crossing, pieces int) time.Time {
	p := s.worker.pool
	took := p.limits.CallTime + s.work + p.work(t, pieces)
	took = time.Duration(float64(took) * s.worker.slowdown())
	penalty := time.Duration(float64(crossDomainDelay) * crossing.bytes(s.worker.upstream.Domain) / 1e6)
	return s.start.Add(took + penalty)
}

// crossing has the bytes of results that a task reads and leaves, by failure domain.
type crossing struct {
	total float64
	local []domainBytes // bytes that do not cross if the task runs in the domain
}

type domainBytes struct {
	domain ident.FailureDomain
	bytes  float64
}

// crossing returns the bytes of a task. Each of its pieces reads all inputs, and the
// results of the last stages are read in the domain of the job.
func (t *task) crossing() crossing {
	var c crossing
	for _, dep := range t.stage.After {
		for _, r := range t.job.tasks[dep].results {
			if r != nil {
				c.add(r.worker.upstream.Domain, float64(r.bytes)*float64(t.stage.Pieces))
			}
		}
	}
	if !t.job.hasDependents(t.index) {
		c.add(t.job.Domain, float64(t.stage.Bytes)*float64(t.stage.Pieces))
	}
	return c
}

func (c *crossing) add(domain ident.FailureDomain, bytes float64) {
	c.total += bytes
	for i := range c.local {
		if c.local[i].domain == domain {
			c.local[i].bytes += bytes
			return
		}
	}
	c.local = append(c.local, domainBytes{
		domain: domain,
		bytes:  bytes,
	})
}

// least returns the bytes that cross failure domains at least, wherever the task runs.
func (c crossing) least() float64 {
	most := 0.0
	for _, l := range c.local {
		most = max(most, l.bytes)
	}
	return c.total - most
}

// bytes returns the bytes that cross failure domains if the task runs in domain.
func (c crossing) bytes(domain ident.FailureDomain) float64 {
	for _, l := range c.local {
		if l.domain == domain {
			return c.total - l.bytes
		}
	}
	return c.total
}

// startCall turns a planned batch into a call in progress.
func (s *Scheduler) startCall(now time.Time, planned *slot) Call {
	w := planned.worker
	s.lastCall++
	c := &call{
		Call: Call{
			ID:       s.lastCall,
			Upstream: w.upstream,
			Expected: time.Duration(float64(w.pool.limits.CallTime+planned.work) * w.slowdown()),
			Forecast: w.forecast,
		},
		worker:     w,
		parts:      planned.parts,
		started:    now,
		reserved:   planned.bytes,
		heldBefore: w.heldBytes,
	}
	for _, part := range c.parts {
		t := part.task
		t.running++
		t.started = now
		t.waiting = slices.DeleteFunc(t.waiting, func(piece int) bool { return piece == part.piece })
		c.Items = append(c.Items, t.item(now, part.piece))
	}
	w.calls = append(w.calls, c)
	w.heldBytes += c.reserved
	s.calls[c.ID] = c
	return c.Call
}

func (t *task) item(now time.Time, piece int) wire.Item {
	item := wire.Item{
		Request: t.job.Request,
		Stage:   t.index,
		Piece:   piece,
		Timeout: t.job.Deadline.Sub(now),
	}
	for _, r := range t.inputs() {
		item.Inputs = append(item.Inputs, r.handle)
	}
	if len(item.Inputs) == 0 {
		item.Key = t.job.Key
	}
	return item
}

// urgencyClass returns 0 for a task whose request can still meet its objective, and
// 1 otherwise. Lower classes run first.
func (t *task) urgencyClass(now time.Time) int {
	if now.Add(t.remaining()).After(t.job.Objective) {
		return 1
	}
	return 0
}

// latestStart returns when a task must start for its request to meet the objective.
func (t *task) latestStart() time.Time {
	return t.job.Objective.Add(-t.remaining())
}
