package batch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against work that waits although an upstream is idle, and against small
// batches while all upstreams are busy.
func TestBatchesFillWhileBusy(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"a": 2}, 1e6)
	for range 2 {
		_, err := h.submit(job("a", 1, 5*time.Second))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(h.plan().Calls, qt.HasLen, 2, qt.Commentf("idle upstreams share the work"))
	for range 6 {
		h.now = h.now.Add(ms(10))
		_, err := h.submit(job("a", 2, 5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(h.plan().Calls, qt.HasLen, 0)
	}
	h.now = start.Add(ms(220))
	h.complete(0)
	h.complete(0)
	h.plan()
	items := 0
	for _, call := range h.calls {
		items += len(call.Items)
	}
	c.Assert(h.calls, qt.HasLen, 2)
	c.Assert(items, qt.Equals, 12, qt.Commentf("all waiting items"))
}

// Guards against a batch that is larger than the upstream accepts.
func TestBatchSize(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"a": 1}, 1e6)
	_, err := h.submit(job("a", 20, 5*time.Second))
	c.Assert(err, qt.IsNil)
	for _, want := range []int{8, 8, 4} {
		h.plan()
		c.Assert(h.calls, qt.HasLen, 1)
		c.Assert(h.calls[0].Items, qt.HasLen, want)
		h.now = h.now.Add(h.calls[0].Expected)
		h.complete(0)
	}
	h.plan()
	c.Assert(h.done[1].Inputs, qt.HasLen, 20)
}

// Guards against work that is late in any case and runs before work that can be on time.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		objectives []time.Duration // of jobs that wait while the upstream is busy
		want       []string        // items of the next batch
	}{
		"earlier objective first":      {objectives: []time.Duration{3 * time.Second, 2 * time.Second}, want: []string{"3.0.0", "3.0.1", "3.0.2", "3.0.3", "3.0.4", "3.0.5", "3.0.6", "3.0.7"}},
		"late work after work on time": {objectives: []time.Duration{2 * time.Second, ms(1100)}, want: []string{"2.0.0", "2.0.1", "2.0.2", "2.0.3", "2.0.4", "2.0.5", "2.0.6", "2.0.7"}},
		"only late work":               {objectives: []time.Duration{ms(1100)}, want: []string{"2.0.0", "2.0.1", "2.0.2", "2.0.3", "2.0.4", "2.0.5", "2.0.6", "2.0.7"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(map[ident.ServiceName]int{"a": 1}, 1e6)
			_, err := h.submit(job("a", 1, 5*time.Second))
			c.Assert(err, qt.IsNil)
			h.plan()
			for _, objective := range test.objectives {
				_, err := h.submit(job("a", 8, objective))
				c.Assert(err, qt.IsNil)
			}
			h.now = start.Add(ms(800)) // the call takes longer than expected
			h.complete(0)
			h.plan()
			c.Assert(h.calls, qt.HasLen, 1)
			c.Assert(requests(h.calls[0]), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a stage that runs without all results that it needs, or with
// results of another request.
func TestInputs(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"a": 1, "b": 1}, 1e6)
	j := job("a", 2, 5*time.Second)
	j.Stages = append(j.Stages, batch.Stage{
		Service: "b",
		Kind:    "l",
		After:   []int{0},
		Pieces:  1,
		Bytes:   10,
	})
	_, err := h.submit(j)
	c.Assert(err, qt.IsNil)
	h.plan()
	c.Assert(h.calls, qt.HasLen, 1)
	c.Check(h.calls[0].Items[0].Key, qt.Equals, "key")
	c.Check(h.calls[0].Items[0].Inputs, qt.HasLen, 0)
	h.now = h.now.Add(ms(240))
	h.complete(0)
	h.plan()
	c.Assert(h.calls, qt.HasLen, 1)
	c.Check(h.calls[0].Items[0].Key, qt.Equals, "")
	c.Check(h.calls[0].Items[0].Inputs, qt.DeepEquals, []wire.Handle{"a0/1", "a0/2"})
	h.now = h.now.Add(ms(220))
	h.complete(0)
	h.plan()
	c.Check(h.done[1].Inputs, qt.DeepEquals, []wire.Handle{"b0/3"})
	c.Check(h.held, qt.DeepEquals, map[wire.Handle]bool{"b0/3": true}, qt.Commentf("inputs are released"))
	h.Cancel(1)
	h.plan()
	c.Check(h.held, qt.HasLen, 0)
}

// Guards against calls for results that do not fit into the capacity of their
// upstream, which would not run them, and against an upstream that is considered full
// for good.
func TestCapacity(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"a": 1}, 500)
	for range 3 {
		_, err := h.submit(job("a", 3, 5*time.Second))
		c.Assert(err, qt.IsNil)
	}
	h.plan()
	c.Assert(h.calls[0].Items, qt.HasLen, 5)
	h.now = h.now.Add(ms(300))
	h.complete(0)
	c.Assert(h.plan().Calls, qt.HasLen, 0, qt.Commentf("no free capacity"))
	h.Cancel(1)
	h.plan()
	c.Assert(h.calls, qt.HasLen, 1)
	c.Assert(h.calls[0].Items, qt.HasLen, 3)

	// The upstream holds results that the scheduler does not know of.
	h.now = h.now.Add(ms(300))
	h.finish(0, func(wire.Item) wire.ItemStatus { return wire.ItemNoCapacity })
	c.Assert(h.plan().Calls, qt.HasLen, 0)
	h.now = h.now.Add(time.Second)
	c.Assert(h.plan().Calls, qt.HasLen, 1)
}

