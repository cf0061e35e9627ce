// Package stage emulates the upstreams of stages in simulated time.
//
// An upstream runs a limited number of calls at once. A call takes a fixed time plus a
// time for each item. The result of an item occupies capacity of the upstream from the
// start of the call until the result is released or expires.
package stage
