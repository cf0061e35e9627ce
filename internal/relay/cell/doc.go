// Package cell divides the upstreams of stages into cells and finds the host that
// coordinates each cell.
//
// All hosts send the stages of their requests to one coordinator per cell, since
// hosts that batch independently of each other fill the upstreams with small
// batches. The hosts agree on the coordinator as on the holder of any other duty.
// While they disagree, upstreams refuse calls: each coordinator plans with the whole
// capacity of the cell.
//
// A job therefore goes to the first of a few candidates that is not lost, in an order
// that is the same on all hosts. A host that has just started waits for the first
// candidate, which may be starting too. It schedules alone only if it knows no other
// live host or if no candidate has responded for partitionPeriod. The situation type
// makes these decisions without input or output.
//
// Locking: one mutex of the Stager guards the silence of the candidates and the reports.
package cell
