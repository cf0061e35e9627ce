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
	// patientMargin multiplies the expected duration of a call when work with slack is
	// added to urgent work, since the pace of an upstream may change by half from one call
	// to the next. urgentMargin is for urgent work, which has no later call to go to.
	patientMargin = 1.5
	urgentMargin  = 1.1
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
	if plan.idle() > 0 {
		urgent := plan.sort()
		for _, t := range p.queue[:urgent] {
			plan.placeUrgent(t)
		}
		plan.fill(p.queue[urgent:])
		plan.openForPatient(p.queue[urgent:])
		for i := range plan.slots {
			if slot := &plan.slots[i]; slot.immediate && len(slot.parts) > 0 {
				actions.Calls = append(actions.Calls, s.startCall(now, slot))
			}
		}
		p.queue = slices.DeleteFunc(p.queue, func(t *task) bool {
			t.queued = len(t.waiting) > 0
			return !t.queued
		})
	}
	actions.wake(plan.wakeTime())
}

// urgentAt returns when a task has to start a call of its own.
func (p *pool) urgentAt(t *task) time.Time {
	return t.due.Add(-time.Duration(urgentShare * float64(p.fullCallTime())))
}

// sort sorts the queue, and returns how many tasks are urgent. These come first, more
// urgent ranks before others, so that no kind is late because of a less urgent one. The
// others are sorted by when they are due. Tasks that are late in any case come last.
func (h *heldPlan) sort() int {
	urgent := 0
	for _, t := range h.pool.queue {
		t.planned = 0
		switch {
		case t.late(h.now):
			t.order = orderLate
		case h.pool.urgentAt(t).After(h.now):
			t.order = orderPatient
		default:
			t.order = orderUrgent
			urgent++
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
	return urgent
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

// placeUrgent assigns the pieces of an urgent task to the calls that finish them first.
func (h *heldPlan) placeUrgent(t *task) {
	crossing := t.crossing()
	for t.unplaced() > 0 {
		best, fits := h.choose(t, crossing)
		if best == nil {
			return
		}
		best.add(t, fits)
	}
}

// choose returns the call for the next pieces of an urgent task, and how many of them it
// can take without making other work late.
func (h *heldPlan) choose(t *task, crossing crossing) (best *slot, fits int) {
	var earliest time.Time
	for i := range h.slots {
		slot := &h.slots[i]
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
		for _, slot := range open {
			slot.add(t, slot.roomFor(t))
		}
	}
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
	if h.lastChance(tasks) {
		reserve = 0
	}
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
			slot.add(t, slot.roomFor(t))
		}
		pieces -= len(slot.parts)
	}
}

// lastChance reports whether a task that is late will miss its deadline too if it waits
// for another call.
func (h *heldPlan) lastChance(tasks []*task) bool {
	return slices.ContainsFunc(tasks, func(t *task) bool {
		start := t.job.Deadline.Add(-t.rest - h.pool.fullCallTime())
		return t.order == orderLate && t.unplaced() > 0 && !start.After(h.now)
	})
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
	var at time.Time
	consider := func(t time.Time) {
		if t.After(h.now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	idle := h.idle() > 0
	for _, t := range h.pool.queue {
		consider(t.job.Deadline.Add(-t.rest))
		if t.order == orderPatient {
			consider(h.pool.urgentAt(t))
		} else if idle {
			consider(h.now.Add(capacityInterval))
		}
	}
	for _, w := range h.pool.workers {
		consider(w.backoffUntil)
	}
	return at
}
