package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/emulation/clock"
	"github.com/nutmegshift/nutmegshift/internal/emulation/engine"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

func config() engine.Config {
	return engine.Config{
		MaxRunning:  4,
		MaxWaiting:  2,
		Memory:      10_000,
		StepTime:    4 * time.Millisecond,
		DecodeTime:  time.Millisecond,
		ReadRate:    50,
		ChunkTokens: 1000,
		EventTokens: 5,
		TimeFactor:  1,
	}
}

func newClock() *clock.Clock { return clock.New(time.Unix(0, 0)) }

// outcome is the outcome of a request; times are since the start of the clock.
type outcome struct {
	first    time.Duration // time of the first event
	last     time.Duration // time of the latest event
	events   int
	maxPause time.Duration // longest pause between events
	aborted  bool
	refused  bool
}

// submit schedules a request and returns its outcome, which is filled in during the
// run of the clock.
func submit(c *clock.Clock, e *engine.Engine, at time.Duration, r *engine.Request) *outcome {
	o := &outcome{}
	r.OnEvent = func(bool) {
		now := c.Elapsed()
		if o.events == 0 {
			o.first = now
		} else {
			o.maxPause = max(o.maxPause, now-o.last)
		}
		o.events++
		o.last = now
	}
	r.OnCrash = func() { o.aborted = true }
	c.After(at, func() { o.refused = !e.Submit(r) })
	return o
}

func request(input, output int, parts ...wire.Part) *engine.Request {
	return &engine.Request{
		Prompt: wire.Prompt{
			Parts: parts,
			Input: input,
		},
		OutputTokens: output,
	}
}

// Guards against prompt tokens or output tokens that take no time in the emulation.
func TestStepTimes(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	e := engine.New(clock, config(), engine.NewPartUses())
	got := submit(clock, e, 0, request(2500, 11))
	clock.Run()
	// Three steps read 1000, 1000 and 500 tokens; each later step generates a token.
	read := 3*4*time.Millisecond + 50*time.Millisecond
	c.Check(got.first, qt.Equals, read+5*time.Millisecond)
	c.Check(got.last, qt.Equals, read+11*5*time.Millisecond)
	c.Check(got.events, qt.Equals, 3, qt.Commentf("tokens 1, 6 and 11"))
	c.Check(e.Counts.Read, qt.Equals, 2500)
}

// Guards against long prompts that do not delay the tokens of other requests.
func TestPromptsDelayTokens(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	e := engine.New(clock, config(), engine.NewPartUses())
	first := submit(clock, e, 0, request(100, 100))
	submit(clock, e, 200*time.Millisecond, request(5000, 1))
	clock.Run()
	// Without the long prompt, the five steps of an event take 25 ms.
	c.Check(first.maxPause > 50*time.Millisecond, qt.IsTrue, qt.Commentf("pause %s", first.maxPause))
}

// Guards against cache hits of parts behind a part that is not cached, and against
// misses of parts that were not evicted.
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
		"same prompt":  {second: []wire.Part{part("a", 500), part("b", 300)}, found: 800},
		"same prefix":  {second: []wire.Part{part("a", 500), part("c", 300)}, found: 500},
		"other prefix": {second: []wire.Part{part("c", 500), part("b", 300)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clock := newClock()
			e := engine.New(clock, config(), engine.NewPartUses())
			submit(clock, e, 0, request(1000, 1, part("a", 500), part("b", 300)))
			submit(clock, e, time.Second, request(1000, 1, test.second...))
			clock.Run()
			c.Check(e.Counts.CacheHits, qt.Equals, test.found)
		})
	}
	c := qt.New(t)
	clock := newClock()
	e := engine.New(clock, config(), engine.NewPartUses())
	submit(clock, e, 0, request(1000, 1, part("a", 900)))
	submit(clock, e, time.Second, request(9500, 1))
	submit(clock, e, 2*time.Second, request(1000, 1, part("a", 900)))
	clock.Run()
	c.Check(e.Counts.CacheHits, qt.Equals, 0, qt.Commentf("the part was evicted"))
	c.Check(e.Counts.Reread, qt.Equals, 900)

	clock = newClock()
	partUses := engine.NewPartUses()
	e = engine.New(clock, config(), partUses)
	other := engine.New(clock, config(), partUses)
	submit(clock, e, 0, request(1000, 1, part("a", 900)))
	fetching := request(1000, 1, part("a", 900))
	fetching.CacheSource = e
	submit(clock, other, time.Second, fetching)
	clock.Run()
	c.Check(other.Counts.Fetched, qt.Equals, 900)
	c.Check(other.Counts.Read, qt.Equals, 100)
	c.Check(other.Counts.Reread, qt.Equals, 0)
}

// Guards against use of more memory than configured, and against preempted requests
// that never end.
func TestPreemption(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	e := engine.New(clock, config(), engine.NewPartUses())
	urgent := submit(clock, e, 0, request(4000, 900))
	other := request(4500, 900)
	other.Rank = 1
	late := submit(clock, e, time.Millisecond, other)
	clock.Run()
	c.Check(e.Counts.Preempted > 0, qt.IsTrue)
	c.Check(urgent.last < late.last, qt.IsTrue)
	c.Check(late.events, qt.Equals, 181, qt.Commentf("the first token and each fifth one after it"))
}

// Guards against an engine that accepts more requests than its configuration allows,
// or that continues requests after a crash.
func TestRefusals(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	e := engine.New(clock, config(), engine.NewPartUses())
	var all []*outcome
	for range 8 {
		all = append(all, submit(clock, e, 0, request(100, 50)))
	}
	huge := submit(clock, e, 0, request(20_000, 1))
	clock.After(100*time.Millisecond, func() { e.Crash(time.Second) })
	down := submit(clock, e, 500*time.Millisecond, request(100, 50))
	recovered := submit(clock, e, 2*time.Second, request(100, 50))
	clock.Run()
	refused := 0
	for _, got := range all {
		if got.refused {
			refused++
			continue
		}
		c.Check(got.aborted, qt.IsTrue)
	}
	c.Check(refused, qt.Equals, 2, qt.Commentf("of eight requests, four run and two wait"))
	c.Check(huge.refused, qt.IsTrue, qt.Commentf("larger than the memory"))
	c.Check(down.refused, qt.IsTrue)
	c.Check(recovered.events, qt.Equals, 11)
}
