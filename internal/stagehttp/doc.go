// Package stagehttp is the HTTP/1.1 client to pools, plain services and engines.
//
// Client implements pipeline.Transport. An exchange is one request and its
// reply on one connection. The package guarantees:
//
//   - A request is written to one connection only. http.Transport repeats some
//     requests on its own when a reused connection fails, so the client drives
//     single connections (http.ClientConn) and keeps its own idle list.
//   - pipeline.ErrNotSent means that the kernel accepted no byte of the request
//     and that the connection cannot accept one later.
//   - A reply counts only if it echoes the Attempt-Id of its request and its end
//     is marked by a length, by chunks or, for streams, by "data: [DONE]".
//   - A connection returns to the idle list only after a complete exchange; any
//     other connection is closed, which also cancels the work at an engine.
//
// Client.mu guards the idle lists, connection.mu the write state of one
// connection. Neither is held during I/O, and neither is taken while the other
// is held.
package stagehttp
