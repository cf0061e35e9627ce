package system

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
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
