// Package callerhttp serves the port for callers.
//
// It detects a kind of request smuggling that net/http hides from handlers: a
// request that has both a Content-Length and a chunked body. A proxy in front may
// have used the other length, so that a further request may be hidden in the body.
//
// Locking: a mutex of each connection guards the bytes that were last read from it.
package callerhttp
