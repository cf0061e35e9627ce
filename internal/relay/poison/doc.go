// Package poison blocks requests that crash every upstream that runs them.
//
// A Table counts the crashes of upstreams while a request with the same
// fingerprint was in flight at them. Other requests that were in flight at the
// same time get a strike as well, so a request is blocked only after several
// strikes. Hosts exchange their counts; the highest count is used.
//
// Locking: one mutex of the Table guards its entries.
package poison
