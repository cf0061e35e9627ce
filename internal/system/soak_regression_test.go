package system

import (
	"strings"
	"testing"
	"time"
)

// regressions are plans that found faults in the relay, by the cause of the fault.
var regressions = map[string]plan{
	// The relay kept using idle connections to the upstream that had the address
	// before. Each request on them was rejected with status 421, until the retry
	// budget was used up.
	"idle connections lead to the previous upstream of an address": {
		{
			At:     0,
			Action: dropResponses,
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
	// Prompts that are alike in one part only crashed engine after engine.
	"prompts crash engines": {
		{
			At:     0,
			Action: deadlyPart,
			Share:  0.5,
			For:    3 * time.Second,
		},
	},
	// The hosts that had read the removal of an upstream were killed. The others took
	// later changes from a host that had just started, which did not know of it.
	"hosts are killed while an upstream leaves": killsAroundRemovals(),
	// A batch took the copy of a response to a release, and its connection was used again
	// while its own response was due: the next batch got it.
	"upstreams of stages repeat responses": repeatedResponses(),
	// With the last key revoked, all requests were served, whatever their key.
	"all keys are revoked": {
		{
			At:     time.Second,
			Action: revokeAll,
			For:    4 * time.Second,
		},
	},
	// All prompts were refused for good: the part that they share was taken for the cause
	// of crashes, and as nothing ran any more, nothing showed that it was sound.
	"prompts crash engines before others are served": {
		{
			At:     0,
			Action: deadlyPart,
			For:    1100 * time.Millisecond,
			Share:  1,
		},
		{
			At:     0,
			Action: stop,
			Target: 0,
		},
		{
			At:     3 * time.Second,
			Action: replace,
			Target: 5,
		},
		{
			At:     4400 * time.Millisecond,
			Action: deadlyPart,
			For:    500 * time.Millisecond,
			Share:  0.6,
		},
	},
	// Engines that crash again as soon as they are back, with other requests only, make
	// what all prompts share look like the cause.
	"engines crash beside prompts that crash engines": {
		{
			At:     0,
			Action: deadlyPart,
			Share:  0.5,
			For:    3 * time.Second,
		},
		{
			At:     300 * time.Millisecond,
			Action: crashUpstream,
			Target: 1,
			For:    crashDowntime,
		},
		{
			At:     300 * time.Millisecond,
			Action: crashUpstream,
			Target: 4,
			For:    crashDowntime,
		},
	},
	// Two replacements of an upstream at once left a registration whose address another
	// upstream had. Hosts took its 421 for a moment without room, sent it requests again
	// and again, and had no retries left.
	"an upstream is replaced twice at once": {
		{
			At:     0,
			Action: withdraw,
			Target: 1,
		},
		{
			At:     time.Second,
			Action: replace,
			Target: 1,
		},
	},
	// In 1 of 13 runs, a host deadlocked when hosts registered again after a pause: the
	// locks of the replica and of the member list were taken in both orders.
	"hosts pause repeatedly": overlappingPauses(4, 400*time.Millisecond),
	// A request failed because both upstreams of its service rejected it: the idle
	// connections to both led to the previous upstreams of their addresses.
	"idle connections to all upstreams lead to previous ones": {
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

// overlappingPauses returns a plan that pauses the hosts in turn, each for pauseTime,
// so that each pause overlaps those of the hosts before and after it.
func overlappingPauses(rounds int, pauseTime time.Duration) plan {
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

// repeatedResponses returns a plan in which the upstreams of stages, which are every third
// one, repeat half of their responses.
func repeatedResponses() plan {
	var p plan
	for target := 2; target < soakUpstreams; target += 3 {
		p = append(p, step{
			At:     0,
			Action: repeatResponses,
			Target: target,
			For:    soakTime,
			Share:  0.5,
		})
	}
	return p
}

// killsAroundRemovals returns a plan that removes the registration of an upstream while
// all hosts but one start again, for each host in turn.
func killsAroundRemovals() plan {
	const interval = 2500 * time.Millisecond
	var p plan
	for survivor := range soakHosts {
		start := time.Duration(survivor) * interval
		p = append(p, step{
			At:     start,
			Action: withdraw,
			Target: survivor,
		})
		for host := range soakHosts {
			if host == survivor {
				continue
			}
			p = append(p, step{
				At:     start + soakApply - 100*time.Millisecond, // withdraw first waits for soakApply
				Action: kill,
				Target: host,
				For:    200 * time.Millisecond,
			})
		}
	}
	return p
}

// TestSoakRegressions guards against the faults that earlier soak plans found.
func TestSoakRegressions(t *testing.T) {
	for name, p := range regressions {
		t.Run(name, func(t *testing.T) {
			deploymentSlots <- struct{}{}
			defer func() { <-deploymentSlots }()
			if failures := runPlan(t, p); len(failures) > 0 {
				t.Fatalf("%d failures\n%s", len(failures), strings.Join(failures[:min(len(failures), maxPrintedFailures)], "\n"))
			}
		})
	}
}
