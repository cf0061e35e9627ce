// Package measure compares the serving code with a round-robin baseline under
// the same load and faults.
//
// A scenario defines a load, the faults injected into the stand-in upstreams and
// the variants, which run one after the other. Each variant gets new stand-in
// upstreams on loopback HTTP and new entry hosts. The baseline sends requests
// round robin to all upstreams of a pool and retries up to twice after any
// failure; it has no admission control, hedged requests, early stop or
// quarantine.
//
// Locking: collector.mu guards the counters of a run, roundRobin.mu the rotation
// of the baseline. No mutex is held during I/O or while sleeping.
package measure
