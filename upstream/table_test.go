package upstream_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const tick = 100 * time.Millisecond

var engines = document.PoolRef{
	Service: "nutmeg-pool",
	Pool:    "engines",
}

// Guards against new work for a leaving upstream, whichever source marked it, and
// against an outdated host list that removes the mark.
func TestLeavingReceivesNoWork(t *testing.T) {
	listed := pool(3, "erie-hall")
	tests := map[string]func(c *qt.C, f *fixture){
		"host list": func(_ *qt.C, f *fixture) {
			leaving := pool(3, "erie-hall")
			leaving[1].Leaving = true
			f.offer(leaving)
		},
		"peer": func(_ *qt.C, f *fixture) {
			f.table.MarkLeaving("e1", 1)
		},
		"peer before the host list contains it": func(_ *qt.C, f *fixture) {
			f.table = newFixture("h1", "erie-hall", 1).table
			f.table.MarkLeaving("e1", 1)
			f.offer(listed)
		},
		"peer and first listed as leaving": func(_ *qt.C, f *fixture) {
			f.table = newFixture("h1", "erie-hall", 1).table
			f.table.MarkLeaving("e1", 1)
			leaving := pool(3, "erie-hall")
			leaving[1].Leaving = true
			f.offer(leaving)
		},
		"own attempt rejected": func(c *qt.C, f *fixture) {
			rejected := false
			for !rejected {
				f.runAttempts(c, 1, f.query(), func(l upstream.Lease) upstream.Report {
					if l.Upstream == "e1" {
						rejected = true
						return upstream.Report{
							Result: upstream.Leaving{},
						}
					}
					return completed(10 * time.Millisecond)
				})
			}
			c.Assert(f.table.TakeObservations(), qt.DeepEquals, []upstream.Mark{
				{
					Upstream:    "e1",
					Incarnation: 1,
				},
			})
			c.Assert(f.table.TakeObservations(), qt.HasLen, 0)
		},
		"removed from the list": func(_ *qt.C, f *fixture) {
			f.offer(append(pool(1, "erie-hall"), listed[2]))
		},
	}
	for name, mark := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture("h1", "erie-hall", 1)
			f.offer(listed)
			mark(c, f)
			c.Assert(f.runAttempts(c, 100, f.query(), fast)["e1"], qt.Equals, 0)
			if name != "removed from the list" {
				f.offer(listed)
				c.Assert(f.runAttempts(c, 100, f.query(), fast)["e1"], qt.Equals, 0, qt.Commentf("an outdated list removed the mark"))
			}
			returned := pool(3, "erie-hall")
			returned[1].Incarnation = 2
			f.offer(returned)
			f.advance(11 * time.Second)
			c.Assert(f.runAttempts(c, 100, f.query(), fast)["e1"] > 0, qt.IsTrue, qt.Commentf("the new incarnation received no work"))
			f.offer(listed)
			c.Assert(f.state("e1", 2), qt.Equals, upstream.StateLive, qt.Commentf("an older incarnation in the list replaced the newer one"))
		})
	}
}

// Guards against a wrong in-flight count of an upstream that leaves.
func TestLeavingKeepsWorkInFlight(t *testing.T) {
	c := qt.New(t)
	f := newFixture("h1", "erie-hall", 1)
	f.offer(pool(1, "erie-hall"))
	lease, err := f.table.Choose(f.now, f.query())
	c.Assert(err, qt.IsNil)
	f.table.MarkLeaving("e0", 1)
	f.advance(2 * time.Minute)
	c.Assert(f.table.InFlight("e0"), qt.Equals, 1)
	_, err = f.table.Choose(f.now, f.query())
	c.Assert(errors.Is(err, upstream.ErrNoUpstream), qt.IsTrue)
	f.table.Done(lease, completed(time.Second))
	f.table.Done(lease, completed(time.Second))
	c.Assert(f.table.InFlight("e0"), qt.Equals, 0)
}

