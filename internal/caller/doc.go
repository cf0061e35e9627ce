// Package caller implements the HTTP/1.1 interface for callers.
//
// Callers send JSON bodies to "/<service><route path>" and receive JSON or, for
// generated text, server-sent events in the format of chat completions. The
// package parses a request, passes it to a Server and writes the outcome. It
// does not decide whether or where the request runs. The header of a streamed
// response is sent with the first token, so that a request that fails earlier
// still gets the status of its error.
package caller
