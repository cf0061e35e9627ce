// Package kv is the interface to the platform's key-value service.
//
// The service offers compare-and-swap, leases and watches. Every call counts
// against its rate limits, a waiting watch as one. Versions are store-wide
// increasing numbers, so a key that is deleted and created again never repeats
// a version. Adapters translate their protocol's errors into those of this
// package; ErrUncertain marks a write that may have taken effect although no
// answer arrived.
package kv
