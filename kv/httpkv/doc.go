// Package httpkv is the kv.Store that calls the platform's key-value service
// over HTTP.
//
// A failed read returns kv.ErrUnavailable unless the service's response states
// another error. A write returns kv.ErrUnavailable only if no byte of it was
// sent or the service stated that it had no effect; in every other case without
// a complete response it returns kv.ErrUncertain. Writes are never sent twice.
// Store has no mutable state of its own and takes no lock.
package httpkv
