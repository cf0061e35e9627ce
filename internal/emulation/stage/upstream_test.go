package stage_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/emulation/clock"
	"github.com/nutmegshift/nutmegshift/internal/emulation/stage"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// world is one upstream with room for three results.
type world struct {
	clock   *clock.Clock
	results *stage.Results
	*stage.Upstream
}

func newWorld() *world {
	c := clock.New(time.Unix(0, 0))
	results := stage.NewResults()
	limits := routes.Batch{
		Slots:     1,
		Queue:     1,
		Items:     4,
		CallTime:  200 * time.Millisecond,
		Capacity:  300,
		Retention: 4 * time.Second,
	}
	size := func(wire.Item) stage.Size {
		return stage.Size{
			Bytes: 100,
			Work:  20 * time.Millisecond,
		}
	}
	return &world{
		clock:    c,
		results:  results,
		Upstream: stage.New(c, "a", limits, results, size),
	}
}

// answered is the answer of a call.
type answered struct {
	at       time.Duration
	statuses []wire.ItemStatus
	handles  []wire.Handle
}

// ask hands in a call at a time.
func (w *world) ask(at time.Duration, items ...wire.Item) *answered {
	got := &answered{}
	w.clock.After(at, func() {
		w.Call(items, func(results []wire.ItemResult, _ time.Duration) {
			got.at = w.clock.Elapsed()
			for _, result := range results {
				got.statuses = append(got.statuses, result.Status)
				got.handles = append(got.handles, result.Handle)
			}
		})
	})
	return got
}

// Guards against calls that take no time, run beside each other, or are accepted
// without end.
func TestCalls(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	first := w.ask(0, wire.Item{}, wire.Item{})
	second := w.ask(10*time.Millisecond, wire.Item{})
	third := w.ask(20*time.Millisecond, wire.Item{})
	w.clock.Run()
	c.Check(first.at, qt.Equals, 240*time.Millisecond)
	c.Check(second.at, qt.Equals, 460*time.Millisecond)
	c.Check(third.at, qt.Equals, time.Duration(0), qt.Commentf("the queue was full"))
}

// Guards against results beyond the room, and room that never comes back.
func TestRoom(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	first := w.ask(0, wire.Item{}, wire.Item{}, wire.Item{}, wire.Item{})
	released := w.ask(time.Second, wire.Item{}, wire.Item{})
	w.clock.After(900*time.Millisecond, func() { w.results.Release(first.handles[:1]) })
	lapsed := w.ask(10*time.Second, wire.Item{}, wire.Item{}, wire.Item{})
	w.clock.Run()
	c.Check(first.statuses, qt.DeepEquals, []wire.ItemStatus{wire.ItemDone, wire.ItemDone, wire.ItemDone, wire.ItemNoCapacity})
	c.Check(released.statuses, qt.DeepEquals, []wire.ItemStatus{wire.ItemDone, wire.ItemNoCapacity})
	c.Check(lapsed.statuses, qt.DeepEquals, []wire.ItemStatus{wire.ItemDone, wire.ItemDone, wire.ItemDone})
}

// Guards against items that are made of inputs that are gone.
func TestInputs(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	first := w.ask(0, wire.Item{})
	var next *answered
	w.clock.After(time.Second, func() {
		next = w.ask(0, wire.Item{Inputs: first.handles})
	})
	var late *answered
	w.clock.After(6*time.Second, func() {
		late = w.ask(0, wire.Item{Inputs: first.handles})
	})
	w.clock.Run()
	c.Check(next.statuses, qt.DeepEquals, []wire.ItemStatus{wire.ItemDone})
	c.Check(late.statuses, qt.DeepEquals, []wire.ItemStatus{wire.ItemNoInput})
}

// Guards against an upstream that is slow or lost for good, or remembers what was
// before its restart.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.SetSlow(3)
	slow := w.ask(0, wire.Item{})
	w.clock.After(time.Second, func() { w.SetSlow(0) })
	lost := w.ask(1100*time.Millisecond, wire.Item{})
	w.clock.After(2*time.Second, w.Restart)
	back := w.ask(2100*time.Millisecond, wire.Item{})
	w.clock.Run()
	c.Check(slow.at, qt.Equals, 660*time.Millisecond)
	c.Check(lost.statuses, qt.HasLen, 0)
	c.Check(back.at, qt.Equals, 2320*time.Millisecond)
	c.Check(w.results.Held(slow.handles[0]), qt.IsFalse)
}
