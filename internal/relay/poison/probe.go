package poison

import (
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/peer"
)

// probeInterval is the time between a verdict and the first probe of it, and between
// probes. Fingerprints of bystanders are usually known to be sound by then.
const probeInterval = 3 * time.Second

// maxUnrivalled is the number of probes of a verdict without rivals that upstreams may lose. Each
// of them may have crashed an upstream. One that was refused or abandoned has not, and shows
// nothing.
const maxUnrivalled = 2

// probe holds the latest probe of a pattern, and which requests it blocks.
type probe struct {
	at         time.Time // zero before the first probe
	request    *Request
	crashes    int // that the pattern explained at the time
	unanswered int // probes before the latest one that upstreams have lost

	// Requests are counted in windows of probeInterval. Before the second window, only
	// requests without rivals may probe.
	windowStart time.Time
	fewest      int // rivals of a request that was blocked in this window
	earlier     int // the same in the window before; 0 in the first one
}

// probe reports whether a request that a pattern blocks is sent nevertheless. Without
// probes a wrong pattern would last: no request with it is sent, so nothing shows that it
// is sound, and the requests with the real cause of the crashes, which have it too, crash
// no further upstream. The rivals are the fingerprints that may have caused the crashes
// instead. A request probes the pattern if it has none of them or, if there is no such
// request, as few as any and not all. If there are no rivals, the pattern is probably right,
// but upstreams that have crashed for reasons of their own give it too: it is probed unless it
// is confirmed. A crash since the last probe ends the probes, since it confirms the pattern.
// The caller holds the mutex.
func (t *Table) probe(now time.Time, pattern Pattern, request *Request) bool {
	rivals := request.count(pattern.rivals)
	switch {
	case len(pattern.rivals) > 0 && rivals == len(pattern.rivals):
		return false // would show nothing
	case len(pattern.rivals) == 0 && t.confirmed(pattern):
		return false
	}
	p := t.probes[pattern.key()]
	if p == nil {
		p = &probe{
			windowStart: now,
			fewest:      rivals,
		}
		t.probes[pattern.key()] = p
	}
	p.add(now, rivals)
	if now.Sub(pattern.since) < probeInterval || rivals > min(p.fewest, p.earlier) {
		return false
	}
	if !p.at.IsZero() && (now.Sub(p.at) < p.interval() || len(pattern.Crashes) > p.crashes) {
		return false
	}
	if !p.at.IsZero() && p.request.lost {
		p.unanswered++
	}
	if len(pattern.rivals) == 0 && p.unanswered >= maxUnrivalled {
		return false
	}
	p.at = now
	p.request = request
	p.crashes = len(pattern.Crashes)
	request.probes = true
	return true
}

// confirmed reports whether a crash shows that a pattern is right: it came so long after those
// that led to the verdict that a probe has probably caused it. All hosts with the same reports
// agree. The caller holds the mutex.
func (t *Table) confirmed(pattern Pattern) bool {
	latest := t.crashes[pattern.Crashes[0]]
	return latest.at.Sub(pattern.concluded) >= probeInterval
}

// interval returns the time between the latest probe and the next one. If the response to
// the probe ended too soon to show that it is sound, the next one shows soon whether the
// upstream went on.
func (p *probe) interval() time.Duration {
	if p.request.served {
		return settleTime
	}
	return probeInterval
}

// add counts a blocked request with a number of rivals.
func (p *probe) add(now time.Time, rivals int) {
	if now.Sub(p.windowStart) >= probeInterval {
		p.windowStart = now
		p.earlier, p.fewest = p.fewest, rivals
	}
	p.fewest = min(p.fewest, rivals)
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
