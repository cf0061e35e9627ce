// Package organisation admits the requests of a service on one host and shares
// its capacity among organisations.
//
// A Limiter has an adaptive concurrency limit based on measured latency, and a
// queue for each organisation with waiting requests. It serves the queues by
// deficit round robin, weighted by the organisations' shares.
//
// Invariants:
//   - An error of Acquire means that the request did not start.
//   - A queued request is not admitted once its remaining time is shorter than
//     the expected service time.
//   - Only organisations with waiting requests have a queue. Admission rates,
//     which are gossiped, are kept for a bounded number of organisations.
//
// Locking: one mutex of the Limiter guards its state. Exported methods lock it;
// Acquire does not hold it while it waits. Unexported functions expect their
// caller to hold it.
package organisation
