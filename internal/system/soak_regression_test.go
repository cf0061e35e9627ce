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