// Guards against requests that fail after a few calls because their upstream still
// holds the results of a coordinator that has ended.
func TestForeignResults(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"a": 1}, 500)
	large, err := h.submit(job("a", 4, 5*time.Second))
	c.Assert(err, qt.IsNil)
	h.plan()
	taken := int64(400)
	for range 6 {
		h.now = h.now.Add(ms(300))
		if len(h.calls) == 0 {
			h.plan()
			continue
		}
		free := 500 - taken
		h.finish(0, func(wire.Item) wire.ItemStatus {
			if free < 100 {
				return wire.ItemNoCapacity
			}
			free -= 100
			return wire.ItemDone
		})
		h.plan()
	}
	c.Check(h.done, qt.HasLen, 0, qt.Commentf("the request waits for free capacity"))

	small := job("a", 1, 5*time.Second)
	small.Stages[0].Bytes = 1
	small.Stages[0].Kind = "small"
	_, err = h.submit(small)
	c.Assert(err, qt.IsNil)
	h.plan()
	for len(h.calls) > 0 {
		h.now = h.now.Add(ms(300))
		h.complete(0)
		h.plan()
	}
	c.Check(h.done, qt.HasLen, 1, qt.Commentf("a small result fits alongside the others"))

	h.now = h.now.Add(4 * time.Second)
	h.plan()
	for len(h.calls) > 0 {
		h.now = h.now.Add(ms(300))
		h.complete(0)
		h.plan()
	}
	c.Assert(h.done, qt.HasLen, 2)
	c.Check(h.done[large].Err, qt.IsNil)
}

// Guards against a stalled host whose requests hold results while others need the
// capacity, and against results that are dropped without need.
func TestUnreadResults(t *testing.T) {
	tests := map[string]struct {
		capacity int64
		dropped  bool
	}{
		"little capacity": {
			capacity: 500,
			dropped:  true,
		},
		"enough capacity": {
			capacity: 2000,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(map[ident.ServiceName]int{"a": 1}, test.capacity)
			_, err := h.submit(job("a", 4, 5*time.Second))
			c.Assert(err, qt.IsNil)
			h.plan()
			h.now = h.now.Add(ms(300))
			h.complete(0)
			c.Assert(h.plan().Done, qt.HasLen, 1)
			h.now = h.now.Add(time.Second)
			c.Check(h.plan().Evicted, qt.HasLen, 0, qt.Commentf("a model engine may take a second to read results"))
			h.now = h.now.Add(time.Second)
			c.Check(len(h.plan().Evicted) > 0, qt.Equals, test.dropped)
			c.Check(len(h.held) == 0, qt.Equals, test.dropped)
		})
	}
}

// Guards against requests that lose their place in the queue when an upstream is
// lost, and against an upstream that gets a call again immediately after a failure.
func TestLostCall(t *testing.T) {
	tests := map[string]batch.Outcome{
		"refused": batch.Refused{},
		"lost":    batch.Lost{},
	}
	for name, outcome := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(map[ident.ServiceName]int{"a": 2}, 1e6)
			_, err := h.submit(job("a", 2, 5*time.Second))
			c.Assert(err, qt.IsNil)
			h.plan()
			first := h.take(0)
			h.now = h.now.Add(ms(5))
			h.FinishCall(h.now, first.ID, outcome)
			h.plan()
			c.Assert(h.calls, qt.HasLen, 1)
			c.Check(h.calls[0].Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
			c.Check(requests(h.calls[0]), qt.DeepEquals, requests(first))
			h.now = h.now.Add(ms(240))
			h.complete(0)
			h.plan()
			c.Check(h.done[1].Err, qt.IsNil)
		})
	}
}

