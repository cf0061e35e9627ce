// Package load is an open-loop load generator for entry hosts.
//
// Arrivals follow a seeded Poisson process and do not wait for responses, so the
// load does not fall when the system is slow. Latency is measured from the planned
// arrival. Each request has its own number, from which its unique content is
// built, and each complete response is checked against its own request.
//
// Generator.Run owns all goroutines and returns after they end. recorder.mu guards
// the report while requests are in flight; it is not held during I/O.
package load
