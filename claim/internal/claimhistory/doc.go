// Package claimhistory checks the histories of claim ledgers.
//
// It runs several hosts over one store in virtual time under a scenario of
// faults, records every claim, every execution and every attempt that is
// reported as not run. It checks that the history is linearizable, that no
// identity is executed twice, that no attempt reported as not run was executed,
// and that no claim outlives an attempt that was not executed. Faulty variants of the
// ledger show that the checks can fail. It is used by tests only.
package claimhistory
