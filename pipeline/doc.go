// Package pipeline runs the stages of one request under one deadline.
//
// A Runner takes a Job, chooses an upstream for each attempt, and returns an
// outcome.Outcome. Every attempt has an id that the upstream echoes; a result
// with another id is dropped. A request that can no longer finish before its
// deadline is stopped, which cancels its attempts.
//
// An attempt that the upstream certainly did not run (not sent, leaving,
// overloaded) may be retried for every request. An attempt that may have run is
// retried only for repeatable requests and within the retry budget; a
// non-repeatable request ends as outcome.Unknown instead.
//
// A Runner is safe for concurrent use and holds no lock while it waits.
package pipeline
