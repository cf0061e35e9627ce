package order_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/order"
)

const perTick = 64

// newLargeFleet returns a fleet of engines with the same model in their desired
// states, and a reconciler that handles perTick engines in one tick.
func newLargeFleet(tb testing.TB, engines int) (*fleet, *order.Reconciler) {
	tb.Helper()
	byID := make(map[ident.UpstreamID]*engine, engines)
	for i := range engines {
		byID[ident.UpstreamID(fmt.Sprintf("engine-%04d", i))] = &engine{}
	}
	f := newFleet(byID)
	for id := range byID {
		if _, err := order.SetWanted(context.Background(), f.store, id, order.Wanted{
			Models: []ident.ModelName{"m"},
		}, 0); err != nil {
			tb.Fatal(err)
		}
	}
	return f, order.New(order.Config{
		Host:      "a",
		Store:     f.store,
		Engines:   f,
		Now:       f.Now,
		Log:       zerolog.Nop(),
		TTL:       ttl,
		Limit:     time.Minute,
		Workers:   4,
		PerTick:   perTick,
		LoadRate:  perTick,
		LoadBurst: perTick,
	})
}

// Guards against a tick that handles more than PerTick engines, and against engines
// that a round omits.
func TestRoundReachesEveryEngine(t *testing.T) {
	tests := map[string]struct {
		engines int
		ticks   int // in a round
	}{
		"one page":        {engines: perTick, ticks: 1},
		"one more":        {engines: perTick + 1, ticks: 2},
		"many full pages": {engines: 4 * perTick, ticks: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, r := newLargeFleet(t, test.engines)
			for range test.ticks { // the token bucket starts empty, so no model is loaded in the first tick
				c.Assert(f.tick(c, r).Engines <= perTick, qt.IsTrue)
			}
			for range test.ticks {
				c.Assert(f.tick(c, r).Engines <= perTick, qt.IsTrue)
			}
			for id := range f.engines {
				c.Assert(f.models(id), qt.DeepEquals, []ident.ModelName{"m"})
			}
		})
	}
}

// Guards against hosts without the lease that use up the rate limit of the store
// with reads of the holder key, and against a host that stops reading it and so
// never acquires a released lease.
func TestIdleHostReadsSeldom(t *testing.T) {
	c := qt.New(t)
	f := newFleet(nil)
	holder := f.reconciler("a", f)
	standby := order.New(order.Config{
		Host:         "b",
		Store:        f.store,
		Engines:      f,
		Now:          f.Now,
		Log:          zerolog.Nop(),
		TTL:          ttl,
		Limit:        time.Minute,
		Workers:      1,
		PollInterval: 5 * interval,
		LoadRate:     1,
		LoadBurst:    1,
	})
	c.Assert(f.tick(c, holder).Holder, qt.IsTrue)
	before := f.store.Counts()
	for range 5 {
		c.Assert(f.tick(c, standby).Holder, qt.IsFalse)
	}
	after := f.store.Counts()
	c.Assert(after.Reads-before.Reads, qt.Equals, 1)
	c.Assert(after.Writes-before.Writes, qt.Equals, 0)
	c.Assert(holder.Release(context.Background()), qt.IsNil)
	c.Assert(f.tick(c, standby).Holder, qt.IsTrue)
}

// Guards against a store call per engine, instead of one per page.
func TestStoreCallsPerTick(t *testing.T) {
	c := qt.New(t)
	f, r := newLargeFleet(t, 10*perTick)
	for range 30 { // each engine of the backlog costs one read
		before := f.store.Counts()
		f.tick(c, r)
		after := f.store.Counts()
		c.Assert(after.Reads-before.Reads <= 2+perTick/2, qt.IsTrue)
	}
	for range 30 {
		before := f.store.Counts()
		f.tick(c, r)
		after := f.store.Counts()
		c.Assert(after.Reads-before.Reads, qt.Equals, 2)     // the holder key and one page
		c.Assert(after.Writes-before.Writes <= 1, qt.IsTrue) // the lease renewal
		c.Assert(after.Watches, qt.Equals, 0)
	}
}