// Guards against reporting overload as a lack of upstreams, and the reverse.
func TestChooseErrors(t *testing.T) {
	tests := map[string]struct {
		members []upstream.Member
		result  upstream.Result
		want    error
	}{
		"empty pool": {
			want: upstream.ErrNoUpstream,
		},
		"all overloaded": {
			members: pool(1, "erie-hall"),
			result:  upstream.Overloaded{},
			want:    upstream.ErrOverloaded,
		},
		"all leaving": {
			members: pool(1, "erie-hall"),
			result:  upstream.Leaving{},
			want:    upstream.ErrNoUpstream,
		},
		"connection lost, only upstream": {
			members: pool(1, "erie-hall"),
			result:  upstream.Lost{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture("h1", "erie-hall", 1)
			f.offer(test.members)
			if lease, err := f.table.Choose(f.now, f.query()); err == nil {
				f.table.Done(lease, upstream.Report{
					Result: test.result,
				})
			}
			_, err := f.table.Choose(f.now, f.query())
			if test.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// Guards against the ejection of more than a third of a pool, new work for leaving
// rows and wrong in-flight counts under any sequence of events.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 80).Draw(rt, "rows")
		f := newFixture("h1", "erie-hall", rapid.Uint64().Draw(rt, "seed"))
		members := pool(n, "erie-hall", "huron-hall")
		f.offer(members)
		var leases []upstream.Lease
		marked := make(map[ident.UpstreamID]ident.Incarnation)
		results := []upstream.Result{
			upstream.Completed{},
			upstream.Completed{Failed: true},
			upstream.Overloaded{},
			upstream.Lost{},
			upstream.NotSent{},
			upstream.Cancelled{},
		}
		check := func() {
			counted, ejected := 0, 0
			inFlight := make(map[ident.UpstreamID]int)
			for _, row := range f.table.Snapshot().Rows {
				if !row.Used {
					continue
				}
				switch row.State {
				case upstream.StateLive, upstream.StateStarting:
					counted++
				case upstream.StateEjected:
					counted++
					ejected++
				case upstream.StateLeaving, upstream.StateGone:
				}
			}
			for _, lease := range leases {
				inFlight[lease.Upstream]++
			}
			for _, m := range members {
				if got := f.table.InFlight(m.Upstream); got != inFlight[m.Upstream] {
					rt.Fatalf("in flight at %s: %d, want %d", m.Upstream, got, inFlight[m.Upstream])
				}
			}
			if 3*ejected > counted {
				rt.Fatalf("%d of %d ejected", ejected, counted)
			}
		}
		pick := func() *upstream.Member {
			return &members[rapid.IntRange(0, n-1).Draw(rt, "upstream")]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				f.advance(tick)
				check()
			},
			"choose": func(rt *rapid.T) {
				q := f.query()
				q.Repeatable = rapid.Bool().Draw(rt, "repeatable")
				lease, err := f.table.Choose(f.now, q)
				if err != nil {
					return
				}
				if incarnation, ok := marked[lease.Upstream]; ok && lease.Incarnation <= incarnation {
					rt.Fatalf("new work for leaving %s/%d", lease.Upstream, lease.Incarnation)
				}
				leases = append(leases, lease)
			},
			"done": func(rt *rapid.T) {
				if len(leases) == 0 {
					return
				}
				f.table.Done(leases[0], upstream.Report{
					Latency: time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond,
					Result:  rapid.SampledFrom(results).Draw(rt, "result"),
				})
				leases = leases[1:]
			},
			"crash": func(*rapid.T) {
				m := pick()
				f.table.MarkCrashed(m.Upstream, m.Incarnation)
			},
			"leave": func(*rapid.T) {
				m := pick()
				f.table.MarkLeaving(m.Upstream, m.Incarnation)
				marked[m.Upstream] = m.Incarnation
			},
			"restart": func(*rapid.T) {
				pick().Incarnation++
				f.table.Offer(members)
			},
			"unlist": func(rt *rapid.T) {
				f.table.Offer(members[rapid.IntRange(0, n-1).Draw(rt, "from"):])
			},
			"time": func(rt *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 20).Draw(rt, "s")) * time.Second)
			},
		})
	})
}

