// Package poison stops requests that crash every upstream that runs them.
//
// A Table counts the crashes of upstreams while a request with the same
// fingerprint was in flight at them. Innocent requests beside it get a strike as
// well, so a request is blocked only after several. Hosts tell each other the
// counts; the highest one holds.
//
// Locking: one mutex of the Table guards its rows.
package poison
