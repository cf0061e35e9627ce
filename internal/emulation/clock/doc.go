// Package clock runs events in simulated time.
//
// Events run one after the other in the order of their times, and in the order in
// which they were scheduled at the same time, so a run depends on nothing else.
package clock
