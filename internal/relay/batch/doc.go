// Package batch decides when and where the stages of requests run on upstreams
// that work in batches.
//
// A call of such an upstream has a large fixed time and a small one for each
// item, and an upstream works on one or a few calls at a time. A Scheduler
// therefore collects the work of many requests and plans it by earliest finish:
// it goes through the waiting work in order of urgency, and gives each part to
// the batch, started now or after a call in progress, that finishes it first.
// Only batches that start now become calls; the others are planned again at the
// next event. At low load this spreads work over idle upstreams, at high load
// the batches fill by themselves.
//
// The order of urgency is: work that can still be on time before work that
// cannot, then the rank of the request, then the earlier objective. A request
// whose deadline can no longer be met is given up at once.
//
// Invariants:
//   - An item is in at most one call at a time.
//   - A stage starts only when all results that it needs are there.
//   - Every result is released exactly once: when the stages that need it have
//     run, when the request has read it, or when the request ends.
//
// Locking: a Scheduler takes no lock; its owner calls it from one goroutine.
package batch
