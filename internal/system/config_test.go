package system

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
)

const (
	operators     = 5
	changeRounds  = 4
	effectLimit   = 6 * time.Second // from acceptance to effect on every host
	watchInterval = 20 * time.Millisecond
)

// sighting is the revision that an entry host had in effect at a time.
type sighting struct {
	host     int
	revision ident.Revision
	at       time.Time
}

// acceptance is the end of the command that changed a document.
type acceptance struct {
	revision ident.Revision
	at       time.Time
}

// reverted returns what is wrong with the sightings of accepted revisions: one
// that decreases, was never accepted, or is late.
func reverted(seen []sighting, accepted []acceptance) []string {
	var found []string
	highest := make(map[int]ident.Revision)
	known := map[ident.Revision]bool{
		1: true,
	}
	for _, a := range accepted {
		known[a.revision] = true
	}
	for _, s := range seen {
		if s.revision < highest[s.host] {
			found = append(found, fmt.Sprintf("host %d went from revision %d to %d", s.host, highest[s.host], s.revision))
		}
		highest[s.host] = max(highest[s.host], s.revision)
		if !known[s.revision] {
			found = append(found, fmt.Sprintf("host %d has revision %d, which no command reported", s.host, s.revision))
		}
		for _, a := range accepted {
			if s.revision < a.revision && s.at.Sub(a.at) > effectLimit {
				found = append(found, fmt.Sprintf("host %d has revision %d %v after revision %d was accepted", s.host, s.revision, s.at.Sub(a.at), a.revision))
			}
		}
	}
	return found
}

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

// observe records the revision of entries-api on every entry host until stop is closed.
func (d *deployment) observe(stop <-chan struct{}) <-chan []sighting {
	result := make(chan []sighting, 1)
	go func() {
		var seen []sighting
		defer func() { result <- seen }()
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			for i := 1; i <= entries; i++ {
				if revision := d.revision(i); revision > 0 {
					seen = append(seen, sighting{
						host:     i,
						revision: revision,
						at:       time.Now(),
					})
				}
			}
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	return result
}

// revision returns the revision of entries-api on entry host i, 0 if it has none.
func (d *deployment) revision(i int) ident.Revision {
	status, _ := d.status(i)
	for _, held := range status.Documents {
		if held.Service == entriesAPI {
			return held.Revision
		}
	}
	return 0
}

// race applies one change for each operator on the same base and returns the
// one that was accepted.
func (d *deployment) race(t *testing.T, base ident.Revision) acceptance {
	t.Helper()
	var commands []*process
	for i := range operators {
		commands = append(commands, d.apply(entriesAPI, d.variant(i), base, fmt.Sprintf("operator-%d", i)))
	}
	var won []int
	var losers []*process
	for i, command := range commands {
		if command.exit(t) == 0 {
			won = append(won, i)
		} else {
			losers = append(losers, command)
		}
	}
	qt.Assert(t, won, qt.HasLen, 1, qt.Commentf("base %d: winners", base))
	winner := fmt.Sprintf("revision %d by operator-%d of team fair-entries", base+1, won[0])
	for _, loser := range losers {
		qt.Check(t, strings.Contains(loser.output.String(), winner), qt.IsTrue, qt.Commentf("want %q in: %s", winner, loser.output))
	}
	return acceptance{
		revision: base + 1,
		at:       time.Now(),
	}
}

// variant writes the document of an operator, which differs from all others.
func (d *deployment) variant(operator int) string {
	name := fmt.Sprintf("%s-%d.ini", entriesAPI, operator)
	d.write(name, strings.Replace(d.read(entriesAPI+".ini"), "deadline = 6s", fmt.Sprintf("deadline = %ds", 7+operator), 1))
	return name
}

// Guards against two winners of one base, a winner that is told that it lost,
// and a revision that is reverted or takes effect late, also when the store
// loses answers and an entry host starts again.
func TestConcurrentChanges(t *testing.T) {
	tests := map[string]platform.Faults{
		"no fault": {},
		"store loses answers": {
			LoseAnswer: 2,
		},
		"store loses answers and watches": {
			LoseAnswer: 3,
			DropWatch:  true,
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
