package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// fixture is a table with a manual clock.
type fixture struct {
	table *upstream.Table
	now   time.Time
}

func newFixture(host ident.HostID, domain ident.FailureDomain, seed uint64) *fixture {
	f := &fixture{
		now: time.Unix(1_000_000, 0),
	}
	f.table = upstream.New(upstream.Config{
		Host:   host,
		Domain: domain,
		Region: "great-lakes",
		Now:    func() time.Time { return f.now },
		Random: rand.New(rand.NewPCG(seed, 1)),
	})
	return f
}

func (f *fixture) offer(members []upstream.Member) {
	f.table.Offer(members)
	f.table.Tick(f.now)
}

// advance moves the clock by d and ticks the table every 100 ms meanwhile.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		f.table.Tick(f.now)
	}
}

func (f *fixture) query() upstream.Query {
	return upstream.Query{
		Pool:       engines,
		Repeatable: true,
	}
}

// runAttempts runs n sequential attempts and counts them by upstream. Each takes
// 10 ms on the clock, and its report comes from the callback.
func (f *fixture) runAttempts(c *qt.C, n int, q upstream.Query, report func(upstream.Lease) upstream.Report) map[ident.UpstreamID]int {
	counts := make(map[ident.UpstreamID]int)
	for range n {
		lease, err := f.table.Choose(f.now, q)
		c.Assert(err, qt.IsNil)
		counts[lease.Upstream]++
		f.now = f.now.Add(10 * time.Millisecond)
		f.table.Done(lease, report(lease))
		f.table.Tick(f.now)
	}
	return counts
}

func (f *fixture) state(id ident.UpstreamID, incarnation ident.Incarnation) upstream.State {
	for _, row := range f.table.Snapshot().Rows {
		if row.Member.Upstream == id && row.Member.Incarnation == incarnation {
			return row.State
		}
	}
	return ""
}

func completed(latency time.Duration) upstream.Report {
	return upstream.Report{
		Latency: latency,
		Result:  upstream.Completed{},
	}
}

func fast(upstream.Lease) upstream.Report { return completed(10 * time.Millisecond) }

// pool returns n members e0, e1, ... spread over the failure domains in turn.
func pool(n int, domains ...ident.FailureDomain) []upstream.Member {
	members := make([]upstream.Member, n)
	for i := range members {
		members[i] = upstream.Member{
			Pool:        engines,
			Upstream:    ident.UpstreamID(fmt.Sprintf("e%d", i)),
			Incarnation: 1,
			Address:     ident.Address(fmt.Sprintf("127.0.0.1:%d", 9000+i)),
			Domain:      domains[i%len(domains)],
			Region:      "great-lakes",
		}
	}
	return members
}
