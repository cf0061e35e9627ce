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
)

// crash is what all hosts have reported about the end of one process.
type crash struct {
	at       time.Time // when the first host noticed it
	hosts    map[ident.HostID]bool
	suspects []peer.CrashSuspect
	all      map[Fingerprint]bool // fingerprints of the suspects; false if the crash does not count against one
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

// add adds the report of another host. Fingerprints that are sound do not count.
func (c *crash) add(report peer.CrashReported, sound func(f Fingerprint) bool) {
	c.hosts[report.Host] = true
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
