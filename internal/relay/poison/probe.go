package poison

import (
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/peer"
)

// probeInterval is the time between a verdict and the first probe of it, and between
// probes. Fingerprints of bystanders are usually known to be sound by then.
const probeInterval = 3 * time.Second

// probe is the latest probe of a pattern.
type probe struct {
	at      time.Time
	crashes int // that the pattern explained at the time
}

// probe reports whether a request that a pattern blocks is sent nevertheless. Without
// probes a wrong pattern would last: no request with it is sent, so nothing shows that it
// is sound, and the requests with the real cause of the crashes, which have it too, crash
// no further upstream. A request probes the pattern if it has none of the fingerprints that
// may have caused the crashes instead. A crash since the last probe ends the probes, since
// it confirms the pattern. The caller holds the mutex.
func (t *Table) probe(now time.Time, pattern Pattern, request *Request) bool {
	if len(pattern.rivals) == 0 || now.Sub(pattern.since) < probeInterval || request.hasAny(pattern.rivals) {
		return false
	}
	last, ok := t.probes[pattern.key()]
	if ok && (now.Sub(last.at) < probeInterval || len(pattern.Crashes) > last.crashes) {
		return false
	}
	t.probes[pattern.key()] = probe{
		at:      now,
		crashes: len(pattern.Crashes),
	}
	request.probes = true
	return true
}

// dropProbes drops the probes of patterns that are no longer blocked. The caller holds the
// mutex.
func (t *Table) dropProbes() {
	for key := range t.probes {
		if !slices.ContainsFunc(t.verdict.blocked, func(p Pattern) bool { return p.key() == key }) {
			delete(t.probes, key)
		}
	}
}

// key identifies the patterns that block the same requests.
func (p Pattern) key() string { return string(peer.JoinFingerprints(p.Fingerprints)) }
