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
	w := newWorld(map[ident.ServiceName]int{"a": 2}, 1e6)
	for range 2 {
		_, err := w.submit(job("a", 1, 5*time.Second))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(w.act().Calls, qt.HasLen, 2, qt.Commentf("idle upstreams share the work"))
	for range 6 {
		w.now = w.now.Add(ms(10))
		_, err := w.submit(job("a", 2, 5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(w.act().Calls, qt.HasLen, 0)
	}
	w.now = start.Add(ms(220))
	w.complete(0)
	w.complete(0)
	w.act()
	items := 0
	for _, call := range w.calls {
		items += len(call.Items)
	}
	c.Assert(w.calls, qt.HasLen, 2)
	c.Assert(items, qt.Equals, 12, qt.Commentf("all that waited"))
}

// Guards against a batch that is larger than the upstream takes.
func TestBatchSize(t *testing.T) {
	c := qt.New(t)
	w := newWorld(map[ident.ServiceName]int{"a": 1}, 1e6)
	_, err := w.submit(job("a", 20, 5*time.Second))
	c.Assert(err, qt.IsNil)
	for _, want := range []int{8, 8, 4} {
		w.act()
		c.Assert(w.calls, qt.HasLen, 1)
		c.Assert(w.calls[0].Items, qt.HasLen, want)
		w.now = w.now.Add(w.calls[0].Expected)
		w.complete(0)
	}
	w.act()
	c.Assert(w.done[1].Inputs, qt.HasLen, 20)
}

// Guards against work that is late anyway and goes before work that can be on time.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		objectives []time.Duration // of jobs that wait while the upstream is busy
		want       []string        // the next batch
	}{
		"earlier objective first":        {objectives: []time.Duration{3 * time.Second, 2 * time.Second}, want: []string{"3.0.0", "3.0.1", "3.0.2", "3.0.3", "3.0.4", "3.0.5", "3.0.6", "3.0.7"}},
		"late work after work on time":   {objectives: []time.Duration{2 * time.Second, ms(1100)}, want: []string{"2.0.0", "2.0.1", "2.0.2", "2.0.3", "2.0.4", "2.0.5", "2.0.6", "2.0.7"}},
		"late work when nothing else is": {objectives: []time.Duration{ms(1100)}, want: []string{"2.0.0", "2.0.1", "2.0.2", "2.0.3", "2.0.4", "2.0.5", "2.0.6", "2.0.7"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(map[ident.ServiceName]int{"a": 1}, 1e6)
			_, err := w.submit(job("a", 1, 5*time.Second))
			c.Assert(err, qt.IsNil)
			w.act()
			for _, objective := range test.objectives {
				_, err := w.submit(job("a", 8, objective))
				c.Assert(err, qt.IsNil)
			}
			w.now = start.Add(ms(800)) // the call takes longer than expected
			w.complete(0)
			w.act()
			c.Assert(w.calls, qt.HasLen, 1)
			c.Assert(requests(w.calls[0]), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a stage that runs without all results that it needs, or with
// those of another request.
func TestInputs(t *testing.T) {
	c := qt.New(t)
	w := newWorld(map[ident.ServiceName]int{"a": 1, "b": 1}, 1e6)
	j := job("a", 2, 5*time.Second)
	j.Stages = append(j.Stages, batch.Stage{
		Service: "b",
		Kind:    "l",
		After:   []int{0},
		Pieces:  1,
		Bytes:   10,
	})
	_, err := w.submit(j)
	c.Assert(err, qt.IsNil)
	w.act()
	c.Assert(w.calls, qt.HasLen, 1)
	c.Check(w.calls[0].Items[0].Key, qt.Equals, "key")
	c.Check(w.calls[0].Items[0].Inputs, qt.HasLen, 0)
	w.now = w.now.Add(ms(240))
	w.complete(0)
	w.act()
	c.Assert(w.calls, qt.HasLen, 1)
	c.Check(w.calls[0].Items[0].Key, qt.Equals, "")
	c.Check(w.calls[0].Items[0].Inputs, qt.DeepEquals, []wire.Handle{"a0/1", "a0/2"})
	w.now = w.now.Add(ms(220))
	w.complete(0)
	w.act()
	c.Check(w.done[1].Inputs, qt.DeepEquals, []wire.Handle{"b0/3"})
	c.Check(w.held, qt.DeepEquals, map[wire.Handle]bool{"b0/3": true}, qt.Commentf("inputs are released"))
	w.Cancel(1)
	w.act()
	c.Check(w.held, qt.HasLen, 0)
}

// Guards against calls for results that their upstream has no room for, which
// would be rejected, and against an upstream that counts as full for good.
func TestRoom(t *testing.T) {
	c := qt.New(t)
	w := newWorld(map[ident.ServiceName]int{"a": 1}, 500)
	for range 3 {
		_, err := w.submit(job("a", 3, 5*time.Second))
		c.Assert(err, qt.IsNil)
	}
	w.act()
	c.Assert(w.calls[0].Items, qt.HasLen, 5)
	w.now = w.now.Add(ms(300))
	w.complete(0)
	c.Assert(w.act().Calls, qt.HasLen, 0, qt.Commentf("no room"))
	w.Cancel(1)
	w.act()
	c.Assert(w.calls, qt.HasLen, 1)
	c.Assert(w.calls[0].Items, qt.HasLen, 3)

	// The upstream holds results that the scheduler does not know of.
	w.now = w.now.Add(ms(300))
	w.finish(0, func(wire.Item) wire.ItemStatus { return wire.ItemNoRoom })
	c.Assert(w.act().Calls, qt.HasLen, 0)
	w.now = w.now.Add(time.Second)
	c.Assert(w.act().Calls, qt.HasLen, 1)
}

// Guards against requests that fail after a few calls because their upstream
// still holds the results of a coordinator that has ended.
func TestForeignResults(t *testing.T) {
	c := qt.New(t)
	w := newWorld(map[ident.ServiceName]int{"a": 1}, 500)
	large, err := w.submit(job("a", 4, 5*time.Second))
	c.Assert(err, qt.IsNil)
	w.act()
	taken := int64(400)
	for range 6 {
		w.now = w.now.Add(ms(300))
		if len(w.calls) == 0 {
			w.act()
			continue
		}
		free := 500 - taken
		w.finish(0, func(wire.Item) wire.ItemStatus {
			if free < 100 {
				return wire.ItemNoRoom
			}
			free -= 100
			return wire.ItemDone
		})
		w.act()
	}
	c.Check(w.done, qt.HasLen, 0, qt.Commentf("the request waits for room"))

	small := job("a", 1, 5*time.Second)
	small.Stages[0].Bytes = 1
	small.Stages[0].Kind = "small"
	_, err = w.submit(small)
	c.Assert(err, qt.IsNil)
	w.act()
	for len(w.calls) > 0 {
		w.now = w.now.Add(ms(300))
		w.complete(0)
		w.act()
	}
	c.Check(w.done, qt.HasLen, 1, qt.Commentf("a small result fits beside the others"))

	w.now = w.now.Add(4 * time.Second)
	w.act()
	for len(w.calls) > 0 {
		w.now = w.now.Add(ms(300))
		w.complete(0)
		w.act()
	}
	c.Assert(w.done, qt.HasLen, 2)
	c.Check(w.done[large].Err, qt.IsNil)
}

// Guards against a host that stands still and keeps the results of its requests
// where others need the room, and against results that are dropped without need.
func TestUnreadResults(t *testing.T) {
	tests := map[string]struct {
		room    int64
		dropped bool
	}{
		"little room": {
			room:    500,
			dropped: true,
		},
		"enough room": {
			room: 2000,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(map[ident.ServiceName]int{"a": 1}, test.room)
			_, err := w.submit(job("a", 4, 5*time.Second))
			c.Assert(err, qt.IsNil)
			w.act()
			w.now = w.now.Add(ms(300))
			w.complete(0)
			c.Assert(w.act().Done, qt.HasLen, 1)
			w.now = w.now.Add(time.Second)
			c.Check(w.act().Unread, qt.HasLen, 0, qt.Commentf("a model engine may take a second"))
			w.now = w.now.Add(time.Second)
			c.Check(len(w.act().Unread) > 0, qt.Equals, test.dropped)
			c.Check(len(w.held) == 0, qt.Equals, test.dropped)
		})
	}
}

// Guards against requests that lose their place although only an upstream was
// lost, and against an upstream that is asked again at once.
func TestLostCall(t *testing.T) {
	tests := map[string]batch.Outcome{
		"refused": batch.Refused{},
		"lost":    batch.Lost{},
	}
	for name, outcome := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(map[ident.ServiceName]int{"a": 2}, 1e6)
			_, err := w.submit(job("a", 2, 5*time.Second))
			c.Assert(err, qt.IsNil)
			w.act()
			first := w.take(0)
			w.now = w.now.Add(ms(5))
			w.Finish(w.now, first.ID, outcome)
			w.act()
			c.Assert(w.calls, qt.HasLen, 1)
			c.Check(w.calls[0].Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
			c.Check(requests(w.calls[0]), qt.DeepEquals, requests(first))
			w.now = w.now.Add(ms(240))
			w.complete(0)
			w.act()
			c.Check(w.done[1].Err, qt.IsNil)
		})
	}
}

// Guards against a request that is tried for ever.
func TestGivesUp(t *testing.T) {
	c := qt.New(t)
	w := newWorld(map[ident.ServiceName]int{"a": 1}, 1e6)
	_, err := w.submit(job("a", 1, 60*time.Second))
	c.Assert(err, qt.IsNil)
	calls := 0
	for range 100 {
		w.now = w.now.Add(time.Second)
		for range w.act().Calls {
			calls++
			w.finish(0, func(wire.Item) wire.ItemStatus { return wire.ItemRejected })
		}
	}
	c.Assert(w.done[1].Err, qt.ErrorIs, batch.ErrFailed)
	c.Assert(calls, qt.Equals, 4)
}

// Guards against a request that waits for upstreams until its deadline although
// it is known that they will not finish it.
func TestDeadline(t *testing.T) {
	c := qt.New(t)
	w := newWorld(map[ident.ServiceName]int{"a": 1}, 1e6)
	late := job("a", 8, 5*time.Second)
	late.Deadline = start.Add(ms(300))
	_, err := w.submit(late)
	c.Check(err, qt.ErrorIs, batch.ErrOverload, qt.Commentf("it takes 360 ms"))

	_, err = w.submit(job("a", 8, 5*time.Second))
	c.Assert(err, qt.IsNil)
	w.act()
	waits := job("a", 1, 5*time.Second)
	waits.Deadline = start.Add(ms(1000))
	id, err := w.submit(waits)
	c.Assert(err, qt.IsNil)
	wake := w.act().Wake
	c.Assert(wake.Before(start.Add(ms(1000))), qt.IsTrue, qt.Commentf("the call does not end"))
	w.now = start.Add(ms(800))
	w.act()
	c.Assert(w.done[id].Err, qt.ErrorIs, batch.ErrOverload)
}

// Guards against jobs that are accepted without an upstream to run them.
func TestNoUpstream(t *testing.T) {
	c := qt.New(t)
	w := newWorld(map[ident.ServiceName]int{"a": 0}, 1e6)
	_, err := w.submit(job("a", 1, 5*time.Second))
	c.Check(err, qt.ErrorIs, batch.ErrNoUpstream)
	_, err = w.submit(job("unknown", 1, 5*time.Second))
	c.Check(err, qt.ErrorIs, batch.ErrNoUpstream)
	id, err := w.submit(job("a", 0, 5*time.Second))
	c.Check(err, qt.IsNil, qt.Commentf("nothing to do"))
	w.act()
	c.Check(w.done[id].Err, qt.IsNil)
}

// Guards against an item in two calls at once, results that are released twice
// or never, jobs that end twice or never, and batches beyond the limits,
// whatever the order of events.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const room = 2000
		w := newWorld(map[ident.ServiceName]int{"a": 2, "b": 2}, room)
		running := make(map[string]bool)
		open := make(map[batch.JobID]bool)
		ended := make(map[batch.JobID]bool)
		observe := func() {
			before := len(w.done)
			actions := w.act()
			if len(w.done)-before != len(actions.Done) {
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
			call := w.calls[i]
			for _, item := range requests(call) {
				delete(running, item)
			}
			switch outcome {
			case 0:
				w.Finish(w.now, w.take(i).ID, batch.Refused{})
			case 1:
				w.Finish(w.now, w.take(i).ID, batch.Lost{})
			case 2:
				w.finish(i, func(item wire.Item) wire.ItemStatus {
					return wire.ItemStatus(1 + (item.Piece+item.Stage)%int(wire.ItemRejected))
				})
			default:
				w.complete(i)
			}
		}
		steps := rapid.IntRange(1, 100).Draw(t, "steps")
		for range steps {
			w.now = w.now.Add(ms(rapid.IntRange(0, 400).Draw(t, "pause")))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				j := job("a", rapid.IntRange(0, 4).Draw(t, "pieces"), 0)
				j.Objective = w.now.Add(ms(rapid.IntRange(0, 4000).Draw(t, "objective")))
				j.Deadline = j.Objective.Add(2 * time.Second)
				j.Rank = batch.Rank(rapid.IntRange(0, 2).Draw(t, "rank"))
				j.Stages = append(j.Stages, batch.Stage{
					Service: "b",
					Kind:    "l",
					After:   []int{0},
					Pieces:  rapid.IntRange(0, 10).Draw(t, "more pieces"),
					Bytes:   200,
				})
				if id, err := w.submit(j); err == nil {
					open[id] = true
				}
			case 2, 3:
				if len(w.calls) > 0 {
					end(rapid.IntRange(0, len(w.calls)-1).Draw(t, "call"), rapid.IntRange(0, 9).Draw(t, "outcome"))
				}
			case 4:
				id := batch.JobID(rapid.IntRange(1, int(w.last)+1).Draw(t, "cancelled"))
				w.Cancel(id)
				if !ended[id] {
					delete(open, id)
				}
			}
			observe()
		}
		for range 400 {
			if len(w.calls) == 0 && len(open) == len(ended) {
				break
			}
			w.now = w.now.Add(ms(50))
			for len(w.calls) > 0 {
				end(0, 9)
			}
			observe()
		}
		for id := range open {
			if !ended[id] {
				t.Fatalf("job %d never ends", id)
			}
			w.Cancel(id)
		}
		observe()
		if len(w.held) > 0 {
			t.Fatalf("results are never released: %v", w.held)
		}
	})
}

