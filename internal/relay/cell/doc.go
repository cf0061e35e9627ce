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
// Locking: a Stager has no mutable state.
package cell
