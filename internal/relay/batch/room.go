package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// roomInterval is how often work that waits for room is planned again.
	roomInterval = 100 * time.Millisecond
	// fetchTime is how long after the start of a call its inputs have been read.
	fetchTime = 100 * time.Millisecond
	// pressure is the share of an upstream's room from which results are released
	// as early as possible.
	pressure = 0.5
	// unreadTime is how long the results of a finished job may wait for the model
	// engine while others need their room. 99 of 100 are read within 1.3 s; a host
	// that stands still does not read them at all.
	unreadTime = 1500 * time.Millisecond
)

// foreign is an estimate of the results at an upstream that this scheduler does
// not know of, for example those of a coordinator that has ended. They were made
// one after the other and nobody releases them, so they lapse at an even rate
// until the last one is gone. Later observations correct the amount only.
type foreign struct {
	bytes  int64
	at     time.Time // of the observation
	lapses time.Time // when the last one has lapsed
}

// left returns the bytes that are still there.
func (f foreign) left(now time.Time) int64 {
	if f.bytes == 0 || !now.Before(f.lapses) {
		return 0
	}
	share := float64(f.lapses.Sub(now)) / float64(f.lapses.Sub(f.at))
	return int64(share * float64(f.bytes))
}

// free returns the room that is left at an upstream.
func (w *worker) free(now time.Time) int64 {
	return w.pool.limits.Room - w.held - w.foreign.left(now)
}

// measure learns from a call of which some items did not fit. The results that
// the upstream holds beside those that are known leave room for what has fitted,
// but not for the smallest item that has not.
func (w *worker) measure(now time.Time, c *call, answer Completed) {
	fitted, smallest := int64(0), int64(0)
	for i, result := range answer.Results {
		bytes := c.parts[i].task.stage.Bytes
		switch result.Status {
		case wire.ItemDone:
			fitted += bytes
		case wire.ItemNoRoom:
			if smallest == 0 || bytes < smallest {
				smallest = bytes
			}
		default:
		}
	}
	if smallest == 0 {
		return
	}
	lapses := w.foreign.lapses
	if !now.Before(lapses) {
		lapses = now.Add(max(w.pool.limits.Retain, roomInterval))
	}
	w.foreign = foreign{
		bytes:  max(0, w.pool.limits.Room-c.before-fitted-smallest/2),
		at:     c.started,
		lapses: lapses,
	}
}

// relieve releases results that the calls in progress have read, where they are
// short of room. If such a call fails, its jobs start again.
func (s *Scheduler) relieve(now time.Time) {
	var read []*task
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if len(t.stage.After) == 0 || t.finished || !t.reading(now) {
				continue
			}
			for _, before := range t.stage.After {
				earlier := j.tasks[before]
				if earlier.pressed() && j.used(before, func(other *task) bool { return other.finished || other.reading(now) }) {
					read = append(read, earlier)
				}
			}
		}
	}
	for _, t := range read {
		s.releaseAll(t)
	}
}

// used reports whether all stages that need the results of another one are
// through with them.
func (j *job) used(before int, through func(t *task) bool) bool {
	for _, t := range j.tasks {
		if t.stage.Pieces > 0 && slices.Contains(t.stage.After, before) && !through(t) {
			return false
		}
	}
	return true
}

// reading reports whether all pieces have been in calls for long enough to have
// read their inputs.
func (t *task) reading(now time.Time) bool {
	return t.running == t.stage.Pieces && now.Sub(t.started) >= fetchTime
}

// pressed reports whether an upstream that holds results of the task is short of
// room.
func (t *task) pressed() bool {
	for _, r := range t.results {
		if r != nil && float64(r.worker.held) > pressure*float64(r.worker.pool.limits.Room) {
			return true
		}
	}
	return false
}

// reclaim drops the results of finished jobs that nobody has read for long, where
// they take the room of others, and returns the requests.
func (s *Scheduler) reclaim(now time.Time) []ident.RequestID {
	var unread []*job
	for _, j := range s.jobs {
		if !j.finished.IsZero() && now.Sub(j.finished) > unreadTime && slices.ContainsFunc(j.tasks, (*task).pressed) {
			unread = append(unread, j)
		}
	}
	slices.SortFunc(unread, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	var requests []ident.RequestID
	for _, j := range unread {
		requests = append(requests, j.Request)
		s.end(j)
	}
	return requests
}