// Guards against a straggler that keeps its share, and against one that is never
// re-admitted after it has recovered.
func TestStragglerEjectedAndReadmitted(t *testing.T) {
	c := qt.New(t)
	f := newFixture("h1", "erie-hall", 1)
	f.offer(pool(9, "erie-hall"))
	slow := func(l upstream.Lease) upstream.Report {
		if l.Upstream == "e4" {
			return completed(500 * time.Millisecond)
		}
		return completed(50 * time.Millisecond)
	}
	// Concurrent attempts reach every row.
	for range 10 {
		var leases []upstream.Lease
		for range 40 {
			lease, err := f.table.Choose(f.now, f.query())
			c.Assert(err, qt.IsNil)
			leases = append(leases, lease)
		}
		for _, lease := range leases {
			f.table.Done(lease, slow(lease))
		}
		f.advance(tick)
	}
	c.Assert(f.state("e4", 1), qt.Equals, upstream.StateEjected)
	for range 10 {
		trials := f.runAttempts(c, 100, f.query(), slow)["e4"]
		c.Assert(trials <= 1, qt.IsTrue, qt.Commentf("%d attempts in a second", trials))
	}
	f.advance(time.Minute)
	once := f.query()
	once.Repeatable = false
	c.Assert(f.runAttempts(c, 50, once, slow)["e4"], qt.Equals, 0, qt.Commentf("non-idempotent work was used as a trial"))
	f.runAttempts(c, 1, f.query(), fast)
	c.Assert(f.state("e4", 1), qt.Equals, upstream.StateStarting)
	f.advance(11 * time.Second)
	c.Assert(f.state("e4", 1), qt.Equals, upstream.StateLive)
}

// Guards against sending work to another failure domain when its price exceeds the
// gain.
func TestCrossDomainPrice(t *testing.T) {
	tests := map[string]struct {
		weight, price float64
		local         int // attempts in flight at the local upstream
		domain        ident.FailureDomain
		cross         bool
	}{
		"equal load stays local": {
			domain: "erie-hall",
		},
		"local far more loaded, other domain free of charge": {
			domain: "erie-hall",
			local:  10,
			cross:  true,
		},
		"local far more loaded, other domain expensive": {
			domain: "erie-hall",
			local:  10,
			price:  100,
		},
		"other domain expensive, attainment weight 1": {
			domain: "erie-hall",
			local:  10,
			price:  100,
			weight: 1,
			cross:  true,
		},
		"no local upstream": {
			domain: "superior-hall",
			price:  100,
			cross:  true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture("h1", test.domain, 1)
			f.offer(pool(2, "erie-hall", "huron-hall"))
			q := f.query()
			q.Exclude = []ident.UpstreamID{"e1"}
			for range test.local {
				_, err := f.table.Choose(f.now, q)
				c.Assert(err, qt.IsNil)
			}
			f.table.Tick(f.now)
			f.table.RecordLoad("e1", 1, upstream.Load{
				At: f.now,
			})
			q = f.query()
			q.Weight = test.weight
			q.CrossCost = test.price
			lease, err := f.table.Choose(f.now, q)
			c.Assert(err, qt.IsNil)
			c.Assert(lease.Cross, qt.Equals, test.cross)
		})
	}
}

// Guards against counting attempts of this host twice: once as in flight, and once
// in the load report of the upstream.
func TestReportExcludesOwnAttempts(t *testing.T) {
	c := qt.New(t)
	f := newFixture("h1", "erie-hall", 1)
	f.offer(pool(1, "erie-hall"))
	for range 5 {
		_, err := f.table.Choose(f.now, f.query())
		c.Assert(err, qt.IsNil)
	}
	f.advance(time.Second)
	f.table.RecordLoad("e0", 1, upstream.Load{
		Running: 5,
		Queued:  3,
		At:      f.now.Add(-300 * time.Millisecond),
	})
	f.advance(tick)
	c.Assert(f.table.Snapshot().Rows[0].Others, qt.Equals, 3.0)
	f.advance(20 * time.Second)
	c.Assert(f.table.Snapshot().Rows[0].Others, qt.Equals, 0.0)
}

