// Package clock runs events in simulated time.
//
// Events run one after the other in the order of their times; events of the same time
// run in the order in which they were scheduled. This makes runs deterministic.
package clock
