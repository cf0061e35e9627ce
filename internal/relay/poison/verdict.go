package poison

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/peer"
)

const (
	// blockMoments is the number of moments with crashes after which a request is blocked,
	// retryMoments that after which it is not sent again once it has been lost.
	blockMoments = 3
	retryMoments = 2
	// rivalCrashes is the number of crashes from which a fingerprint may be the cause in
	// place of one that is blocked, together or not.
	rivalCrashes = 2
	// momentLength is the time between crashes that count as two moments. Upstreams that
	// fail together end within less, and many requests are in flight at several of them.
	momentLength = 100 * time.Millisecond
	// minRetryAfter is the shortest time after which the callers of blocked requests may
	// try again.
	minRetryAfter = time.Second
)

// Pattern is a set of fingerprints, peer.MaxFingerprints at most. Requests that have all of them
// crash upstreams. There are several if no reported request had one without the others.
type Pattern struct {
	Fingerprints []Fingerprint
	Crashes      []Process     // that the pattern explains, the latest first
	rivals       []Fingerprint // others that may have caused several of the crashes
	concluded    time.Time     // the crash after which there were enough of them
	since        time.Time     // when this host first blocked it
	until        time.Time     // when too few of the crashes are left
}

// verdict is what a Table has concluded from the reports.
type verdict struct {
	blocked   []Pattern
	suspected map[Fingerprint]bool // with at least retryMoments of crashes that no pattern explains
}

// tally counts the crashes that a fingerprint may have caused.
type tally struct {
	crashes   int
	suspects  int
	moments   int       // numbers of crashes that have not happened together
	last      time.Time // latest moment
	concluded time.Time // when there were blockMoments; zero before
}

// add counts a crash, which is not earlier than those counted before. It follows another
// one if a request was sent after that.
func (t tally) add(at time.Time, follows bool) tally {
	t.crashes++
	if t.moments == 0 || follows || at.Sub(t.last) >= momentLength {
		t.moments++
		t.last = at
		if t.moments == blockMoments {
			t.concluded = at
		}
	}
	return t
}

// conclude returns the patterns that explain the crashes best. The cause of several
// crashes is in flight at each of them, so the fingerprint with the most moments comes
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
		suspected: make(map[Fingerprint]bool),
	}
	for {
		tallies := tallyOf(unexplained)
		best, ok := mostLikely(tallies)
		if !ok {
			for f, t := range tallies {
				if t.moments >= retryMoments {
					v.suspected[f] = true
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
	ordered := slices.SortedFunc(maps.Values(crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	for _, c := range ordered {
		for f := range c.all {
			if c.countsAgainst(f) {
				tallies[f] = tallies[f].add(c.at, c.follows(f))
			}
		}
		c.eachSuspected(func(f Fingerprint) {
			if c.countsAgainst(f) {
				t := tallies[f]
				t.suspects++
				tallies[f] = t
			}
		})
	}
	return tallies
}

// eachSuspected calls a function with the fingerprints of each suspect that any report has in
// full.
func (c *crash) eachSuspected(call func(f Fingerprint)) {
	for _, suspect := range c.suspects {
		for _, f := range suspect.Fingerprints {
			call(f)
		}
		if len(suspect.Rest) == 0 {
			continue
		}
		for f := range c.all {
			if !slices.Contains(suspect.Fingerprints, f) && suspect.Has(f) {
				call(f)
			}
		}
	}
}

// mostLikely returns the fingerprint that is most likely the cause of crashes, see
// conclude, if there is one with enough of them.
func mostLikely(tallies map[Fingerprint]tally) (best Fingerprint, ok bool) {
	for f, t := range tallies {
		if t.moments < blockMoments {
			continue
		}
		order := cmp.Or(
			cmp.Compare(t.moments, tallies[best].moments),
			cmp.Compare(t.crashes, tallies[best].crashes),
			cmp.Compare(tallies[best].suspects, t.suspects),
			compareFingerprints(best, f), // so that hosts with the same reports agree
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
	pattern := Pattern{
		Fingerprints: inseparable(best, tallies, unexplained),
		concluded:    tallies[best].concluded,
	}
	for process, c := range unexplained {
		if c.countsAgainst(best) {
			pattern.Crashes = append(pattern.Crashes, process)
		}
	}
	slices.SortFunc(pattern.Crashes, func(a, b Process) int {
		return cmp.Or(unexplained[b].at.Compare(unexplained[a].at), cmp.Compare(a.Upstream, b.Upstream))
	})
	for f, t := range tallies {
		if t.crashes >= rivalCrashes && !slices.Contains(pattern.Fingerprints, f) {
			pattern.rivals = append(pattern.rivals, f)
		}
	}
	pattern.until = unexplained[pattern.Crashes[blockMoments-1]].at.Add(reportRetention)
	for _, process := range pattern.Crashes {
		delete(unexplained, process)
	}
	return pattern
}

// inseparable returns the fingerprint best and those that suspects have only together with it, in
// order and peer.MaxFingerprints at most.
func inseparable(best Fingerprint, tallies map[Fingerprint]tally, crashes map[Process]*crash) []Fingerprint {
	var others []Fingerprint
	for f, t := range tallies {
		if f != best && t == tallies[best] && alwaysWith(f, best, crashes) {
			others = append(others, f)
		}
	}
	slices.SortFunc(others, compareFingerprints)
	all := append(others[:min(len(others), peer.MaxFingerprints-1)], best)
	slices.SortFunc(all, compareFingerprints)
	return all
}

func compareFingerprints(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }

// alwaysWith reports whether all suspects with the fingerprint best, in crashes that count against
// it, have another one too.
func alwaysWith(f, best Fingerprint, crashes map[Process]*crash) bool {
	for _, c := range crashes {
		if !c.countsAgainst(best) {
			continue
		}
		for _, suspect := range c.suspects {
			if suspect.Has(best) && !suspect.Has(f) {
				return false
			}
		}
	}
	return true
}

// blocks returns the pattern that blocks a request, if there is one.
func (v verdict) blocks(request *Request) (Pattern, bool) {
	if request.probes {
		return Pattern{}, false
	}
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
