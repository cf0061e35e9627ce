// Package upstream chooses the upstream that serves a stage.
//
// The Table has one row per service, pool, upstream and incarnation. Offer,
// MarkLeaving, MarkCrashed, RecordLoad, ApplyCacheEvents, Choose and Done record
// events in it. Tick does the periodic work: it merges the host list, selects
// subsets, decays load reports, ejects stragglers and expires rows.
//
// Invariants:
//   - A row that is leaving or gone receives no new work, whichever source
//     marked it; the mark is final for its incarnation. Attempts in flight on
//     it are not affected.
//   - A higher incarnation of an upstream is a new row; the rows of lower
//     incarnations receive no new work from then on.
//   - At most a third of the rows in use in a pool are ejected at a time.
//   - The in-flight count of a row is the number of its leases for which Done has
//     not been called.
//
// A Table is safe for concurrent use. One mutex guards all rows. Exported methods
// lock it and make no blocking calls while they hold it; unexported functions expect
// it to be held. A Snapshot is immutable and needs no lock.
package upstream
