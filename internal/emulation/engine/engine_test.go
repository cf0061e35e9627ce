package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/emulation/clock"
	"github.com/nutmegshift/nutmegshift/internal/emulation/engine"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

func limits() engine.Limits {
	return engine.Limits{
		Batch:  4,
		Queue:  2,
		Memory: 10_000,
		Step:   4 * time.Millisecond,
		Slot:   time.Millisecond,
		Rate:   50,
		Chunk:  1000,
		Stride: 5,
		Speed:  1,
	}
}

func newClock() *clock.Clock { return clock.New(time.Unix(0, 0)) }

// run is what became of a request.
type run struct {
	first  time.Duration // time of the first event
	last   time.Duration
	events int
	pause  time.Duration // longest one between events
	broken bool
	full   bool
}

// ask submits a request at a time and fills in what becomes of it.
func ask(c *clock.Clock, e *engine.Engine, at time.Duration, r *engine.Request) *run {
	got := &run{}
	r.Event = func(bool) {
		now := c.Elapsed()
		if got.events == 0 {
			got.first = now
		} else {
			got.pause = max(got.pause, now-got.last)
		}
		got.events++
		got.last = now
	}
	r.Broken = func() { got.broken = true }
	c.After(at, func() { got.full = !e.Submit(r) })
	return got
}

func request(input, output int, parts ...wire.Part) *engine.Request {
	return &engine.Request{
		Prompt: wire.Prompt{
			Parts: parts,
			Input: input,
		},
		Output: output,
	}
}

// Guards against prompts that are read for nothing or at once, and against tokens
// without their time.
func TestTimes(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	e := engine.New(clock, limits(), engine.NewParts())
	got := ask(clock, e, 0, request(2500, 11))
	clock.Run()
	// Three steps read 1000, 1000 and 500 tokens, then each one makes a token.
	read := 3*4*time.Millisecond + 50*time.Millisecond
	c.Check(got.first, qt.Equals, read+5*time.Millisecond)
	c.Check(got.last, qt.Equals, read+11*5*time.Millisecond)
	c.Check(got.events, qt.Equals, 3, qt.Commentf("tokens 1, 6 and 11"))
	c.Check(e.Counts.Read, qt.Equals, 2500)
}

// Guards against a model in which long prompts do not delay the others.
func TestPromptsDelayTokens(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	e := engine.New(clock, limits(), engine.NewParts())
	first := ask(clock, e, 0, request(100, 100))
	ask(clock, e, 200*time.Millisecond, request(5000, 1))
	clock.Run()
	// Alone, five steps take 25 ms.
	c.Check(first.pause > 50*time.Millisecond, qt.IsTrue, qt.Commentf("pause %s", first.pause))
}

// Guards against parts of prompts that are found although the ones before are
// not, or not found although nothing has displaced them.
func TestCache(t *testing.T) {
	part := func(id wire.PartID, tokens int) wire.Part {
		return wire.Part{
			ID:     id,
			Tokens: tokens,
		}
	}
	tests := map[string]struct {
		second []wire.Part
		found  int
	}{
		"same prompt":     {second: []wire.Part{part("a", 500), part("b", 300)}, found: 800},
		"same beginning":  {second: []wire.Part{part("a", 500), part("c", 300)}, found: 500},
		"other beginning": {second: []wire.Part{part("c", 500), part("b", 300)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clock := newClock()
			e := engine.New(clock, limits(), engine.NewParts())
			ask(clock, e, 0, request(1000, 1, part("a", 500), part("b", 300)))
			ask(clock, e, time.Second, request(1000, 1, test.second...))
			clock.Run()
			c.Check(e.Counts.Found, qt.Equals, test.found)
		})
	}
	c := qt.New(t)
	clock := newClock()
	e := engine.New(clock, limits(), engine.NewParts())
	ask(clock, e, 0, request(1000, 1, part("a", 900)))
	ask(clock, e, time.Second, request(9500, 1))
	ask(clock, e, 2*time.Second, request(1000, 1, part("a", 900)))
	clock.Run()
	c.Check(e.Counts.Found, qt.Equals, 0, qt.Commentf("the part had to yield"))
	c.Check(e.Counts.Again, qt.Equals, 900)

	clock = newClock()
	known := engine.NewParts()
	e = engine.New(clock, limits(), known)
	other := engine.New(clock, limits(), known)
	ask(clock, e, 0, request(1000, 1, part("a", 900)))
	moved := request(1000, 1, part("a", 900))
	moved.From = e
	ask(clock, other, time.Second, moved)
	clock.Run()
	c.Check(other.Counts.Moved, qt.Equals, 900)
	c.Check(other.Counts.Read, qt.Equals, 100)
	c.Check(other.Counts.Again, qt.Equals, 0)
}

// Guards against memory without limit, and against preempted requests that never
// end.
func TestPreemption(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	e := engine.New(clock, limits(), engine.NewParts())
	urgent := ask(clock, e, 0, request(4000, 900))
	other := request(4500, 900)
	other.Rank = 1
	late := ask(clock, e, time.Millisecond, other)
	clock.Run()
	c.Check(e.Counts.Preempted > 0, qt.IsTrue)
	c.Check(urgent.last < late.last, qt.IsTrue)
	c.Check(late.events, qt.Equals, 181, qt.Commentf("all events, the first one and each fifth token"))
}

// Guards against an engine that accepts more than it can, or works on after it
// has crashed.
func TestRefusals(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	e := engine.New(clock, limits(), engine.NewParts())
	var all []*run
	for range 8 {
		all = append(all, ask(clock, e, 0, request(100, 50)))
	}
	huge := ask(clock, e, 0, request(20_000, 1))
	clock.After(100*time.Millisecond, func() { e.Crash(time.Second) })
	down := ask(clock, e, 500*time.Millisecond, request(100, 50))
	back := ask(clock, e, 2*time.Second, request(100, 50))
	clock.Run()
	full := 0
	for _, got := range all {
		if got.full {
			full++
			continue
		}
		c.Check(got.broken, qt.IsTrue)
	}
	c.Check(full, qt.Equals, 2, qt.Commentf("four run, two wait"))
	c.Check(huge.full, qt.IsTrue, qt.Commentf("larger than the memory"))
	c.Check(down.full, qt.IsTrue)
	c.Check(back.events, qt.Equals, 11)
}
