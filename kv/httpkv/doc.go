// Package httpkv is the kv.Store that reaches the platform's key-value service
// over HTTP.
//
// A read that fails for any reason other than an answer of the service returns
// kv.ErrUnavailable. A write returns kv.ErrUnavailable only if no byte of it
// was sent or the service stated that it had no effect; in every other case
// without a complete answer it returns kv.ErrUncertain. Writes are never sent
// twice. Store has no mutable state of its own and takes no lock.
package httpkv
