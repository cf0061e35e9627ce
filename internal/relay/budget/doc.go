// Package budget limits how many calls are retries.
//
// In any window, all hosts together may make a share of the requests to a service,
// and a fixed allowance, as retries. Each host uses an equal part of the allowance
// and counts only its own requests, so that the hosts need no communication.
//
// Locking: one mutex of the Budget guards the counts.
package budget
