// Package cell divides the upstreams of stages into cells and finds the host that
// coordinates each cell.
//
// All hosts send the stages of their requests to one coordinator per cell, since
// hosts that batch independently of each other fill the upstreams with small
// batches. The hosts agree on the coordinator as on the holder of any other duty.
// While they disagree, batching is only less efficient: an upstream accepts calls
// of several coordinators, and a piece that runs twice does no harm. A host that
// reaches no other host coordinates its own requests.
//
// A host that has not responded to a job is skipped for a while, so that requests do
// not each wait for it until the membership suspects it.
//
// Locking: one mutex of the Stager guards the skipped hosts and the reports.
package cell
