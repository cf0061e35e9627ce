// Package quarantine limits how many upstreams one request can crash.
//
// A request in flight on an upstream that crashes is a suspect, and so are the
// innocent requests next to it. A strike is one crash of one upstream with the
// request in flight. After a first strike a request runs again only as a trial
// that holds the exclusive trying mark of its record in the store; a success
// clears it, a second strike blocks it on every host for BlockPeriod.
//
// Invariants:
//   - The record of a fingerprint changes by compare-and-swap only, so at most
//     one trial is in progress.
//   - A trial starts only after the store has confirmed its mark; while the
//     store is down no suspect is tried.
//   - A mark that is older than TrialLimit counts as a strike, because its host
//     or its answer was lost. Host clocks must agree to well under the
//     difference between TrialLimit and the longest request deadline.
//
// Resent one after the other, a request costs at most two upstreams among hosts
// that can reach each other. Each host that neither hears of the first strike
// nor reads it by Refresh adds at most one. Copies that are in flight at the
// time of the first strike are not covered. Strikes are forgotten after
// BlockPeriod, then the count starts again.
//
// Locking: Table has one mutex, held for the duration of a method. Keeper has
// no lock of its own and holds none during a call to the store or the notifier.
package quarantine
