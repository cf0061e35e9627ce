package timeline_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// Guards against an effect that sorts before its cause because the wall clocks of
// hosts differ or go back.
func TestClockOrdersCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		walls := rapid.SliceOfN(rapid.Int64Range(0, 1000), 3, 3).Draw(t, "walls")
		clocks := make([]*timeline.Clock, len(walls))
		for i := range clocks {
			clocks[i] = timeline.NewClock(func() time.Time { return time.UnixMicro(walls[i]) })
		}
		last := clocks[0].Now()
		for _, to := range rapid.SliceOf(rapid.IntRange(0, len(clocks)-1)).Draw(t, "path") {
			walls[to] += rapid.Int64Range(-50, 50).Draw(t, "step") // wall clocks may go back
			clocks[to].Observe(last)
			next := clocks[to].Now()
			if !last.Before(next) {
				t.Fatalf("%+v is not before %+v", last, next)
			}
			last = next
		}
	})
}

// Guards against a ring that loses recent events or returns overwritten ones.
func TestRingKeepsLatest(t *testing.T) {
	c := qt.New(t)
	ring := timeline.NewRing("h1", timeline.NewClock(time.Now), 4)
	for i := range 10 {
		ring.Record(timeline.Event{
			Request: ident.RequestID([]string{"r1", "r2"}[i%2]),
			Name:    string(rune('a' + i)),
		})
	}
	events := ring.Events("r1")
	c.Assert(events, qt.HasLen, 2)
	c.Assert(events[0].Name, qt.Equals, "g")
	c.Assert(events[1].Name, qt.Equals, "i")
	c.Assert(ring.Events(""), qt.HasLen, 4)
}

// Guards against merged events that are not in the order of their stamps.
func TestMerge(t *testing.T) {
	c := qt.New(t)
	at := func(wall int64, name string) timeline.Event {
		return timeline.Event{
			Time: timeline.Stamp{
				Wall: wall,
			},
			Name: name,
		}
	}
	merged := timeline.Merge([]timeline.Event{at(1, "a"), at(4, "d")}, []timeline.Event{at(2, "b"), at(3, "c")})
	names := ""
	for _, event := range merged {
		names += event.Name
	}
	c.Assert(names, qt.Equals, "abcd")
}
