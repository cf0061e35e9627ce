// Package stage emulates the upstreams of stages in simulated time.
//
// An upstream works on one or a few calls at a time. Each takes a fixed time and a
// time for each item, whose result takes room from the turn of the call until it is
// released or lapses.
package stage
