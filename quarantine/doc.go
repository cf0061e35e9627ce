// Package quarantine limits how many upstreams one request can crash.
//
// A strike is one crash of one upstream with the request in flight. It makes the
// request a suspect, as it does the innocent requests that were in flight on the
// same upstream. A suspect runs again only as a trial, which holds an exclusive
// mark in the record of the request in the store. Success of the trial clears the
// request; a second strike blocks it on every host for BlockPeriod.
//
// Invariants:
//   - The record of a fingerprint is changed only by compare-and-swap, so at most
//     one trial of it is in progress.
//   - A trial starts only after the store has confirmed its mark; while the
//     store is unavailable no suspect runs.
//   - A mark that is older than TrialLimit counts as a strike, because its host
//     or the outcome of its trial was lost. The clocks of the hosts must differ
//     by much less than TrialLimit exceeds the longest request deadline.
//
// A request that is retried sequentially crashes at most two upstreams among hosts
// that can reach each other. Each host that neither receives the rumour of the
// first strike nor reads it by Refresh adds at most one. Copies that are in flight
// at the time of the first strike are not covered. Strikes expire BlockPeriod
// after the last one; then the count starts again.
//
// Locking: Table has one mutex, which is held for the duration of a method. Keeper
// has no lock of its own and holds none during a call to the store or the notifier.
package quarantine
