package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
)

// Guards against cold upstreams that crash under the requests of a fleet that has just been
// restored: all of them are idle and cold at once, and the coordinator and 90 hosts that do
// not know of each other choose among them, at 20 requests a second for each upstream.
func TestColdUpstreams(t *testing.T) {
	const (
		limit     = 10.0 // requests a second that an upstream bears
		overshoot = 1.5  // deployments allow so much more, since hosts do not know of each other
		upstreams = 30
		hosts     = 90
	)
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	coldUntil := now.Add(3 * time.Second)
	directory := fleet.New()
	for i := range upstreams {
		directory.Put(fleet.Registration{
			Upstream: fleet.Upstream{
				ID:        ident.UpstreamID(fmt.Sprintf("u%02d", i)),
				Service:   "pool",
				State:     fleet.Ready,
				ColdUntil: coldUntil,
			},
			Version: 1,
		})
	}
	random := rand.New(rand.NewPCG(1, 2))
	clock := func() time.Time { return now }
	coordinator := placement.New(clock, random.Float64)
	var choosers []*placement.Chooser
	for range hosts {
		choosers = append(choosers, placement.New(clock, random.Float64))
	}
	arrivals := make(map[ident.UpstreamID][]time.Time)
	choose := func(chooser *placement.Chooser, rate placement.ColdRate) bool {
		placed, ok := chooser.Choose(placement.Query{
			Service: "pool",
			Cold:    rate,
		}, directory.Snapshot())
		if ok {
			arrivals[placed.ID] = append(arrivals[placed.ID], now)
			chooser.Done(placed, placement.Served, 0)
		}
		return ok
	}
	for range 3 * 20 * upstreams {
		if !choose(coordinator, placement.CoordinatorColdRate(limit)) {
			choose(choosers[random.IntN(hosts)], placement.HostColdRate(limit, hosts))
		}
		now = now.Add(time.Second / (20 * upstreams))
	}
	c.Check(len(arrivals), qt.Equals, upstreams, qt.Commentf("all upstreams are used"))
	for id, times := range arrivals {
		for i := range times {
			within := 0
			for _, at := range times[i:] {
				if at.Sub(times[i]) < time.Second {
					within++
				}
			}
			c.Check(within <= overshoot*limit, qt.IsTrue, qt.Commentf("%s gets %d requests in a second", id, within))
		}
	}
	now = coldUntil
	c.Check(choose(coordinator, placement.CoordinatorColdRate(limit)), qt.IsTrue)
}
