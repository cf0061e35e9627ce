// Package host wires the parts of a host that forwards requests by the
// operators' routing table, and runs them until it is told to stop.
//
// A Platform gives the names and formats of the platform that the host runs on.
// Everything the host needs after a restart comes from the store.
package host
