// Package upstreamhttp sends requests to upstreams over HTTP/1.1.
//
// A Client keeps idle connections per address and tells for every failure
// whether the request may have run: ErrBusy and ErrNotSent mean that no byte of
// it was written, ErrLost that it may have run. A response that belongs to
// another request is never returned. A response without the id of the request is
// returned only if the connection has carried no other request, since a faulty
// upstream may write the response to an earlier request once more.
//
// Every read is bounded in bytes, and in time by the context of the request.
//
// Locking: one mutex of the Client guards the idle lists and the counts of open
// connections; it is not held during I/O. A connection is used by
// one exchange at a time.
package upstreamhttp
