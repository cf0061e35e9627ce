package batch_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
)

// newSlackHarness returns a slack-aware scheduler with one service, whose recent urgent
// arrivals reserve all upstreams.
func newSlackHarness(c *qt.C, upstreams int) *harness {
	h := newHarness(map[ident.ServiceName]int{"a": upstreams}, 1e6)
	h.SetSlackAware(true)
	for range 8 {
		id, err := h.submit(job("a", 1, ms(400)))
		c.Assert(err, qt.IsNil)
		h.Cancel(id)
	}
	h.plan()
	return h
}

// step goes on to the end of the first call or, if none is in progress, to the time at which
// the scheduler wants to plan.
func (h *harness) step(c *qt.C, actions batch.Actions) batch.Actions {
	if len(h.calls) > 0 {
		h.now = h.ends[h.calls[0].ID]
		h.complete(0)
	} else {
		c.Assert(actions.Wake.After(h.now), qt.IsTrue, qt.Commentf("held without a wake"))
		h.now = actions.Wake
	}
	return h.plan()
}

// Guards against work with slack that takes an idle upstream which urgent work needs, that
// is held although its call is nearly full or urgent work starts a call, or that is held
// beyond its latest start because no event occurs.
func TestHeldWork(t *testing.T) {
	const objective = 3 * time.Second
	tests := map[string]struct {
		pieces int           // of another job with slack
		urgent bool          // urgent work arrives
		lost   bool          // the first call is lost
		items  int           // in the first call
		waits  time.Duration // until the first call, at least
	}{
		"alone":              {items: 1, waits: 2 * time.Second},
		"lost when held":     {items: 1, waits: 2 * time.Second, lost: true},
		"nearly full":        {pieces: 6, items: 7},
		"joins urgent work":  {urgent: true, items: 2},
		"lost with the call": {urgent: true, items: 2, lost: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newSlackHarness(c, 2)
			id, err := h.submit(job("a", 1, objective))
			c.Assert(err, qt.IsNil)
			if test.pieces > 0 {
				_, err := h.submit(job("a", test.pieces, objective))
				c.Assert(err, qt.IsNil)
			}
			if test.urgent {
				_, err := h.submit(job("a", 1, ms(400)))
				c.Assert(err, qt.IsNil)
			}
			actions := h.plan()
			for len(h.calls) == 0 {
				actions = h.step(c, actions)
			}
			c.Check(h.calls[0].Items, qt.HasLen, test.items)
			c.Check(h.now.Sub(start) >= test.waits, qt.IsTrue, qt.Commentf("started after %s", h.now.Sub(start)))
			if test.lost {
				h.FinishCall(h.now, h.take(0).ID, batch.Lost{})
				actions = h.plan()
			}
			for h.done[id].Job != id {
				actions = h.step(c, actions)
			}
			c.Check(h.done[id].Err, qt.IsNil)
			c.Check(h.now.Sub(start) <= objective, qt.IsTrue, qt.Commentf("ended after %s", h.now.Sub(start)))
			c.Check(actions.Predictions, qt.HasLen, len(actions.Done))
		})
	}
}

// Guards against urgent work that is refused or late because of accepted work with slack,
// against work with slack that is accepted in place of urgent work that will arrive, and
// against a Retry-After that is shorter than the backlog.
func TestAdmissionBySlack(t *testing.T) {
	c := qt.New(t)
	h := newSlackHarness(c, 1)
	patient := func() batch.Job {
		j := job("a", 8, 4*time.Second)
		j.Rank, j.Stages[0].Kind = 2, "patient"
		return j
	}
	accepted := 0
	var err error
	for ; err == nil && accepted < 50; accepted++ {
		_, err = h.submit(patient())
		h.plan()
	}
	c.Check(accepted > 3 && accepted < 11, qt.IsTrue, qt.Commentf("%d calls of 360 ms", accepted))
	var overload *batch.Overload
	c.Assert(errors.As(err, &overload), qt.IsTrue)
	c.Check(overload.Delay > overload.Limit, qt.IsTrue)
	c.Check(overload.RetryAfter() >= overload.Delay-overload.Limit, qt.IsTrue)

	chat := job("a", 1, 2*time.Second)
	chat.Rank = 1
	id, err := h.submit(chat)
	c.Assert(err, qt.IsNil)
	for h.done[id].Job != id {
		h.step(c, batch.Actions{})
	}
	c.Check(h.done[id].Err, qt.IsNil)
	c.Check(h.now.Sub(start) <= 2*time.Second, qt.IsTrue, qt.Commentf("ended after %s", h.now.Sub(start)))

	late := job("a", 1, ms(100))
	_, err = h.submit(late)
	c.Check(err, qt.IsNil, qt.Commentf("an urgent rank takes no capacity from its own"))
	late.Rank = 2
	_, err = h.submit(late)
	c.Check(err, qt.ErrorIs, batch.ErrOverload, qt.Commentf("takes capacity from work that can be on time"))
}

// Guards against a kind that is not served at all while more urgent kinds need more than
// the capacity.
func TestFloor(t *testing.T) {
	c := qt.New(t)
	h := newSlackHarness(c, 2)
	submitted, accepted := make(map[batch.Rank]float64), make(map[batch.Rank]float64)
	for i := range 4000 {
		j := job("a", 1, h.now.Sub(start)+time.Second)
		if i%4 == 0 {
			j = job("a", 1, h.now.Sub(start)+4*time.Second)
			j.Rank, j.Stages[0].Kind = 2, "patient"
		}
		submitted[j.Rank]++
		if _, err := h.submit(j); err == nil {
			accepted[j.Rank]++
		}
		h.plan()
		h.advance(h.now.Add(ms(10)))
	}
	all := (accepted[0] + accepted[2]) / (submitted[0] + submitted[2])
	c.Check(all < 0.7, qt.IsTrue, qt.Commentf("overload, %.3f accepted", all))
	c.Check(h.failed < 40, qt.IsTrue, qt.Commentf("%d accepted jobs failed", h.failed))
	c.Check(accepted[2]/submitted[2] > all/4, qt.IsTrue, qt.Commentf("%.0f of %.0f accepted", accepted[2], submitted[2]))
}
