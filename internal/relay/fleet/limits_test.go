package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

// Guards against hosts whose shares of a stated limit add up to more than one and a half
// times the limit and 5 requests in 4 s, while each of them always has requests for the
// upstream, and against shares that leave most of the limit unused.
func TestSharesOfLimit(t *testing.T) {
	const (
		window  = 4 * time.Second
		step    = 10 * time.Millisecond
		length  = 10 * time.Minute
		warmup  = 2 * time.Minute // the longest interval of a host
		minUsed = 0.6
	)
	tests := map[string]struct {
		hosts int
		limit fleet.Rate
		vary  bool // each response states another limit, up to that one
	}{
		"changing limit":     {hosts: 9, limit: 4, vary: true},
		"one host":           {hosts: 1, limit: 2},
		"nine hosts":         {hosts: 9, limit: 1},
		"high limit":         {hosts: 9, limit: 40},
		"fraction":           {hosts: 9, limit: 0.5},
		"many hosts":         {hosts: 91, limit: 1},
		"many, a high limit": {hosts: 91, limit: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(1, uint64(test.hosts)))
			start := time.Unix(1_700_000_000, 0)
			now := start
			upstream := fleet.Upstream{
				ID: "a",
			}
			var hosts []*fleet.Pauses
			for range test.hosts {
				p := fleet.NewPauses(func() time.Time { return now }, random.Float64)
				p.SetLimit(upstream, test.limit, test.hosts)
				hosts = append(hosts, p)
			}
			var sent []time.Time
			for ; now.Before(start.Add(length)); now = now.Add(step) {
				for _, p := range hosts {
					if p.Admit(upstream, test.hosts) != 0 {
						continue
					}
					sent = append(sent, now)
					if test.vary {
						p.SetLimit(upstream, test.limit*fleet.Rate(0.95+0.05*random.Float64()), test.hosts)
					}
				}
			}
			allowed := 1.5*float64(test.limit)*window.Seconds() + 5
			most, oldest, used := 0, 0, 0
			for i, at := range sent {
				for ; at.Sub(sent[oldest]) >= window; oldest++ {
				}
				most = max(most, i+1-oldest)
				if at.After(start.Add(warmup)) {
					used++
				}
			}
			c.Check(float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d requests, %g allowed", most, allowed))
			share := float64(used) / (length - warmup).Seconds() / float64(test.limit)
			c.Check(share >= minUsed, qt.IsTrue, qt.Commentf("%.2f of the limit is used", share))
		})
	}
}

// Guards against a limit that is kept after the upstream has restarted or states none any
// more, against one that an upstream restates with each response and that therefore never
// lets a request through, and against a caller that is told to come back when the share of
// this one host allows it.
func TestLimit(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := fleet.NewPauses(func() time.Time { return now }, func() float64 { return 0.5 })
	a := fleet.Upstream{
		ID:      "a",
		Started: 1,
	}
	const hosts = 10
	c.Check(p.SetLimit(a, 1, hosts), qt.IsTrue)
	c.Check(p.SetLimit(a, 1, hosts), qt.IsFalse)
	wait := p.Remaining(a)
	c.Check(wait > 7*time.Second && wait < 8*time.Second, qt.IsTrue, qt.Commentf("%s", wait))
	paused, shortest := p.Paused([]fleet.Upstream{a})
	c.Check(paused, qt.HasLen, 1)
	c.Check(shortest > time.Second && shortest < 2*time.Second, qt.IsTrue, qt.Commentf("%s", shortest))
	c.Check(p.Admit(a, hosts), qt.Equals, wait)
	now = now.Add(wait)
	c.Check(p.SetLimit(a, 1, hosts), qt.IsFalse)
	c.Check(p.Admit(a, hosts), qt.Equals, time.Duration(0))
	c.Check(p.Admit(a, hosts) > wait, qt.IsTrue)
	restarted := a
	restarted.Started = 2
	c.Check(p.Admit(restarted, hosts), qt.Equals, time.Duration(0))
	c.Check(p.ClearLimit(restarted), qt.IsFalse)
	c.Check(p.ClearLimit(a), qt.IsTrue)
	c.Check(p.Admit(a, hosts), qt.Equals, time.Duration(0))
	c.Check(p.SetLimit(a, 0, hosts), qt.IsTrue) // none at all
	c.Check(p.Remaining(a) > time.Minute, qt.IsTrue)
}
