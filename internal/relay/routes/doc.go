// Package routes holds the routing table that operators publish: which caller
// may use which path, which service runs it and under which limits.
//
// A Table is immutable. Match finds the route of a request and Admit the
// organisation of a key. A Holder gives readers the table in force and accepts
// only newer versions, so that a host never goes back to an older one.
//
// Locking: a Table needs no lock. A Holder replaces its table by one atomic
// compare-and-swap.
package routes
