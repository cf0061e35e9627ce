// Package host assembles and runs a host that forwards requests according to the
// operators' routing table.
//
// A Platform provides the names and formats of the platform that the host runs on. The
// host keeps no state on disk: after a restart it reads everything from the store or
// receives it from other hosts.
package host
