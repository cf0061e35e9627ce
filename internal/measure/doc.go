// Package measure compares the serving code with a plain baseline under the same
// load and faults.
//
// A scenario names a load, faults of the stand-in upstreams and the variants to
// run one after the other. Each variant gets fresh stand-ins on loopback HTTP
// and fresh entry hosts. The baseline sends work round robin to all upstreams of
// a pool and makes up to two more attempts after any failure; it has no
// admission control, hedged requests, early stop or quarantine.
//
// Locking: the mutex of a tally guards its counters; a round robin has a mutex
// of its own. Nothing is held while waiting.
package measure
