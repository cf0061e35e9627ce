// Package upstreams holds small stand-ins for the upstreams of the platform:
// pools, model engines and plain services.
//
// Every output is a function of the input and contains the input or a digest of
// it, so tests detect a response that was delivered to another request. A
// request takes one of a limited number of slots, or waits for one in a bounded
// queue by priority. Faults are switched by "PUT /faults" or SetFaults. All waits
// use the injected Clock.
//
// A crash ends the current lifetime of an upstream and begins the next one: it
// aborts all requests of the ended lifetime, and new requests are refused during
// the downtime. Serve also closes the listener and all connections for that time;
// with Handler alone, connections are accepted and then closed without a
// response.
//
// Each type has one mutex for its own state; no mutex is held during I/O or
// waits. A crash empties an engine's cache under the mutex of base; no other two
// mutexes are held together.
package upstreams
