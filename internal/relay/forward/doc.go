// Package forward handles callers' requests: it resolves the route, runs the stages,
// sends the request to an upstream and forwards the response.
//
// A response with status 503 that the system itself generates guarantees that the
// request did not run and will not run. After status 502 or 504 the request may have
// run. Only complete responses of upstreams are forwarded as successes; a stream that
// cannot be completed ends by closing the caller's connection.
//
// Locking: a Handler has no mutable state of its own.
package forward
