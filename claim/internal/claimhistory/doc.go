// Package claimhistory checks the histories of claim ledgers.
//
// It runs several hosts over one store in virtual time under a scenario of
// faults, records every claim, execution and refusal, and checks that the
// history is linearizable, that no identity executes twice and that every "not
// run" answer is true. Variants of the ledger that are known to be wrong show
// that the checks can fail. It is used by tests only.
package claimhistory
