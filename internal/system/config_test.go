package system

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
)

// Guards against a checker that accepts a reverted, late or unknown revision.
func TestRevisionChecker(t *testing.T) {
	accepted := []acceptedChange{
		{
			revision: 2,
			at:       time.Unix(10, 0),
		},
	}
	observed := func(host int, revision ident.Revision, second int64) observation {
		return observation{
			host:     host,
			revision: revision,
			at:       time.Unix(second, 0),
		}
	}
	tests := map[string]struct {
		observed []observation
		valid    bool
	}{
		"in effect in time":  {observed: []observation{observed(1, 1, 9), observed(2, 1, 12), observed(1, 2, 12), observed(2, 2, 13)}, valid: true},
		"before the command": {observed: []observation{observed(1, 2, 9)}, valid: true},
		"reverted":           {observed: []observation{observed(1, 2, 11), observed(1, 1, 12)}},
		"late":               {observed: []observation{observed(1, 1, 17)}},
		"never accepted":     {observed: []observation{observed(1, 3, 11)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			problems := checkRevisions(test.observed, accepted)
			qt.Assert(t, len(problems) == 0, qt.Equals, test.valid, qt.Commentf("%v", problems))
		})
	}
}

// Guards against two accepted changes of one base revision, an accepted change
// that is reported as rejected, and a revision that is reverted or takes effect
// late, also when the store loses responses and an entry host restarts.
func TestConcurrentChanges(t *testing.T) {
	tests := map[string]platform.Faults{
		"no fault": {},
		"store loses responses": {
			LoseResponse: 2,
		},
		"store loses responses and watches": {
			LoseResponse: 3,
			DropWatch:    true,
		},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, setup{})
			stop := make(chan struct{})
			observed := d.observe(stop)
			var accepted []acceptedChange
			for base := ident.Revision(1); base <= changeRounds; base++ {
				d.storeFaults(faults)
				accepted = append(accepted, d.raceChanges(t, base))
				if base == changeRounds/2 {
					d.hosts[2].kill(t)
					d.startHost(2)
					d.awaitReady(2)
				}
			}
			await(t, "last revision on every entry host", func() bool {
				for i := 1; i <= entryHosts; i++ {
					if d.revision(i) != changeRounds+1 {
						return false
					}
				}
				return true
			})
			t.Logf("in effect everywhere after %v", time.Since(accepted[changeRounds-1].at))
			qt.Check(t, time.Since(accepted[changeRounds-1].at) < effectLimit, qt.IsTrue)
			close(stop)
			observations := <-observed
			qt.Check(t, len(observations) > changeRounds*entryHosts, qt.IsTrue)
			for _, problem := range checkRevisions(observations, accepted) {
				t.Error(problem)
			}
		})
	}
}
