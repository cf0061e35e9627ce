// Package operator serves the operators' port of an entry host: liveness,
// readiness, metrics, status and the events of the timeline. It also has the
// client that operator commands use to read status and events from all entry
// hosts.
//
// The handlers change no state: each returns a snapshot that it takes from its
// source in Config.
package operator