// Guards against prefix affinity to an upstream that no longer holds the prefix, and
// against memory that grows with the number of events.
func TestPrefixAffinity(t *testing.T) {
	prefix := upstream.NewPrefix("You are a fair clerk.")
	event := func(sequence uint64, change upstream.CacheChange) upstream.CacheEvent {
		return upstream.CacheEvent{
			Sequence: sequence,
			Change:   change,
			Prefix:   prefix,
		}
	}
	hashed := func(c *qt.C) ident.UpstreamID {
		f := newFixture("h2", "erie-hall", 2)
		f.offer(pool(9, "erie-hall"))
		q := f.query()
		q.Prefix = prefix
		lease, err := f.table.Choose(f.now, q)
		c.Assert(err, qt.IsNil)
		return lease.Upstream
	}
	var many []upstream.CacheEvent
	for i := range 100_000 {
		many = append(many, upstream.CacheEvent{
			Sequence: uint64(i + 1),
			Prefix:   upstream.Prefix(i + 1),
		})
	}
	tests := map[string]struct {
		batches [][]upstream.CacheEvent
		advance time.Duration
		held    bool
	}{
		"nothing known":      {},
		"stored":             {batches: [][]upstream.CacheEvent{{event(7, upstream.Stored)}}, held: true},
		"evicted":            {batches: [][]upstream.CacheEvent{{event(7, upstream.Stored)}, {event(8, upstream.Evicted)}}},
		"out of order":       {batches: [][]upstream.CacheEvent{{event(8, upstream.Evicted), event(7, upstream.Stored)}}},
		"late":               {batches: [][]upstream.CacheEvent{{event(7, upstream.Stored)}, {event(6, upstream.Evicted)}}, held: true},
		"gap":                {batches: [][]upstream.CacheEvent{{event(7, upstream.Stored)}, {{Sequence: 9, Prefix: 1}}}},
		"stored after a gap": {batches: [][]upstream.CacheEvent{{event(7, upstream.Evicted)}, {event(9, upstream.Stored)}}, held: true},
		"no recent batch":    {batches: [][]upstream.CacheEvent{{event(7, upstream.Stored)}}, advance: time.Minute},
		"displaced":          {batches: [][]upstream.CacheEvent{{event(0, upstream.Stored)}, many}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture("h1", "erie-hall", 1)
			f.offer(pool(9, "erie-hall"))
			other := hashed(c)
			holder := ident.UpstreamID("e3")
			if other == holder {
				holder = "e4"
			}
			for _, batch := range test.batches {
				f.table.ApplyCacheEvents(holder, 1, batch)
			}
			f.advance(test.advance)
			for _, row := range f.table.Snapshot().Rows {
				c.Assert(row.Prefixes <= 256, qt.IsTrue)
			}
			q := f.query()
			q.Prefix = prefix
			want := other
			if test.held {
				want = holder
			}
			c.Assert(f.runAttempts(c, 20, q, fast), qt.DeepEquals, map[ident.UpstreamID]int{
				want: 20,
			})
		})
	}
}

// Guards against a subset that contains only the local failure domain, and against
// upstreams of a large pool that are in no host's subset.
func TestSubset(t *testing.T) {
	c := qt.New(t)
	members := pool(600, "a", "b", "c", "d", "e", "f")
	for i := range members {
		if i%6 > 2 {
			members[i].Region = "other"
		}
	}
	covered := make(map[ident.UpstreamID]bool)
	for h := range 60 {
		f := newFixture(ident.HostID(fmt.Sprintf("h%d", h)), ident.FailureDomain("abcdef"[h%6:h%6+1]), 1)
		f.offer(members)
		used := make(map[ident.FailureDomain]int)
		for _, row := range f.table.Snapshot().Rows {
			if row.Used {
				used[row.Member.Domain]++
				covered[row.Member.Upstream] = true
			}
		}
		total := 0
		for _, n := range used {
			total += n
		}
		c.Assert(total, qt.Equals, 64)
		c.Assert(len(used) > 1, qt.IsTrue)
	}
	t.Logf("60 hosts use %d of 600 upstreams", len(covered))
	c.Assert(len(covered) > 590, qt.IsTrue)
}

