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
	// crossingTime is the delay that is accepted to keep a megabyte of results
	// within a failure domain.
	crossingTime = 300 * time.Millisecond
)

// slot is a batch that is being planned for a worker.
type slot struct {
	worker *worker
	start  time.Time
	now    bool          // it can become a call at once
	work   time.Duration // of the items
	free   int64         // bytes that the upstream can take
	bytes  int64         // of the results
	parts  []part
}

// Actions is what has to be done.
type Actions struct {
	Calls    []Call
	Done     []Done
	Unread   []ident.RequestID // requests whose results are dropped for those of others
	Releases []Release
	Wake     time.Time // when to ask again, if nothing happens before; zero is never
}

// Next returns what has to be done now. Each action is returned once.
func (s *Scheduler) Next(now time.Time) Actions {
	var actions Actions
	s.relieve(now)
	actions.Unread = s.reclaim(now)
	s.renew(now)
	for _, p := range s.order {
		s.plan(now, p, &actions)
	}
	actions.Done = s.done
	s.done = nil
	for address, handles := range s.releases {
		actions.Releases = append(actions.Releases, Release{
			Address: address,
			Handles: handles,
		})
	}
	clear(s.releases)
	for _, c := range s.calls {
		if at := c.started.Add(fetchTime); at.After(now) {
			actions.wake(at)
		}
	}
	return actions
}

// plan starts the calls of one pool.
func (s *Scheduler) plan(now time.Time, p *pool, actions *Actions) {
	s.prune(now, p)
	if len(p.queue) == 0 {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.urgency(now), b.urgency(now)),
			a.latest().Compare(b.latest()),
		)
	})
	slots := p.slots(now)
	open := 0
	for _, slot := range slots {
		if slot.now {
			open++
		}
	}
	for _, t := range p.queue {
		if open == 0 {
			break
		}
		place(t, slots)
	}
	for _, slot := range slots {
		if slot.now && len(slot.parts) > 0 {
			actions.Calls = append(actions.Calls, s.call(now, slot))
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(t *task) bool {
		t.queued = len(t.waiting) > 0
		return !t.queued
	})
	actions.wake(s.next(now, p))
}

// prune takes the tasks out of the queue that have ended, wait for the restart of
// their job, or cannot meet their deadline.
func (s *Scheduler) prune(now time.Time, p *pool) {
	var hopeless []*job
	p.queue = slices.DeleteFunc(p.queue, func(t *task) bool {
		if !t.job.ended && now.Add(t.remaining()).After(t.job.Deadline) {
			hopeless = append(hopeless, t.job)
		}
		t.queued = !t.job.ended && !t.job.stale
		return !t.queued
	})
	for _, j := range hopeless {
		if !j.ended {
			s.fail(j, errors.Annotate(ErrOverload, "deadline cannot be met"))
		}
	}
	if len(hopeless) > 0 {
		p.queue = slices.DeleteFunc(p.queue, func(t *task) bool { return t.job.ended })
	}
}

// next returns when a waiting task can be planned anew without an event.
func (s *Scheduler) next(now time.Time, p *pool) time.Time {
	if len(p.queue) == 0 {
		return time.Time{}
	}
	var at time.Time
	earlier := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, w := range p.workers {
		earlier(w.resume)
		if w.idle(now) {
			earlier(now.Add(roomInterval)) // it has no room
		}
	}
	for _, t := range p.queue {
		earlier(t.job.Deadline.Add(-t.remaining()))
	}
	return at
}

func (a *Actions) wake(at time.Time) {
	if !at.IsZero() && (a.Wake.IsZero() || at.Before(a.Wake)) {
		a.Wake = at
	}
}

// slots returns one empty batch for each worker.
func (p *pool) slots(now time.Time) []*slot {
	slots := make([]*slot, 0, len(p.workers))
	for _, w := range p.workers {
		if w.gone {
			continue
		}
		slots = append(slots, &slot{
			worker: w,
			start:  w.available(now),
			now:    w.idle(now),
			free:   w.free(now),
		})
	}
	return slots
}

