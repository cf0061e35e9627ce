package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// blockCrashes is the number of crashes after which a request is blocked.
	blockCrashes = 3
	// retryCrashes is the number of crashes after which a request is not sent again, once
	// it has been lost.
	retryCrashes = 2
)

// Pattern is a set of fingerprints. Requests that have all of them crash upstreams. There
// are several if no reported request had one without the others.
type Pattern struct {
	Fingerprints []Fingerprint
	Crashes      []Process // that the pattern explains, the latest first
	until        time.Time // when the last of the crashes expires
}

// verdict is what a Table has concluded from the reports.
type verdict struct {
	blocked  []Pattern
	repeated map[Fingerprint]bool // with at least retryCrashes unexplained crashes
}

// tally counts in how many crashes and suspects a fingerprint occurs.
type tally struct {
	crashes, suspects int
}

// conclude returns the patterns that explain the crashes best. The cause of several
// crashes is in flight at each of them, so the fingerprint with the most crashes comes
// first. Of several with the same number, the one in the fewest requests does: blocking it
// affects the fewest others, and if it is the wrong one, the next crash gives another one
// the higher number. The crashes that a pattern explains say nothing about the requests
// that were in flight beside it.
func conclude(crashes map[Process]*crash) verdict {
	unexplained := make(map[Process]*crash, len(crashes))
	for process, c := range crashes {
		unexplained[process] = c
	}
	v := verdict{
		repeated: make(map[Fingerprint]bool),
	}
	for {
		tallies := tallyOf(unexplained)
		best, ok := mostLikely(tallies)
		if !ok || tallies[best].crashes < blockCrashes {
			for f, t := range tallies {
				if t.crashes >= retryCrashes {
					v.repeated[f] = true
				}
			}
			return v
		}
		v.blocked = append(v.blocked, explain(best, tallies, unexplained))
	}
}

// tallyOf counts the fingerprints against which crashes count.
func tallyOf(crashes map[Process]*crash) map[Fingerprint]tally {
	tallies := make(map[Fingerprint]tally)
	for _, c := range crashes {
		for f := range c.all {
			if c.countsAgainst(f) {
				t := tallies[f]
				t.crashes++
				tallies[f] = t
			}
		}
		for _, suspect := range c.suspects {
			for _, f := range suspect {
				if c.countsAgainst(f) {
					t := tallies[f]
					t.suspects++
					tallies[f] = t
				}
			}
		}
	}
	return tallies
}

// mostLikely returns the fingerprint that is most likely the cause of crashes; see
// conclude.
func mostLikely(tallies map[Fingerprint]tally) (best Fingerprint, ok bool) {
	for f, t := range tallies {
		order := cmp.Or(
			cmp.Compare(t.crashes, tallies[best].crashes),
			cmp.Compare(tallies[best].suspects, t.suspects),
			bytes.Compare(best[:], f[:]), // so that hosts with the same reports agree
		)
		if !ok || order > 0 {
			best, ok = f, true
		}
	}
	return best, ok
}

// explain returns the pattern of the fingerprint best, and removes the crashes that it
// explains. The pattern includes the fingerprints that occur in the same suspects.
func explain(best Fingerprint, tallies map[Fingerprint]tally, unexplained map[Process]*crash) Pattern {
	var pattern Pattern
	for _, c := range unexplained {
		for _, suspect := range c.suspects {
			if !slices.Contains(suspect, best) || !c.countsAgainst(best) {
				continue
			}
			if pattern.Fingerprints == nil {
				for _, f := range suspect {
					if c.countsAgainst(f) && tallies[f] == tallies[best] {
						pattern.Fingerprints = append(pattern.Fingerprints, f)
					}
				}
				continue
			}
			pattern.Fingerprints = slices.DeleteFunc(pattern.Fingerprints, func(f Fingerprint) bool {
				return !slices.Contains(suspect, f)
			})
		}
	}
	for process, c := range unexplained {
		if c.countsAgainst(best) {
			pattern.Crashes = append(pattern.Crashes, process)
			if c.expires.After(pattern.until) {
				pattern.until = c.expires
			}
		}
	}
	slices.SortFunc(pattern.Crashes, func(a, b Process) int {
		return cmp.Or(unexplained[b].expires.Compare(unexplained[a].expires), cmp.Compare(a.Upstream, b.Upstream))
	})
	for _, process := range pattern.Crashes {
		delete(unexplained, process)
	}
	slices.SortFunc(pattern.Fingerprints, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return pattern
}

// blocks returns the pattern that blocks a request, if there is one.
func (v verdict) blocks(request *Request) (Pattern, bool) {
	for _, pattern := range v.blocked {
		if request.hasAll(pattern.Fingerprints) {
			return pattern, true
		}
	}
	return Pattern{}, false
}

// equal reports whether two patterns block the same requests.
func (p Pattern) equal(other Pattern) bool {
	return slices.Equal(p.Fingerprints, other.Fingerprints)
}
