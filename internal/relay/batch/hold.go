package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// nearlyFull is the share of the maximum number of items at which work with slack
	// waits no longer.
	nearlyFull = 0.8
	// urgentShare is the share of the duration of a full call before a task is due at
	// which it starts a call of its own. If all upstreams are busy then, the calls in
	// progress have a little more than half of their duration left on average.
	urgentShare = 0.6
	// durationMargin multiplies the expected duration of a call when less urgent work is
	// added to it, since the pace of an upstream may change by half from one call to the
	// next.
	durationMargin = 1.5
	// maxPatientCrossing is the number of bytes of results that a task with slack may move
	// between failure domains more than necessary to join a call. Small results are cheaper
	// to move than a call that is less full.
	maxPatientCrossing = 200e3
	// itemsWeight is the weight of a call in the moving average of the items per call.
	itemsWeight = 0.1
)

// heldPlan assigns the queue of a pool to calls while work with slack waits for fuller
// ones.
type heldPlan struct {
	now   time.Time
	pool  *pool
	slots []slot
}

// planHeld starts the calls of a pool that have urgent work, and those with slack that
// are nearly full or leave enough idle upstreams for urgent work.
//
// This is for load in which few urgent requests share upstreams with many that have
// slack: if each of these starts a call at once, all upstreams are busy with small calls
// when urgent work arrives.
func (s *Scheduler) planHeld(now time.Time, p *pool, actions *Actions) {
	s.prune(now, p)
	if len(p.queue) == 0 {
		return
	}
	plan := heldPlan{
		now:   now,
		pool:  p,
		slots: p.slots(now),
	}
	for i := range plan.slots {
		plan.slots[i].limited = true
	}
	if plan.idle() > 0 {
		first := plan.sort()
		for _, t := range p.queue[:first] {
			place(t, plan.slots)
		}
		plan.fill(p.queue[first:])
		plan.openForPatient(p.queue[first:])
		s.startPlanned(now, p, plan.slots, actions)
	}
	actions.wake(plan.wakeTime())
}

// urgentAt returns when a task has to start a call of its own.
func (p *pool) urgentAt(t *task) time.Time {
	return t.due.Add(-time.Duration(urgentShare * float64(p.fullCallTime())))
}

// lastCallAt returns when a task that is late has to start a call of its own to meet the
// deadline.
func (p *pool) lastCallAt(t *task) time.Time {
	return t.job.Deadline.Add(-t.rest - p.fullCallTime())
}

// sort sorts the queue, and returns how many tasks have to start now. Among urgent tasks
// more urgent ranks come first, so that no kind is late because of a less urgent one. The
// others are sorted by when they are due.
func (h *heldPlan) sort() int {
	first := 0
	for _, t := range h.pool.queue {
		t.planned = 0
		switch {
		case t.late(h.now) && h.pool.lastCallAt(t).After(h.now):
			t.order = orderLate
		case t.late(h.now):
			t.order = orderPressing
			first++
		case h.pool.urgentAt(t).After(h.now):
			t.order = orderPatient
		default:
			t.order = orderUrgent
			first++
		}
	}
	slices.SortStableFunc(h.pool.queue, func(a, b *task) int {
		if c := cmp.Compare(a.order, b.order); c != 0 {
			return c
		}
		if a.order == orderUrgent && a.job.Rank != b.job.Rank {
			return cmp.Compare(a.job.Rank, b.job.Rank)
		}
		return a.due.Compare(b.due)
	})
	return first
}

// idle returns the number of upstreams that can start a call and have none planned.
func (h *heldPlan) idle() int {
	n := 0
	for i := range h.slots {
		if h.slots[i].immediate && len(h.slots[i].parts) == 0 {
			n++
		}
	}
	return n
}

// fill assigns tasks, in order, to the calls that start anyway.
func (h *heldPlan) fill(tasks []*task) {
	var open []*slot
	for i := range h.slots {
		if slot := &h.slots[i]; slot.immediate && len(slot.parts) > 0 {
			open = append(open, slot)
		}
	}
	for _, t := range tasks {
		open = slices.DeleteFunc(open, (*slot).full)
		if len(open) == 0 {
			return
		}
		crossing := t.crossing()
		for _, slot := range open {
			if !t.avoids(slot, crossing) {
				slot.add(t, slot.roomFor(t))
			}
		}
	}
}

// avoids reports whether a task with slack waits for a call in another failure domain,
// because its results would cross failure domains in this one.
func (t *task) avoids(s *slot, crossing crossing) bool {
	return t.order == orderPatient && crossing.bytes(s.worker.upstream.Domain) > crossing.least()+maxPatientCrossing
}

// openForPatient starts further calls for tasks with slack, while these nearly fill a
// call or enough upstreams stay idle for the urgent calls that are expected meanwhile.
func (h *heldPlan) openForPatient(tasks []*task) {
	pieces := 0
	for _, t := range tasks {
		pieces += t.unplaced()
	}
	enough := int(math.Ceil(nearlyFull * float64(h.pool.limits.Items)))
	reserve := h.pool.expectedUrgentCalls(h.now)
	for idle := h.idle(); idle > 0 && pieces > 0; idle-- {
		if pieces < enough && idle <= reserve {
			return
		}
		for tasks[0].unplaced() == 0 {
			tasks = tasks[1:]
		}
		slot := h.firstToFinish(tasks[0])
		if slot == nil {
			return
		}
		for _, t := range tasks {
			if slot.full() {
				break
			}
			if !t.avoids(slot, t.crossing()) {
				slot.add(t, slot.roomFor(t))
			}
		}
		pieces -= len(slot.parts)
	}
}

// firstToFinish returns the idle upstream that finishes a task first. It returns nil if
// the task would be late there although it could wait for another upstream, or if there
// is no free capacity for its results.
func (h *heldPlan) firstToFinish(t *task) *slot {
	var best *slot
	var earliest time.Time
	crossing := t.crossing()
	for i := range h.slots {
		slot := &h.slots[i]
		if !slot.immediate || len(slot.parts) > 0 || slot.capacity(t) == 0 {
			continue
		}
		if end := slot.finishTime(t, crossing, 1); best == nil || end.Before(earliest) {
			best, earliest = slot, end
		}
	}
	if t.order == orderPatient && earliest.After(t.finishBy) {
		return nil
	}
	return best
}

// wakeTime returns when the queue has to be planned again if no event comes before.
// Without it, work that is held would be late when no more work arrives.
func (h *heldPlan) wakeTime() time.Time {
	next := nextTime{
		now: h.now,
	}
	idle := h.idle() > 0
	for _, t := range h.pool.queue {
		next.consider(t.job.Deadline.Add(-t.rest))
		switch {
		case t.order == orderPatient:
			next.consider(h.pool.urgentAt(t))
		case t.order == orderLate:
			next.consider(h.pool.lastCallAt(t))
		case idle:
			next.consider(h.now.Add(capacityInterval)) // no free capacity for results
		}
	}
	for _, w := range h.pool.workers {
		next.consider(w.backoffUntil)
	}
	return next.at
}
