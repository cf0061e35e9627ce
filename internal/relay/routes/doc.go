// Package routes holds the routing table that operators publish: which callers may use
// which paths, which services handle the requests, and under which limits.
//
// A Table is immutable. Table.Match finds the route of a request and Table.Organisation
// the organisation of a key. A Holder stores the table in force and accepts only newer
// versions, so that a host never returns to an older table.
//
// Locking: a Table needs no lock. A Holder replaces its table by an atomic
// compare-and-swap.
package routes
