// Package batch schedules the stages of requests on upstreams that process items
// in batches.
//
// A call to such an upstream has a large fixed cost and a small cost per item, and
// an upstream runs only one or a few calls at a time. A Scheduler therefore
// collects the pieces of many requests and schedules them by earliest finish time:
// it goes through the waiting stages in order of urgency, and assigns their pieces
// to the batch that finishes them first. A batch starts either now or after a call
// in progress. Only batches that start now become calls; the others are planned
// again at the next event. At low load this spreads work over idle upstreams, at
// high load the batches fill up.
//
// Stages of requests that can still meet their objective come before those of
// requests that cannot; within each group, the stage that has to start earliest
// comes first. A request whose deadline can no longer be met fails at once.
//
// Where objectives differ widely, the owner enables slack-aware scheduling
// (SetSlackAware): work with slack waits for fuller calls, and each job is admitted by its
// own slack and a forecast of the work that comes before it.
//
// While a service is short of capacity, requests of organisations that use more than
// their shares of it are refused at a shorter delay than others; see package share.
//
// Invariants:
//   - An item is in at most one call at a time.
//   - A stage starts only when all results that it needs are available.
//   - Every result is released exactly once: when the stages that need it have
//     run, when the request has read it, or when the request ends.
//
// Locking: a Scheduler has no lock and is not safe for concurrent use; its owner
// calls it from one goroutine.
package batch
