package hedge_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/hedge"
)

// play sends requests with a latency each and returns how many of them were hedged.
func play(policy *hedge.Policy, now *time.Time, latencies []time.Duration) (hedged int) {
	for _, latency := range latencies {
		delay, ok := policy.Delay("s")
		if ok && latency > delay && policy.Allow("s") {
			hedged++
		}
		policy.Observe("s", latency)
		*now = now.Add(20 * time.Millisecond)
	}
	return hedged
}

// repeat returns n latencies.
func repeat(n int, latency time.Duration) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = latency
	}
	return list
}

// withTail returns n latencies, of which each hundredth is slow.
func withTail(n int) []time.Duration {
	list := repeat(n, 60*time.Millisecond)
	for i := 99; i < n; i += 100 {
		list[i] = 300 * time.Millisecond
	}
	return list
}

// Guards against hedges beyond their limit, above all when a service is slow as a whole:
// its upstreams are overloaded then, and would get more work.
func TestLimit(t *testing.T) {
	const share = 0.05
	tests := map[string]struct {
		latencies   []time.Duration
		least, most int // hedged requests
	}{
		"slow tail":             {latencies: withTail(2000), least: 15, most: 20},
		"too few requests":      {latencies: append(repeat(10, 60*time.Millisecond), 300*time.Millisecond)},
		"all become slow":       {latencies: append(repeat(1000, 60*time.Millisecond), repeat(1000, 600*time.Millisecond)...), most: 100},
		"usual latency is slow": {latencies: repeat(2000, 600*time.Millisecond)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1_700_000_000, 0)
			policy := hedge.New(hedge.Config{
				Share: share,
				Now:   func() time.Time { return now },
			})
			hedged := play(policy, &now, test.latencies)
			c.Check(hedged >= test.least && hedged <= test.most, qt.IsTrue, qt.Commentf("%d hedges", hedged))
		})
	}
}

// Guards against hedges where operators allow none.
func TestOff(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	policy := hedge.New(hedge.Config{
		Now: func() time.Time { return now },
	})
	qt.Assert(t, play(policy, &now, withTail(2000)), qt.Equals, 0)
}
