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

// fixture is an upstream with capacity for three results.
type fixture struct {
	clock   *clock.Clock
	results *stage.Results
	*stage.Upstream
}

func newFixture() *fixture {
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
	cost := func(wire.Item) stage.Cost {
		return stage.Cost{
			Bytes: 100,
			Work:  20 * time.Millisecond,
		}
	}
	return &fixture{
		clock:    c,
		results:  results,
		Upstream: stage.New(c, "a", limits, results, cost),
	}
}

// outcome is the outcome of a call; it stays empty if the call does not end.
type outcome struct {
	at       time.Duration
	statuses []wire.ItemStatus
	handles  []wire.Handle
}

// call schedules a call and returns its outcome, which is filled in during the run of
// the clock.
func (f *fixture) call(at time.Duration, items ...wire.Item) *outcome {
	got := &outcome{}
	f.clock.After(at, func() {
		f.Call(items, func(results []wire.ItemResult, _ time.Duration) {
			got.at = f.clock.Elapsed()
			for _, result := range results {
				got.statuses = append(got.statuses, result.Status)
				got.handles = append(got.handles, result.Handle)
			}
		})
	})
	return got
}

// Guards against calls that take no time, exceed the slots, or are accepted although
// the queue is full.
func TestCalls(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	first := f.call(0, wire.Item{}, wire.Item{})
	second := f.call(10*time.Millisecond, wire.Item{})
	third := f.call(20*time.Millisecond, wire.Item{})
	f.clock.Run()
	c.Check(first.at, qt.Equals, 240*time.Millisecond)
	c.Check(second.at, qt.Equals, 460*time.Millisecond)
	c.Check(third.at, qt.Equals, time.Duration(0), qt.Commentf("the queue was full"))
}

// Guards against results beyond the capacity, and capacity that is not freed when
// results are released or expire.
func TestCapacity(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	first := f.call(0, wire.Item{}, wire.Item{}, wire.Item{}, wire.Item{})
	released := f.call(time.Second, wire.Item{}, wire.Item{})
	f.clock.After(900*time.Millisecond, func() { f.results.Release(first.handles[:1]) })
	expired := f.call(10*time.Second, wire.Item{}, wire.Item{}, wire.Item{})
	f.clock.Run()
	c.Check(first.statuses, qt.DeepEquals, []wire.ItemStatus{wire.ItemDone, wire.ItemDone, wire.ItemDone, wire.ItemNoCapacity})
	c.Check(released.statuses, qt.DeepEquals, []wire.ItemStatus{wire.ItemDone, wire.ItemNoCapacity})
	c.Check(expired.statuses, qt.DeepEquals, []wire.ItemStatus{wire.ItemDone, wire.ItemDone, wire.ItemDone})
}

// Guards against items that are processed although their inputs have expired.
func TestInputs(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	first := f.call(0, wire.Item{})
	var next *outcome
	f.clock.After(time.Second, func() {
		next = f.call(0, wire.Item{Inputs: first.handles})
	})
	var late *outcome
	f.clock.After(6*time.Second, func() {
		late = f.call(0, wire.Item{Inputs: first.handles})
	})
	f.clock.Run()
	c.Check(next.statuses, qt.DeepEquals, []wire.ItemStatus{wire.ItemDone})
	c.Check(late.statuses, qt.DeepEquals, []wire.ItemStatus{wire.ItemNoInput})
}

// Guards against slow or lost upstreams that do not recover at a restart, and against
// results that survive it.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.SetTimeFactor(3)
	slow := f.call(0, wire.Item{})
	f.clock.After(time.Second, func() { f.SetTimeFactor(0) })
	unanswered := f.call(1100*time.Millisecond, wire.Item{})
	f.clock.After(2*time.Second, f.Restart)
	restarted := f.call(2100*time.Millisecond, wire.Item{})
	f.clock.Run()
	c.Check(slow.at, qt.Equals, 660*time.Millisecond)
	c.Check(unanswered.statuses, qt.HasLen, 0)
	c.Check(restarted.at, qt.Equals, 2320*time.Millisecond)
	c.Check(f.results.Held(slow.handles[0]), qt.IsFalse)
}
