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
	all      map[Fingerprint]bool // fingerprints of the suspects; false if the crash does not count against one
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
		return s.Repeated && slices.Contains(s.Fingerprints, f)
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

// add adds the report of another host. Fingerprints that are sound do not count.
func (c *crash) add(report peer.CrashReported, sound func(f Fingerprint) bool) {
	c.reports[keyOf(report)] = true
	if report.At.Before(c.at) {
		c.at = report.At
	}
	for _, suspect := range report.Suspects {
		c.suspects = append(c.suspects, suspect)
		for _, f := range suspect.Fingerprints {
			if _, ok := c.all[f]; !ok {
				c.all[f] = !sound(f)
			}
		}
	}
}