// Guards against calls to an upstream that has asked for none, and against requests that
// wait for it, or are refused because of it, although others are free.
func TestPausedUpstream(t *testing.T) {
	tests := map[string]struct {
		upstreams int
		waits     time.Duration // until the piece is in a call again
		refused   bool          // another request is refused meanwhile
	}{
		"one of two":  {upstreams: 2},
		"one of four": {upstreams: 4},
		"the only":    {upstreams: 1, waits: 3 * time.Second, refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(map[ident.ServiceName]int{"a": test.upstreams}, 1e6)
			_, err := h.submit(job("a", 2, 2*time.Second))
			c.Assert(err, qt.IsNil)
			h.plan()
			first := h.take(0)
			h.FinishCall(h.now, first.ID, batch.Refused{
				Pause: 3 * time.Second,
			})
			h.plan()
			_, err = h.submit(job("a", 2, 2*time.Second))
			if test.refused {
				c.Check(err, qt.ErrorIs, batch.ErrOverload)
			} else {
				c.Check(err, qt.IsNil)
			}
			for ; h.now.Before(start.Add(5 * time.Second)); h.now = h.now.Add(ms(10)) {
				for len(h.calls) > 0 {
					if h.calls[0].Upstream.ID == first.Upstream.ID {
						c.Assert(h.now.Sub(start) >= 3*time.Second, qt.IsTrue, qt.Commentf("call after %s", h.now.Sub(start)))
					}
					c.Check(h.now.Sub(start) >= test.waits, qt.IsTrue)
					h.complete(0)
				}
				h.plan()
			}
			c.Check(h.done[1].Err, qt.IsNil)
		})
	}
}

// Guards against a request that is retried without limit.
func TestFailureLimit(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"a": 1}, 1e6)
	_, err := h.submit(job("a", 1, 60*time.Second))
	c.Assert(err, qt.IsNil)
	calls := 0
	for range 100 {
		h.now = h.now.Add(time.Second)
		for range h.plan().Calls {
			calls++
			h.finish(0, func(wire.Item) wire.ItemStatus { return wire.ItemRejected })
		}
	}
	c.Assert(h.done[1].Err, qt.ErrorIs, batch.ErrFailed)
	c.Assert(calls, qt.Equals, 4)
}

// Guards against a request that waits for upstreams until its deadline although it is
// known that they cannot finish it in time.
func TestDeadline(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"a": 1}, 1e6)
	late := job("a", 8, 5*time.Second)
	late.Deadline = start.Add(ms(300))
	_, err := h.submit(late)
	c.Check(err, qt.ErrorIs, batch.ErrOverload, qt.Commentf("the call takes 360 ms"))

	_, err = h.submit(job("a", 8, 5*time.Second))
	c.Assert(err, qt.IsNil)
	h.plan()
	waits := job("a", 1, 5*time.Second)
	waits.Deadline = start.Add(ms(1000))
	id, err := h.submit(waits)
	c.Assert(err, qt.IsNil)
	wake := h.plan().Wake
	c.Assert(wake.Before(start.Add(ms(1000))), qt.IsTrue, qt.Commentf("the call in progress does not end"))
	h.now = start.Add(ms(800))
	h.plan()
	c.Assert(h.done[id].Err, qt.ErrorIs, batch.ErrOverload)
}

// Guards against jobs that are accepted without an upstream to run them.
func TestNoUpstream(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"a": 0}, 1e6)
	_, err := h.submit(job("a", 1, 5*time.Second))
	c.Check(err, qt.ErrorIs, batch.ErrNoUpstream)
	_, err = h.submit(job("unknown", 1, 5*time.Second))
	c.Check(err, qt.ErrorIs, batch.ErrNoUpstream)
	id, err := h.submit(job("a", 0, 5*time.Second))
	c.Check(err, qt.IsNil, qt.Commentf("a job without pieces"))
	h.plan()
	c.Check(h.done[id].Err, qt.IsNil)
}

