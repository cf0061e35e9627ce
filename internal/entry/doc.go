// Package entry implements the daemon of an entry host.
//
// Server processes a request from its arrival to its outcome: admission,
// quarantine check, claim of a non-repeatable request, run of the pipeline,
// record of the outcome. Host connects the components and runs them until it is
// stopped.
//
// Host owns the goroutines: each component is an actor of one run group. Server
// owns the table of active requests, guarded by one mutex that is never held
// while a request waits.
package entry
