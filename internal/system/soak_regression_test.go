package system

import (
	"strings"
	"testing"
	"time"
)

// regressions are plans that failed once, by their cause.
var regressions = map[string]plan{
	// Each request on a kept connection was refused, and the budget of repeats was
	// used up.
	"kept connections lead to the upstream that had the address before": {
		{
			At:     0,
			Action: losing,
			Target: 0,
			For:    1800 * time.Millisecond,
			Share:  0.9,
		},
		{
			At:     5 * time.Second,
			Action: replace,
			Target: 4,
		},
	},
	// The lock of the replica and that of the members were taken in both orders, one
	// in 13 times, as hosts registered again after they had stood still.
	"hosts stand still again and again": standstills(4, 400*time.Millisecond),
	// A request was refused by both upstreams of its service on kept connections.
	"kept connections to all upstreams lead to others": {
		{
			At:     4700 * time.Millisecond,
			Action: replace,
			Target: 0,
		},
		{
			At:     4800 * time.Millisecond,
			Action: replace,
			Target: 1,
		},
		{
			At:     4900 * time.Millisecond,
			Action: replace,
			Target: 3,
		},
		{
			At:     5 * time.Second,
			Action: replace,
			Target: 4,
		},
	},
}

// standstills returns a plan in which the soak's hosts stand still in turn, so that
// each pause overlaps those of the hosts before and after it.
func standstills(rounds int, pauseTime time.Duration) plan {
	var p plan
	for i := range rounds * soakHosts {
		p = append(p, step{
			At:     time.Duration(i) * pauseTime / soakHosts,
			Action: pause,
			Target: i % soakHosts,
			For:    pauseTime,
		})
	}
	return p
}

func TestSoakRegressions(t *testing.T) {
	for name, p := range regressions {
		t.Run(name, func(t *testing.T) {
			running <- struct{}{}
			defer func() { <-running }()
			if failures := play(t, p); len(failures) > 0 {
				t.Fatalf("%d failures\n%s", len(failures), strings.Join(failures[:min(len(failures), maxShown)], "\n"))
			}
		})
	}
}
