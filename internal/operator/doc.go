// Package operator serves the operators' port of an entry host: liveness,
// readiness, metrics, status and the events of the timeline.
//
// It only reads: every handler takes a snapshot from the function that was
// given for it.
package operator
