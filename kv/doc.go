// Package kv is the interface to the platform's key-value service.
//
// The service offers compare-and-swap, leases and watches. Every call counts
// against the service's rate limits; a waiting watch counts as one call.
// Versions increase across the whole store, so a key that is deleted and created
// again never gets a version that it had before. That holds also if the service is restored
// from a backup and numbers its changes anew: see Epoch. Adapters translate their
// protocol's errors into those of this package; ErrUncertain marks a write that
// may have taken effect although no response arrived.
package kv
