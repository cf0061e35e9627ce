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
	accepted := []acceptance{
		{
			revision: 2,
			at:       time.Unix(10, 0),
		},
	}
	seen := func(host int, revision ident.Revision, second int64) sighting {
		return sighting{
			host:     host,
			revision: revision,
			at:       time.Unix(second, 0),
		}
	}
	tests := map[string]struct {
		seen []sighting
		good bool
	}{
		"in effect in time":  {seen: []sighting{seen(1, 1, 9), seen(2, 1, 12), seen(1, 2, 12), seen(2, 2, 13)}, good: true},
		"before the command": {seen: []sighting{seen(1, 2, 9)}, good: true},
		"reverted":           {seen: []sighting{seen(1, 2, 11), seen(1, 1, 12)}},
		"late":               {seen: []sighting{seen(1, 1, 17)}},
		"never accepted":     {seen: []sighting{seen(1, 3, 11)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found := reverted(test.seen, accepted)
			qt.Assert(t, len(found) == 0, qt.Equals, test.good, qt.Commentf("%v", found))
		})
	}
}

// Guards against two winners of one base, a winner that is told that it lost,
// and a revision that is reverted or takes effect late, also when the store
// loses answers and an entry host starts again.
func TestConcurrentChanges(t *testing.T) {
	tests := map[string]platform.Faults{
		"no fault": {},
		"store loses answers": {
			LoseResponse: 2,
		},
		"store loses answers and watches": {
			LoseResponse: 3,
			DropWatch:    true,
		},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, setup{})
			stop := make(chan struct{})
			seen := d.observe(stop)
			var accepted []acceptance
			for base := ident.Revision(1); base <= changeRounds; base++ {
				d.storeFaults(faults)
				accepted = append(accepted, d.race(t, base))
				if base == changeRounds/2 {
					d.hosts[2].kill(t)
					d.startHost(2)
					d.awaitReady(2)
				}
			}
			await(t, "last revision on every entry host", func() bool {
				for i := 1; i <= entries; i++ {
					if d.revision(i) != changeRounds+1 {
						return false
					}
				}
				return true
			})
			t.Logf("in effect everywhere after %v", time.Since(accepted[changeRounds-1].at))
			qt.Check(t, time.Since(accepted[changeRounds-1].at) < effectLimit, qt.IsTrue)
			close(stop)
			sightings := <-seen
			qt.Check(t, len(sightings) > changeRounds*entries, qt.IsTrue)
			for _, fault := range reverted(sightings, accepted) {
				t.Error(fault)
			}
		})
	}
}
