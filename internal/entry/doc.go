// Package entry is the daemon of an entry host.
//
// Server takes a request from its arrival to its outcome: quarantine check,
// admission, claim for a non-repeatable request, run of the pipeline, record of
// the outcome. Host wires the parts together and runs them until a stop.
//
// Host owns the goroutines: each part is an actor of one run group. Server owns
// the table of active requests, guarded by one mutex that is never held while
// a request waits.
package entry
