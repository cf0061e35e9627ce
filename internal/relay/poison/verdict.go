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
	// minCrashSpan is the shortest time in which blockCrashes crashes block a request.
	// Upstreams that fail together end within less, and many requests are in flight at
	// several of them.
	minCrashSpan = 400 * time.Millisecond
	// minRetryAfter is the shortest time after which the callers of blocked requests may
	// try again.
	minRetryAfter = time.Second
)

// Pattern is a set of fingerprints. Requests that have all of them crash upstreams. There
// are several if no reported request had one without the others.
type Pattern struct {
	Fingerprints []Fingerprint
	Crashes      []Process // that the pattern explains, the latest first
	since        time.Time // when this host first blocked it
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
	first, last       time.Time // of the crashes
}

// add counts a crash.
func (t tally) add(at time.Time) tally {
	if t.crashes == 0 || at.Before(t.first) {
		t.first = at
	}
	if at.After(t.last) {
		t.last = at
	}
	t.crashes++
	return t
}

// blocks reports whether the crashes are reason enough to block requests.
func (t tally) blocks() bool {
	return t.crashes >= blockCrashes && t.last.Sub(t.first) >= minCrashSpan
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
		if !ok {
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
				tallies[f] = tallies[f].add(c.at)
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

// mostLikely returns the fingerprint that is most likely the cause of crashes, see
// conclude, if there is one with enough of them.
func mostLikely(tallies map[Fingerprint]tally) (best Fingerprint, ok bool) {
	for f, t := range tallies {
		if !t.blocks() {
			continue
		}
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
			if until := c.at.Add(reportRetention); until.After(pattern.until) {
				pattern.until = until
			}
		}
	}
	slices.SortFunc(pattern.Crashes, func(a, b Process) int {
		return cmp.Or(unexplained[b].at.Compare(unexplained[a].at), cmp.Compare(a.Upstream, b.Upstream))
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

// retryAfter returns when the callers of blocked requests may try again. A wrong verdict
// usually ends within seconds, so that is soon at first, and later the longer the verdict
// has held.
func (p Pattern) retryAfter(now time.Time) time.Duration {
	return max(0, min(max(now.Sub(p.since), minRetryAfter), p.until.Sub(now)))
}

// keepSince sets the times since which the patterns that a previous verdict had too have
// been blocked.
func (v verdict) keepSince(now time.Time, previous verdict) {
	for i, pattern := range v.blocked {
		v.blocked[i].since = now
		if known := slices.IndexFunc(previous.blocked, pattern.equal); known >= 0 {
			v.blocked[i].since = previous.blocked[known].since
		}
	}
}

// equal reports whether two patterns block the same requests.
func (p Pattern) equal(other Pattern) bool {
	return slices.Equal(p.Fingerprints, other.Fingerprints)
}
