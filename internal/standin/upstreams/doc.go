// Package upstreams holds small stand-ins for the upstreams of the platform:
// pools, model engines and plain services.
//
// Every output is a function of the input that contains or digests it, so an
// answer delivered to another request is visible. Work holds one of a limited
// number of slots or waits in a bounded queue by priority. Faults are switched
// by "PUT /faults" or SetFaults. All waiting follows the injected Clock.
//
// An upstream has lives: a crash ends the current life, aborts every exchange of
// it and refuses new ones for a time. Serve also closes the listener and all
// connections for that time; behind Handler alone, connections are accepted and
// then closed without an answer.
//
// Each type has one mutex for its own state; no mutex is held during I/O or
// waiting. A crash empties an engine's cache under the mutex of base; no other
// two mutexes are held together.
package upstreams