// Guards against a page with many loads that gets only one burst of them in a round,
// although the weight store is idle during the rest of the round.
func TestLoadsOfOnePage(t *testing.T) {
	const (
		pages = 10
		burst = 2
	)
	c := qt.New(t)
	f, formerHolder := newLargeFleet(t, pages*perTick)
	for range 3 * pages {
		f.tick(c, formerHolder)
	}
	c.Assert(formerHolder.Release(context.Background()), qt.IsNil)
	changed := make([]ident.UpstreamID, 0, perTick)
	for i := range perTick {
		id := ident.UpstreamID(fmt.Sprintf("engine-%04d", 3*perTick+i))
		found, err := order.GetWanted(context.Background(), f.store, id)
		c.Assert(err, qt.IsNil)
		f.setWanted(c, id, found.Version, "n")
		changed = append(changed, id)
	}
	r := order.New(order.Config{
		Host:      "b",
		Store:     f.store,
		Engines:   f,
		Now:       f.Now,
		Log:       zerolog.Nop(),
		TTL:       ttl,
		Limit:     time.Minute,
		Workers:   4,
		PerTick:   perTick,
		LoadRate:  burst,
		LoadBurst: burst,
	})
	loaded := func() int {
		n := 0
		for _, id := range changed {
			if slices.Contains(f.models(id), ident.ModelName("n")) {
				n++
			}
		}
		return n
	}
	for tick := 1; loaded() < perTick; tick++ {
		before := loaded()
		report := f.tick(c, r)
		c.Assert(report.Engines <= perTick, qt.IsTrue)
		c.Assert(loaded()-before <= burst, qt.IsTrue)
		// It may take a round to reach the page; from then on every tick loads a burst.
		c.Assert(tick <= pages+perTick/burst, qt.IsTrue, qt.Commentf("%d loads after %d ticks", loaded(), tick))
	}
}

// Guards against a malformed entry that an operator cannot read or replace.
func TestReadWanted(t *testing.T) {
	c := qt.New(t)
	f := newFleet(nil)
	ctx := context.Background()
	_, err := order.GetWanted(ctx, f.store, "a")
	c.Assert(err, qt.ErrorIs, kv.ErrNotFound)
	version := f.setWanted(c, "a", 0, "m")
	broken, err := f.store.Put(ctx, kv.Put{
		Key:   "order/wanted/b",
		Value: []byte("{"),
	})
	c.Assert(err, qt.IsNil)
	f.setWanted(c, "c", 0)
	found, err := order.GetWanted(ctx, f.store, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.DeepEquals, order.Declared{
		Engine: "a",
		Wanted: order.Wanted{
			Models: []ident.ModelName{"m"},
		},
		Version: version,
	})
	found, err = order.GetWanted(ctx, f.store, "b")
	c.Assert(err, qt.ErrorIs, order.ErrMalformed)
	c.Assert(found.Version, qt.Equals, broken)
	first, more, err := order.ListWanted(ctx, f.store, "", 2)
	c.Assert(err, qt.IsNil)
	c.Assert(more, qt.IsTrue)
	c.Assert(first, qt.HasLen, 2)
	c.Assert(first[0].Err, qt.IsNil)
	c.Assert(first[1].Err, qt.ErrorIs, order.ErrMalformed)
	rest, more, err := order.ListWanted(ctx, f.store, first[1].Engine, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(more, qt.IsFalse)
	c.Assert(rest, qt.HasLen, 1)
	c.Assert(rest[0].Engine, qt.Equals, ident.UpstreamID("c"))
}

// BenchmarkTick measures a tick of the holder over engines that are in their
// desired states, and the number of its store calls.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{9, 120, 1000, 3700} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			f, r := newLargeFleet(b, engines)
			step := func() order.Report {
				f.advance(interval)
				report, err := r.Tick(context.Background())
				if err != nil {
					b.Fatal(err)
				}
				return report
			}
			for range 2 * (engines/perTick + 1) {
				step()
			}
			before := f.store.Counts()
			handled := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				handled += step().Engines
			}
			b.StopTimer()
			after := f.store.Counts()
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/op")
			b.ReportMetric(float64(handled)/float64(b.N), "engines/op")
		})
	}
}