// Guards against an item in two calls at once, results that are released twice or
// never, jobs that end twice or never, and batches beyond the limits, for any order
// of events.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 2000
		h := newHarness(map[ident.ServiceName]int{"a": 2, "b": 2}, capacity)
		running := make(map[string]bool)
		open := make(map[batch.JobID]bool)
		ended := make(map[batch.JobID]bool)
		observe := func() {
			before := len(h.done)
			actions := h.plan()
			if len(h.done)-before != len(actions.Done) {
				t.Fatalf("a job ended twice")
			}
			for _, done := range actions.Done {
				if !open[done.Job] || ended[done.Job] {
					t.Fatalf("job %d ends, but it is not open", done.Job)
				}
				ended[done.Job] = true
			}
			for _, call := range actions.Calls {
				if len(call.Items) == 0 || len(call.Items) > 8 {
					t.Fatalf("call with %d items", len(call.Items))
				}
				for _, item := range requests(call) {
					if running[item] {
						t.Fatalf("item %s is in two calls", item)
					}
					running[item] = true
				}
			}
		}
		end := func(i, outcome int) {
			call := h.calls[i]
			for _, item := range requests(call) {
				delete(running, item)
			}
			switch outcome {
			case 0:
				h.FinishCall(h.now, h.take(i).ID, batch.Refused{})
			case 1:
				h.FinishCall(h.now, h.take(i).ID, batch.Lost{})
			case 2:
				h.finish(i, func(item wire.Item) wire.ItemStatus {
					return wire.ItemStatus(1 + (item.Piece+item.Stage)%int(wire.ItemRejected))
				})
			default:
				h.complete(i)
			}
		}
		h.SetSlackAware(rapid.Bool().Draw(t, "slack-aware"))
		steps := rapid.IntRange(1, 100).Draw(t, "steps")
		for range steps {
			h.now = h.now.Add(ms(rapid.IntRange(0, 400).Draw(t, "pause")))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				j := job("a", rapid.IntRange(0, 4).Draw(t, "pieces"), 0)
				j.Objective = h.now.Add(ms(rapid.IntRange(0, 4000).Draw(t, "objective")))
				j.Deadline = j.Objective.Add(2 * time.Second)
				j.Rank = batch.Rank(rapid.IntRange(0, 2).Draw(t, "rank"))
				j.Stages = append(j.Stages, batch.Stage{
					Service: "b",
					Kind:    "l",
					After:   []int{0},
					Pieces:  rapid.IntRange(0, 10).Draw(t, "more pieces"),
					Bytes:   200,
				})
				if id, err := h.submit(j); err == nil {
					open[id] = true
				}
			case 2, 3:
				if len(h.calls) > 0 {
					end(rapid.IntRange(0, len(h.calls)-1).Draw(t, "call"), rapid.IntRange(0, 9).Draw(t, "outcome"))
				}
			case 4:
				id := batch.JobID(rapid.IntRange(1, int(h.lastJob)+1).Draw(t, "cancelled"))
				h.Cancel(id)
				if !ended[id] {
					delete(open, id)
				}
			case 5: // another table is in force
				h.SetSlackAware(rapid.Bool().Draw(t, "slack-aware"))
			}
			observe()
		}
		for range 400 {
			if len(h.calls) == 0 && len(open) == len(ended) {
				break
			}
			h.now = h.now.Add(ms(50))
			for len(h.calls) > 0 {
				end(0, 9)
			}
			observe()
		}
		for id := range open {
			if !ended[id] {
				t.Fatalf("job %d never ends", id)
			}
			h.Cancel(id)
		}
		observe()
		if len(h.held) > 0 {
			t.Fatalf("results are never released: %v", h.held)
		}
	})
}

// Guards against calls and requests that use results which their upstreams have
// already dropped: these fail, but only after a round trip.
func TestExpiredResults(t *testing.T) {
	two := func() batch.Job {
		j := job("a", 1, 20*time.Second)
		j.Stages = append(j.Stages, batch.Stage{
			Service: "b",
			Kind:    "l",
			After:   []int{0},
			Pieces:  2,
			Bytes:   10,
		})
		return j
	}
	t.Run("inputs", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(map[ident.ServiceName]int{"a": 1, "b": 1}, 1e6)
		_, err := h.submit(two())
		c.Assert(err, qt.IsNil)
		h.plan()
		h.now = h.now.Add(ms(220))
		h.complete(0)
		h.plan()
		lost := h.take(0)
		h.now = h.now.Add(5 * time.Second)
		h.FinishCall(h.now, lost.ID, batch.Lost{})
		h.plan()
		c.Assert(h.calls, qt.HasLen, 1)
		c.Check(h.calls[0].Items[0].Stage, qt.Equals, 0, qt.Commentf("the input is created again"))
		c.Check(h.held, qt.HasLen, 0)
	})
	t.Run("results of the job", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(map[ident.ServiceName]int{"a": 1}, 1e6)
		_, err := h.submit(job("a", 2, 20*time.Second))
		c.Assert(err, qt.IsNil)
		h.plan()
		h.now = h.now.Add(ms(240))
		first := true
		h.finish(0, func(wire.Item) wire.ItemStatus {
			if first {
				first = false
				return wire.ItemDone
			}
			return wire.ItemNoCapacity
		})
		h.now = h.now.Add(5 * time.Second)
		h.plan()
		h.now = h.now.Add(ms(240))
		h.complete(0)
		h.plan()
		c.Check(h.done, qt.HasLen, 0, qt.Commentf("the result of the first piece has expired"))
		c.Assert(h.calls, qt.HasLen, 1)
		c.Check(h.calls[0].Items, qt.HasLen, 2)
	})
}
