package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// capacityInterval is how often tasks are planned again that wait for free capacity
	// for their results.
	capacityInterval = 100 * time.Millisecond
	// inputReadTime is the time after the start of a call within which an upstream reads
	// the inputs.
	inputReadTime = 100 * time.Millisecond
	// scarceShare is the share of an upstream's capacity for results above which results
	// are released as early as possible.
	scarceShare = 0.5
	// unreadTimeout is how long the results of a finished job may stay unread by the
	// model engine while other jobs need the capacity. 99% are read within 1.3 s; a host
	// that has stalled does not read them at all.
	unreadTimeout = 1500 * time.Millisecond
)

// foreign is an estimate of the results at an upstream that this scheduler does not
// know of, for example those of a coordinator that has ended. They were created one
// after the other and nobody releases them, so the estimate decreases linearly until
// the last one has expired. Later observations correct only the amount, not the
// expiry.
type foreign struct {
	bytes   int64
	at      time.Time // time of the observation
	expires time.Time // when the last result expires
}

// remaining returns the estimated bytes that have not expired.
func (f foreign) remaining(now time.Time) int64 {
	if f.bytes == 0 || !now.Before(f.expires) {
		return 0
	}
	share := float64(f.expires.Sub(now)) / float64(f.expires.Sub(f.at))
	return int64(share * float64(f.bytes))
}

// freeCapacity returns the bytes that an upstream has free for results.
func (w *worker) freeCapacity(now time.Time) int64 {
	return w.pool.limits.Capacity - w.heldBytes - w.foreign.remaining(now)
}

// updateForeign estimates the foreign results from a call in which some items did
// not fit: besides the known results, the free capacity was enough for the items
// that are done, but not for the smallest of the others.
func (w *worker) updateForeign(now time.Time, c *call, completed Completed) {
	fitted, smallest := int64(0), int64(0)
	for i, result := range completed.Results {
		bytes := c.parts[i].task.stage.Bytes
		switch result.Status {
		case wire.ItemDone:
			fitted += bytes
		case wire.ItemNoCapacity:
			if smallest == 0 || bytes < smallest {
				smallest = bytes
			}
		default:
		}
	}
	if smallest == 0 {
		return
	}
	expires := w.foreign.expires
	if !now.Before(expires) {
		expires = now.Add(max(w.pool.limits.Retention, capacityInterval))
	}
	w.foreign = foreign{
		bytes:   max(0, w.pool.limits.Capacity-c.heldBefore-fitted-smallest/2),
		at:      c.started,
		expires: expires,
	}
}

// releaseReadInputs releases results that the calls in progress have read, at
// upstreams whose capacity is scarce. If such a call fails, its job starts again.
func (s *Scheduler) releaseReadInputs(now time.Time) {
	var read []*task
	for _, c := range s.calls {
		for i, part := range c.parts {
			t := part.task
			repeated := i > 0 && c.parts[i-1].task == t
			if repeated || len(t.stage.After) == 0 || t.finished || t.job.ended || !t.inputsRead(now) {
				continue
			}
			for _, dep := range t.stage.After {
				producer := t.job.tasks[dep]
				if producer.capacityScarce() && t.job.consumersDone(dep, func(other *task) bool { return other.finished || other.inputsRead(now) }) {
					read = append(read, producer)
				}
			}
		}
	}
	for _, t := range read {
		s.releaseAll(t)
	}
}

// consumersDone reports whether done holds for all stages that need the results of a
// stage.
func (j *job) consumersDone(dep int, done func(t *task) bool) bool {
	for _, t := range j.tasks {
		if t.stage.Pieces > 0 && slices.Contains(t.stage.After, dep) && !done(t) {
			return false
		}
	}
	return true
}

// inputsRead reports whether all pieces have been in calls for long enough that the
// upstreams have read their inputs.
func (t *task) inputsRead(now time.Time) bool {
	return t.running == t.stage.Pieces && now.Sub(t.started) >= inputReadTime
}

// capacityScarce reports whether an upstream that holds results of the task has
// little free capacity.
func (t *task) capacityScarce() bool {
	for _, r := range t.results {
		if r != nil && float64(r.worker.heldBytes) > scarceShare*float64(r.worker.pool.limits.Capacity) {
			return true
		}
	}
	return false
}

// evictUnread drops finished jobs whose results have stayed unread for unreadTimeout
// at upstreams whose capacity is scarce. It returns their requests.
func (s *Scheduler) evictUnread(now time.Time) []ident.RequestID {
	var unread []*job
	for _, j := range s.unread {
		if now.Sub(j.finished) > unreadTimeout && slices.ContainsFunc(j.tasks, (*task).capacityScarce) {
			unread = append(unread, j)
		}
	}
	slices.SortFunc(unread, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	var requests []ident.RequestID
	for _, j := range unread {
		requests = append(requests, j.Request)
		s.remove(j)
	}
	return requests
}
