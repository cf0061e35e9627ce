// Package forward handles the requests of callers: it finds their route, runs
// their stages, sends them to an upstream and passes the answer on.
//
// An answer of the system itself with status 503 states that the request did
// not run and never will; 502 and 504 state nothing. Only whole answers of
// upstreams are passed on as successes; a stream that cannot be completed ends
// by closing the connection.
//
// Locking: a Handler has no mutable state of its own.
package forward
