package batch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
)

// Guards against streams that are taken up and refused for a delay that suits new requests,
// while upstreams of their release serve: their callers have part of the response.
func TestResumedStreamUnderOverload(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"s": 1}, 1_000_000)
	var err error
	for accepted := 0; err == nil; accepted++ {
		c.Assert(accepted < 1000, qt.IsTrue, qt.Commentf("new requests are never refused"))
		_, err = h.submit(job("s", 8, ms(2000)))
	}
	c.Assert(err, qt.ErrorIs, batch.ErrOverload)

	resumed := job("s", 8, ms(2000))
	resumed.Rank = batch.ResumedRank
	id, err := h.submit(resumed)
	c.Assert(err, qt.IsNil)
	for h.plan(); h.done[id].Job != id; h.plan() {
		c.Assert(len(h.calls) > 0, qt.IsTrue)
		h.now = h.now.Add(ms(400))
		h.complete(0)
	}
	c.Check(h.done[id].Err, qt.IsNil)

	late := job("s", 8, ms(100))
	late.Rank, late.Deadline = batch.ResumedRank, h.now.Add(ms(100))
	_, err = h.submit(late)
	c.Check(err, qt.ErrorIs, batch.ErrOverload, qt.Commentf("it cannot meet its deadline"))
}

// Guards against routes or organisations with a rank below that of the most urgent routes,
// which are accepted under overload as if they took up streams.
func TestNegativeRankUnderOverload(t *testing.T) {
	c := qt.New(t)
	h := newHarness(map[ident.ServiceName]int{"s": 1}, 1_000_000)
	for _, rank := range []batch.Rank{-1, -2} {
		var err error
		for accepted := 0; err == nil; accepted++ {
			c.Assert(accepted < 1000, qt.IsTrue, qt.Commentf("rank %d is never refused", rank))
			j := job("s", 8, ms(2000))
			j.Rank = rank
			j.Deadline = start.Add(ms(1_000_000))
			_, err = h.submit(j)
		}
		c.Check(err, qt.ErrorIs, batch.ErrOverload)
	}
}
