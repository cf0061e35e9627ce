// Package pipeline runs the stages of one request under one deadline.
//
// A Runner takes a Job, chooses an upstream for each attempt, and returns a
// sealed outcome. Every attempt has an id that the upstream echoes; the result
// of any other attempt is dropped. A request that can no longer finish within
// its deadline is stopped, which cancels its attempts.
//
// Attempts that the upstream certainly did not run (not sent, leaving,
// overloaded) may be repeated for every request. Attempts that may have run are
// repeated only for repeatable requests and within the retry budget; a
// non-repeatable request then ends as outcome.Unknown.
//
// A Runner is safe for concurrent use and holds no lock while it waits.
package pipeline
