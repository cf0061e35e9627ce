// Package claim implements a ledger that ensures that each non-idempotent
// request is executed at most once.
//
// An attempt claims the identity of its request before it is dispatched and
// records its outcome afterwards. The identities are spread over Partitions
// logs in the key-value store. The log of a partition is a head entry and the
// immutable segments that it refers to. The head is changed by compare-and-swap
// only, so the records of a partition are totally ordered.
//
// Invariants:
//   - An identity has at most one holder. A claim is never taken over; it ends
//     only when its own attempt releases it or at the end of the retention period.
//   - An attempt that has been released can never be granted, even if a delayed
//     write or a forwarded call of it arrives later.
//   - A head of sealBytes or more is final: its only successor is the head that
//     refers to it as a segment. Writers that seal at the same time therefore
//     create segments of equal content.
//   - ErrStore means that the claim is not written and will not be written.
//
// The order of the log depends on no clock. Retention does: a segment is dropped
// once its newest record is older than the retention period by the clock of the
// writer, so the hosts' clocks must differ by much less than that period.
//
// Locking: a partition's mutex guards its queue and is held only while the queue
// is read or changed. The state of a partition is owned by the partition's writer
// goroutine and has no lock. Ledger has a mutex for the count of pending
// outcomes, which may be taken while a queue's mutex is held and never the
// other way round. No lock is held during a call to the store or the forwarder.
package claim