// Guards against calls and requests with results that their upstreams have
// dropped since, which are refused after the way there and back.
func TestLapsedResults(t *testing.T) {
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
		w := newWorld(map[ident.ServiceName]int{"a": 1, "b": 1}, 1e6)
		_, err := w.submit(two())
		c.Assert(err, qt.IsNil)
		w.act()
		w.now = w.now.Add(ms(220))
		w.complete(0)
		w.act()
		lost := w.take(0)
		w.now = w.now.Add(5 * time.Second)
		w.Finish(w.now, lost.ID, batch.Lost{})
		w.act()
		c.Assert(w.calls, qt.HasLen, 1)
		c.Check(w.calls[0].Items[0].Stage, qt.Equals, 0, qt.Commentf("the input is made again"))
		c.Check(w.held, qt.HasLen, 0)
	})
	t.Run("answer", func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(map[ident.ServiceName]int{"a": 1}, 1e6)
		_, err := w.submit(job("a", 2, 20*time.Second))
		c.Assert(err, qt.IsNil)
		w.act()
		w.now = w.now.Add(ms(240))
		first := true
		w.finish(0, func(wire.Item) wire.ItemStatus {
			if first {
				first = false
				return wire.ItemDone
			}
			return wire.ItemNoRoom
		})
		w.now = w.now.Add(5 * time.Second)
		w.act()
		w.now = w.now.Add(ms(240))
		w.complete(0)
		w.act()
		c.Check(w.done, qt.HasLen, 0, qt.Commentf("the first piece is gone"))
		c.Assert(w.calls, qt.HasLen, 1)
		c.Check(w.calls[0].Items, qt.HasLen, 2)
	})
}