// Guards against a straggler in the local failure domain that is never ejected
// because its attempts all lose to hedges: each is cancelled too early to look slow.
func TestHedgedStragglerEjected(t *testing.T) {
	c := qt.New(t)
	f := newFixture("h1", "erie-hall", 1)
	f.offer(pool(3, "erie-hall", "huron-hall", "superior-hall"))
	primary := f.query()
	primary.CrossCost = 3
	f.runAttempts(c, 10, primary, fast)
	hedge := primary
	hedge.Exclude = []ident.UpstreamID{"e0"}
	f.runAttempts(c, 10, hedge, fast)
	attempts := 0
	for range 50 {
		counts := f.runAttempts(c, 1, primary, func(l upstream.Lease) upstream.Report {
			if l.Upstream != "e0" {
				return fast(l)
			}
			return upstream.Report{
				Latency: 25 * time.Millisecond,
				Result:  upstream.Cancelled{},
			}
		})
		if counts["e0"] > 0 {
			attempts++
			f.runAttempts(c, 1, hedge, fast)
		}
	}
	c.Assert(f.state("e0", 1), qt.Equals, upstream.StateEjected)
	c.Assert(attempts <= 10, qt.IsTrue, qt.Commentf("%d of 50 attempts", attempts))
}

// Guards against a median that is the latency of the straggler itself when a host
// has measured only two upstreams of a pool.
func TestStragglerOfTwoMeasuredEjected(t *testing.T) {
	c := qt.New(t)
	f := newFixture("h1", "erie-hall", 1)
	f.offer(pool(3, "erie-hall", "huron-hall", "superior-hall"))
	local := f.query()
	local.CrossCost = 1000
	cross := f.query()
	cross.Exclude = []ident.UpstreamID{"e0", "e2"}
	f.runAttempts(c, 5, cross, fast)
	f.runAttempts(c, 5, local, func(upstream.Lease) upstream.Report { return completed(300 * time.Millisecond) })
	c.Assert(f.state("e0", 1), qt.Equals, upstream.StateEjected)
}

// Guards against a retry in the failure domain in which the first attempt crashed its
// upstream, and against no retry at all if there is no other domain.
func TestAvoidedDomain(t *testing.T) {
	tests := map[string]struct {
		domains []ident.FailureDomain
		want    ident.FailureDomain
	}{
		"another domain in the pool": {
			domains: []ident.FailureDomain{"erie-hall", "erie-hall", "huron-hall"},
			want:    "huron-hall",
		},
		"no other domain": {
			domains: []ident.FailureDomain{"erie-hall"},
			want:    "erie-hall",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture("h1", "erie-hall", 1)
			f.offer(pool(6, test.domains...))
			query := f.query()
			query.CrossCost = 1000
			query.Avoid = "erie-hall"
			lease, err := f.table.Choose(f.now, query)
			c.Assert(err, qt.IsNil)
			c.Assert(lease.Domain, qt.Equals, test.want)
		})
	}
}

// Guards against an upstream that stays ejected for up to a minute after it accepts
// connections again.
func TestRefusingUpstreamReturnsSoon(t *testing.T) {
	c := qt.New(t)
	f := newFixture("h1", "erie-hall", 1)
	f.offer(pool(3, "erie-hall"))
	down := func(l upstream.Lease) upstream.Report {
		if l.Upstream == "e0" {
			return upstream.Report{
				Result: upstream.NotSent{},
			}
		}
		return fast(l)
	}
	only := f.query()
	only.Exclude = []ident.UpstreamID{"e1", "e2"}
	f.runAttempts(c, 3, only, down)
	for range 30 {
		f.runAttempts(c, 100, f.query(), down)
	}
	c.Assert(f.state("e0", 1), qt.Equals, upstream.StateEjected)
	f.runAttempts(c, 500, f.query(), fast)
	c.Assert(f.state("e0", 1), qt.Equals, upstream.StateStarting)
}
