// Package organisation decides which requests of a service start, and in which
// order the organisations' requests do.
//
// A Limiter has a concurrency limit that follows the measured latency, a queue
// for each organisation with waiting requests, and deficit round robin by share
// among the queues.
//
// Invariants:
//   - An error of Acquire means that the request did not start.
//   - A request does not start after the moment from which its deadline cannot
//     be met at the expected service time.
//   - An organisation without waiting requests has no state here; the rates
//     for gossip are kept for a bounded number of organisations.
//
// Locking: one mutex of the Limiter guards its state. Exported methods take it;
// Acquire does not hold it while it waits. Unexported functions expect it to be
// held.
package organisation
