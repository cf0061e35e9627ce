// Package budget bounds how many calls repeat a request.
//
// All hosts together may make a share of the requests to a service, and a fixed
// allowance, as repeats in any window. Each host uses its share of the
// allowance and counts its own requests, so that no call between hosts is
// needed.
//
// Locking: one mutex of the Budget guards the counts.
package budget
