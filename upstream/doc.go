// Package upstream chooses the upstream that serves a stage.
//
// The Table has one row per service, pool, upstream and incarnation. Offer,
// MarkLeaving, Crashed, Loaded, Cached, Choose and Done record events in it, and
// Tick runs the systems: merge of the host list, subset selection, decay of load
// reports, ejection of stragglers, expiry.
//
// Invariants:
//   - A row that is leaving or gone receives no new work, whichever source
//     marked it; the mark is final for its incarnation. Attempts in flight on
//     it are not affected.
//   - A higher incarnation of an upstream is a new row, and ends new work for
//     the lower ones.
//   - At most a third of the rows in use in a pool are ejected at a time.
//   - The in-flight count of a row is the number of its leases without Done.
//
// Locking: one mutex of the Table guards all rows. Exported methods take it and
// hold it without blocking calls; unexported functions expect it to be held.
// A Snapshot is immutable and needs no lock.
package upstream