// place puts the waiting pieces of a task into the batches that finish them first.
func place(t *task, slots []*slot) {
	pieces := t.waiting
	for len(pieces) > 0 {
		best, fits := choose(t, slots, len(pieces))
		if best == nil {
			return
		}
		for _, piece := range pieces[:fits] {
			best.parts = append(best.parts, part{
				task:  t,
				piece: piece,
			})
		}
		best.work += best.worker.pool.work(t, fits)
		best.bytes += int64(fits) * t.stage.Bytes
		pieces = pieces[fits:]
	}
}

// choose returns the batch that finishes the pieces first and how many of them
// it can take. A batch that takes all of them goes before one that takes a part.
func choose(t *task, slots []*slot, pieces int) (best *slot, fits int) {
	var earliest time.Time
	for _, slot := range slots {
		n := min(pieces, slot.room(t))
		if n == 0 || n < fits {
			continue
		}
		end := slot.finish(t, n)
		if n > fits || end.Before(earliest) {
			best, fits, earliest = slot, n, end
		}
	}
	return best, fits
}

// room returns how many more pieces of a task a batch can take. A batch that
// starts later is planned as if all results were released by then.
func (s *slot) room(t *task) int {
	items := s.worker.pool.limits.Items - len(s.parts)
	if !s.now || t.stage.Bytes <= 0 {
		return items
	}
	return max(0, min(items, int((s.free-s.bytes)/t.stage.Bytes)))
}

// finish returns when a batch ends if it takes some pieces of a task, with the
// delay that is accepted for crossing failure domains.
func (s *slot) finish(t *task, pieces int) time.Time {
	p := s.worker.pool
	took := p.limits.CallTime + s.work + p.work(t, pieces)
	took = time.Duration(float64(took) * s.worker.pace)
	crossing := time.Duration(float64(crossingTime) * t.crossing(s.worker.upstream.Domain) / 1e6)
	return s.start.Add(took + crossing)
}

// crossing returns the bytes of results that cross failure domains if a task
// runs in one: each of its pieces reads all inputs, and the last results are
// read in the domain of the job.
func (t *task) crossing(domain ident.FailureDomain) float64 {
	crossing := 0.0
	for _, r := range t.inputs() {
		if r.worker.upstream.Domain != domain {
			crossing += float64(r.bytes) * float64(t.stage.Pieces)
		}
	}
	if domain != t.job.Domain && !t.job.followed(t.index) {
		crossing += float64(t.stage.Bytes) * float64(t.stage.Pieces)
	}
	return crossing
}

// call turns a planned batch into a call.
func (s *Scheduler) call(now time.Time, planned *slot) Call {
	w := planned.worker
	s.last++
	c := &call{
		Call: Call{
			ID:       s.last,
			Upstream: w.upstream,
			Expected: time.Duration(float64(w.pool.limits.CallTime+planned.work) * w.pace),
		},
		worker:  w,
		parts:   planned.parts,
		started: now,
		bytes:   planned.bytes,
		before:  w.held,
	}
	for _, part := range c.parts {
		t := part.task
		t.running++
		t.started = now
		t.waiting = slices.DeleteFunc(t.waiting, func(piece int) bool { return piece == part.piece })
		c.Items = append(c.Items, t.item(now, part.piece))
	}
	w.calls = append(w.calls, c)
	w.held += c.bytes
	s.calls[c.ID] = c
	return c.Call
}

func (t *task) item(now time.Time, piece int) wire.Item {
	item := wire.Item{
		Request:  t.job.Request,
		Stage:    t.index,
		Piece:    piece,
		Patience: t.job.Deadline.Sub(now),
	}
	for _, r := range t.inputs() {
		item.Inputs = append(item.Inputs, r.handle)
	}
	if len(item.Inputs) == 0 {
		item.Key = t.job.Key
	}
	return item
}

// urgency is 0 for a task whose request can still be on time, else 1.
func (t *task) urgency(now time.Time) int {
	if now.Add(t.remaining()).After(t.job.Objective) {
		return 1
	}
	return 0
}

// latest returns when a task must start for an answer that is on time.
func (t *task) latest() time.Time {
	return t.job.Objective.Add(-t.remaining())
}
