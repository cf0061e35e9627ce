// Package load is an open-loop load generator for entry hosts.
//
// Arrivals follow a seeded Poisson process and do not wait for answers, so a
// slow system gets no less load. Latency counts from the planned arrival. Each
// request has its own number, from which its unique content is built, and each
// complete answer is checked against its own request.
//
// Generator.Run owns all goroutines and returns after they end. The mutex of
// the recorder guards the report while it is filled; it is not held during I/O.
package load
