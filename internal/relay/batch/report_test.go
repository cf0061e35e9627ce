package batch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// report passes a load report of an upstream to the scheduler.
func (h *harness) report(upstream fleet.Upstream, source loadreport.Source, load wire.Load) loadreport.Verdict {
	verdict, _ := h.Observe(h.now, loadreport.Report{Upstream: upstream, Load: load, Source: source, At: h.now})
	return verdict
}

// Guards against calls that a full upstream refuses again and again, as after a coordinator
// was lost with calls in progress, and against false reports that keep an upstream idle.
func TestRefusedByFullUpstream(t *testing.T) {
	tests := map[string]struct {
		load  wire.Load
		waits [2]time.Duration // until the next call; one with half of the items takes 280 ms
	}{
		"full":              {load: wire.Load{Running: 1, Waiting: 2, Slots: 1}, waits: [2]time.Duration{ms(700), ms(700)}},
		"claims a million":  {load: wire.Load{Running: 1e6, Waiting: 1e6, Slots: 1}, waits: [2]time.Duration{ms(700), ms(700)}},
		"claims to be idle": {load: wire.Load{Slots: 1}, waits: [2]time.Duration{ms(40), ms(80)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(map[ident.ServiceName]int{"a": 1}, 1e6)
			_, err := h.submit(job("a", 2, 5*time.Second))
			c.Assert(err, qt.IsNil)
			h.plan()
			for _, wait := range test.waits {
				refused := h.take(0)
				h.report(refused.Upstream, loadreport.Refused, test.load)
				h.FinishCall(h.now, refused.ID, batch.Refused{})
				actions := h.plan()
				c.Assert(h.calls, qt.HasLen, 0)
				c.Assert(actions.Wake.Sub(h.now), qt.Equals, wait)
				h.now = actions.Wake
				h.plan()
				c.Assert(h.calls, qt.HasLen, 1)
			}
		})
	}
}

// Guards against a coordinator that has just begun and sends calls to upstreams that are
// busy with those of its predecessor, learns the time that a call has waited for them as the
// duration of its work, or applies the report of an earlier incarnation.
func TestBusyWithOtherCalls(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"a": 2}, 1e6)
	busy := fleet.Upstream{ID: "a0", Address: "a0"}
	full := wire.Load{Running: 1, Waiting: 1, Slots: 1}
	earlier := fleet.Upstream{ID: "a0", Address: "a0", Started: 1}
	c.Check(h.report(earlier, loadreport.Health, full), qt.Equals, loadreport.Outdated)
	c.Check(h.report(busy, loadreport.Health, full), qt.Equals, loadreport.Used)
	for range 3 {
		_, err := h.submit(job("a", 8, 5*time.Second))
		c.Assert(err, qt.IsNil)
	}
	h.plan()
	c.Assert(h.calls, qt.HasLen, 1)
	c.Check(h.calls[0].Upstream.ID, qt.Equals, ident.UpstreamID("a1"))
	h.report(h.calls[0].Upstream, loadreport.Health, full)
	h.now = h.now.Add(ms(420))
	h.plan()
	c.Check(h.calls, qt.HasLen, 2)
	h.now = h.now.Add(ms(300))
	h.complete(0)
	h.plan()
	c.Assert(h.calls, qt.HasLen, 2)
	c.Check(h.calls[1].Expected, qt.Equals, ms(360))
}

// Guards against calls that are expected to take as long as at a normal pace although the
// upstream has just reported another one, against reports without a pace or of two seconds
// ago that change the expected duration, and against a false one that decides alone.
func TestReportedPace(t *testing.T) {
	tests := map[string]struct {
		paces    []wire.Pace // reported at the end of each call, all of which take the normal time
		age      time.Duration
		expected [2]time.Duration // of the next call; the normal one is 360 ms
	}{
		"not stated":      {paces: []wire.Pace{0}, expected: [2]time.Duration{ms(360), ms(360)}},
		"normal":          {paces: []wire.Pace{1}, expected: [2]time.Duration{ms(360), ms(360)}},
		"slow":            {paces: []wire.Pace{1.5}, expected: [2]time.Duration{ms(390), ms(450)}},
		"fast":            {paces: []wire.Pace{0.5}, expected: [2]time.Duration{ms(260), ms(300)}},
		"implausible":     {paces: []wire.Pace{100}, expected: [2]time.Duration{ms(360), ms(520)}},
		"two seconds ago": {paces: []wire.Pace{1.5}, age: 2 * time.Second, expected: [2]time.Duration{ms(360), ms(363)}},
		"always false":    {paces: []wire.Pace{4, 4, 4, 4, 4, 4, 4, 4, 4}, expected: [2]time.Duration{ms(360), ms(375)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(map[ident.ServiceName]int{"a": 1}, 1e6)
			var expected time.Duration // of the latest call
			for i := range len(test.paces) + 1 {
				_, err := h.submit(job("a", 8, time.Minute))
				c.Assert(err, qt.IsNil)
				h.plan()
				c.Assert(h.calls, qt.HasLen, 1)
				expected = h.calls[0].Expected
				if i < len(test.paces) {
					h.now = h.now.Add(ms(360))
					h.report(h.calls[0].Upstream, loadreport.Completed, wire.Load{Running: 1, Slots: 1, Pace: test.paces[i]})
					h.complete(0)
					h.now = h.now.Add(test.age)
				}
			}
			c.Check(expected >= test.expected[0] && expected <= test.expected[1], qt.IsTrue, qt.Commentf("expected %s", expected))
		})
	}
}
