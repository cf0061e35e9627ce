// Package cell divides the upstreams of stages into cells and finds the host
// that coordinates a cell.
//
// All hosts send the stages of their requests to one coordinator a cell, since
// hosts that batch against each other fill the upstreams with small batches.
// Which host that is, they agree on as on any other duty. Hosts that disagree for
// a while only batch less well: an upstream takes calls of several coordinators,
// and a piece that is made twice does no harm. A host that reaches no other
// coordinates its own requests.
//
// A host that does not answer a job is passed over for a while, so that requests do
// not wait for it one after the other until the membership suspects it.
//
// Locking: one mutex of the Stager guards the hosts that it passes over.
package cell
