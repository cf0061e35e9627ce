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
	operatorCount = 5
	changeRounds  = 4
	effectLimit   = 6 * time.Second // from acceptance to effect on every host
	watchInterval = 20 * time.Millisecond
)

// observation is the revision that was in effect on an entry host at a time.
type observation struct {
	host     int
	revision ident.Revision
	at       time.Time
}

// acceptedChange is a document change that a command reported as accepted.
type acceptedChange struct {
	revision ident.Revision
	at       time.Time
}

// checkRevisions returns what is wrong with the observations: a revision that is
// lower than an earlier one of the same host, was never accepted, or took effect
// later than effectLimit after its acceptance.
func checkRevisions(observations []observation, accepted []acceptedChange) []string {
	var problems []string
	highest := make(map[int]ident.Revision)
	known := map[ident.Revision]bool{
		1: true,
	}
	for _, change := range accepted {
		known[change.revision] = true
	}
	for _, seen := range observations {
		if seen.revision < highest[seen.host] {
			problems = append(problems, fmt.Sprintf("host %d went from revision %d to %d", seen.host, highest[seen.host], seen.revision))
		}
		highest[seen.host] = max(highest[seen.host], seen.revision)
		if !known[seen.revision] {
			problems = append(problems, fmt.Sprintf("host %d has revision %d, which no command reported", seen.host, seen.revision))
		}
		for _, change := range accepted {
			if seen.revision < change.revision && seen.at.Sub(change.at) > effectLimit {
				problems = append(problems, fmt.Sprintf("host %d has revision %d %v after revision %d was accepted", seen.host, seen.revision, seen.at.Sub(change.at), change.revision))
			}
		}
	}
	return problems
}

// observe records the revision of entries-api on every entry host until stop is closed.
func (d *deployment) observe(stop <-chan struct{}) <-chan []observation {
	result := make(chan []observation, 1)
	go func() {
		var observations []observation
		defer func() { result <- observations }()
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			for i := 1; i <= entryHosts; i++ {
				if revision := d.revision(i); revision > 0 {
					observations = append(observations, observation{
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
	for _, document := range status.Documents {
		if document.Service == entriesAPI {
			return document.Revision
		}
	}
	return 0
}

// raceChanges applies a change of each operator to the same base revision, all
// concurrently, and returns the one that was accepted.
func (d *deployment) raceChanges(t *testing.T, base ident.Revision) acceptedChange {
	t.Helper()
	var commands []*process
	for i := range operatorCount {
		commands = append(commands, d.apply(entriesAPI, d.writeVariant(i), base, fmt.Sprintf("operator-%d", i)))
	}
	var winners []int
	var losers []*process
	for i, command := range commands {
		if command.exit(t) == 0 {
			winners = append(winners, i)
		} else {
			losers = append(losers, command)
		}
	}
	qt.Assert(t, winners, qt.HasLen, 1, qt.Commentf("base %d: winners", base))
	winner := fmt.Sprintf("revision %d by operator-%d of team fair-entries", base+1, winners[0])
	for _, loser := range losers {
		qt.Check(t, strings.Contains(loser.output.String(), winner), qt.IsTrue, qt.Commentf("want %q in: %s", winner, loser.output))
	}
	return acceptedChange{
		revision: base + 1,
		at:       time.Now(),
	}
}

// writeVariant writes a document of entries-api that is unique to an operator, and
// returns the name of its file.
func (d *deployment) writeVariant(operator int) string {
	name := fmt.Sprintf("%s-%d.ini", entriesAPI, operator)
	d.write(name, strings.Replace(d.read(entriesAPI+".ini"), "deadline = 6s", fmt.Sprintf("deadline = %ds", 7+operator), 1))
	return name
}
