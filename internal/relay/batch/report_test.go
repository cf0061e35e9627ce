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
	verdict, _ := h.Observe(h.now, loadreport.Report{
		Upstream: upstream,
		Load:     load,
		Source:   source,
		At:       h.now,
	})
	return verdict
}

// Guards against calls that a full upstream refuses again and again, as after a coordinator
// was lost with calls in progress, and against false reports that keep an upstream idle.
func TestRefusedByFullUpstream(t *testing.T) {
	tests := map[string]struct {
		load  wire.Load
		first time.Duration // until the next call
		next  time.Duration // until the call after a second refusal
	}{
		// A call with half of the items takes 280 ms.
		"full":              {load: wire.Load{Running: 1, Waiting: 2, Slots: 1}, first: ms(700), next: ms(700)},
		"claims a million":  {load: wire.Load{Running: 1e6, Waiting: 1e6, Slots: 1}, first: ms(700), next: ms(700)},
		"claims to be idle": {load: wire.Load{Slots: 1}, first: ms(40), next: ms(80)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(map[ident.ServiceName]int{"a": 1}, 1e6)
			_, err := h.submit(job("a", 2, 5*time.Second))
			c.Assert(err, qt.IsNil)
			h.plan()
			for _, wait := range []time.Duration{test.first, test.next} {
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
// busy with those of its predecessor, or that applies the report of an earlier incarnation.
func TestBusyWithOtherCalls(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"a": 2}, 1e6)
	busy := fleet.Upstream{
		ID:      "a0",
		Address: "a0",
	}
	full := wire.Load{Running: 1, Waiting: 1, Slots: 1}
	earlier := busy
	earlier.Started = 1
	c.Check(h.report(earlier, loadreport.Health, full), qt.Equals, loadreport.Outdated)
	c.Check(h.report(busy, loadreport.Health, full), qt.Equals, loadreport.Used)
	for range 2 {
		_, err := h.submit(job("a", 8, 5*time.Second))
		c.Assert(err, qt.IsNil)
	}
	h.plan()
	c.Assert(h.calls, qt.HasLen, 1)
	c.Check(h.calls[0].Upstream.ID, qt.Equals, ident.UpstreamID("a1"))
	h.now = h.now.Add(ms(420))
	h.plan()
	c.Check(h.calls, qt.HasLen, 2)
}
