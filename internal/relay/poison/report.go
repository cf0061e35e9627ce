package poison

import (
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

const (
	// reportRetention is how long a report counts, and so how long a request is blocked
	// after the last crash that it has caused.
	reportRetention = 15 * time.Minute
	// maxCrashes bounds the crashes that a Table keeps; the oldest is dropped.
	maxCrashes = 256
	// maxRestCrashes bounds the latest crashes that keep the short fingerprints of their suspects,
	// and maxRest those of one crash. Earlier crashes go on to count against fingerprints that any
	// report has in full by then.
	maxRestCrashes = 32
	maxRest        = 4 * peer.MaxRest
	// minDowntime is a time in which an upstream that has crashed does not run requests
	// again. Reports on one upstream within this time are on the same crash.
	minDowntime = 200 * time.Millisecond
)

// crash is what all hosts have reported about the end of one process. Hosts read the
// registration of a process at different times, so the reports may name different
// incarnations.
type crash struct {
	at       time.Time // when the first host noticed it
	reports  map[reportKey]bool
	suspects []peer.CrashSuspect
	all      map[Fingerprint]bool    // fingerprints of the suspects that any report has in full; false if the crash does not count against one
	rest     []peer.ShortFingerprint // of all suspects, in ascending order
}

// reportKey identifies a report on a crash.
type reportKey struct {
	host        ident.HostID
	incarnation ident.Incarnation
}

func newCrash(at time.Time) *crash {
	return &crash{
		at:      at,
		reports: make(map[reportKey]bool),
		all:     make(map[Fingerprint]bool),
	}
}

// isOf reports whether a host has named an incarnation as the one that has crashed.
func (c *crash) isOf(incarnation ident.Incarnation) bool {
	for key := range c.reports {
		if key.incarnation == incarnation {
			return true
		}
	}
	return false
}

// ended reports whether the crash has ended the process that an attempt at the upstream
// has reached, provided that none did earlier.
func (c *crash) ended(a *Attempt) bool {
	if c.isOf(a.process.Incarnation) {
		return a.began.Before(c.at.Add(minDowntime))
	}
	return a.began.Before(c.at)
}

// expired reports whether the crash no longer counts.
func (c *crash) expired(now time.Time) bool { return now.Sub(c.at) >= reportRetention }

// countsAgainst reports whether the crash counts against a fingerprint.
func (c *crash) countsAgainst(f Fingerprint) bool { return c.all[f] }

// follows reports whether a request with the fingerprint was sent after it had been in
// flight at another crash.
func (c *crash) follows(f Fingerprint) bool {
	return slices.ContainsFunc(c.suspects, func(s peer.CrashSuspect) bool {
		return s.Repeated && s.Has(f)
	})
}

// clear makes the crash no longer count against a fingerprint.
func (c *crash) clear(f Fingerprint) {
	if _, ok := c.all[f]; ok {
		c.all[f] = false
	}
}

func keyOf(report peer.CrashReported) reportKey {
	return reportKey{
		host:        report.Host,
		incarnation: report.Incarnation,
	}
}

// adds reports whether a report adds to the crash. One without a host does not.
func (c *crash) adds(report peer.CrashReported) bool {
	return report.Host != "" && !c.reports[keyOf(report)]
}

// add adds the report of another host. Fingerprints that are sound do not count. It returns the
// number of short fingerprints for which there is no room.
func (c *crash) add(report peer.CrashReported, sound func(f Fingerprint) bool) (omitted int) {
	c.reports[keyOf(report)] = true
	if report.At.Before(c.at) {
		c.at = report.At
	}
	for _, suspect := range report.Suspects {
		if len(c.rest)+len(suspect.Rest) > maxRest {
			omitted += len(suspect.Rest)
			suspect.Rest = nil
		}
		c.suspects = append(c.suspects, suspect)
		c.rest = append(c.rest, suspect.Rest...)
		for _, f := range suspect.Fingerprints {
			if _, ok := c.all[f]; !ok {
				c.all[f] = !sound(f)
			}
		}
	}
	slices.Sort(c.rest)
	c.rest = slices.Compact(c.rest)
	return omitted
}

// mayHave reports whether a suspect has a fingerprint as a short one.
func (c *crash) mayHave(f Fingerprint) bool {
	_, found := slices.BinarySearch(c.rest, f.Short())
	return found
}

// recognise makes the crash count against a fingerprint that its reports have as a short one, and
// another one in full.
func (c *crash) recognise(f Fingerprint, sound func(f Fingerprint) bool) {
	if _, ok := c.all[f]; !ok && c.mayHave(f) {
		c.all[f] = !sound(f)
	}
}

// dropRest drops the short fingerprints.
func (c *crash) dropRest() {
	c.rest = nil
	for i := range c.suspects {
		c.suspects[i].Rest = nil
	}
}
