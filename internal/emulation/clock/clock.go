package clock

import (
	"container/heap"
	"time"
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Time
	seq int // orders events of the same time
	fn  func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Clock is a simulated clock with a queue of events. It is not safe for concurrent use.
type Clock struct {
	start   time.Time
	now     time.Time
	queue   eventHeap
	lastSeq int
}

// New returns a clock without events that is set to the given time.
func New(start time.Time) *Clock {
	return &Clock{
		start: start,
		now:   start,
	}
}

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns the simulated time since the start.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(c.start) }

// After schedules a function; a negative delay counts as 0. The function may schedule
// more events.
func (c *Clock) After(d time.Duration, fn func()) {
	c.lastSeq++
	heap.Push(&c.queue, event{
		at:  c.now.Add(max(d, 0)),
		seq: c.lastSeq,
		fn:  fn,
	})
}

// Run runs all events, and those that they schedule, until the queue is empty.
func (c *Clock) Run() {
	for len(c.queue) > 0 {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.fn()
	}
}
