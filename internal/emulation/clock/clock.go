package clock

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int // keeps the order of events at the same time
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].number < e[j].number
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Clock is a simulated time with the events to come.
type Clock struct {
	start  time.Time
	now    time.Time
	queue  events
	number int
}

// New returns a clock that stands at a time.
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

// After schedules an event.
func (c *Clock) After(d time.Duration, do func()) {
	c.number++
	heap.Push(&c.queue, event{
		at:     c.now.Add(max(d, 0)),
		number: c.number,
		do:     do,
	})
}

// Run runs the events until none is left.
func (c *Clock) Run() {
	for len(c.queue) > 0 {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.do()
	}
}
