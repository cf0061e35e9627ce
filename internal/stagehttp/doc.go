// Package stagehttp implements the HTTP/1.1 client for pools, plain services and
// engines.
//
// Client implements pipeline.Transport. An exchange is one request and its
// response on one connection. The package guarantees:
//
//   - A request is written to one connection only. http.Transport retries some
//     requests by itself if a reused connection fails, so the client uses
//     single connections (http.ClientConn) and keeps its own idle lists.
//   - pipeline.ErrNotSent means that the kernel accepted no byte of the request
//     and that the connection cannot accept one later.
//   - A response is accepted only if it echoes the Attempt-Id of its request and
//     its end is marked by a length, by chunked encoding or, for streams, by
//     "data: [DONE]".
//   - A connection is reused only after a complete exchange; any other
//     connection is closed, which also cancels the work at an engine.
//
// Client.mu guards the idle lists; connection.mu guards the write state of one
// connection. Neither is held during I/O or acquired while the other is held.
package stagehttp
