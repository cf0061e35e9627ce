// Package fleet keeps the upstreams that are registered in the store.
//
// A Directory merges registrations and removals by their store version. Readers get
// immutable Snapshots, indexed by service.
//
// A Directory also keeps what this host has learned from upstreams themselves: that an
// incarnation drains although its registration says that it is ready. Pauses keeps the
// upstreams that want no requests of this host for some time, because they have asked for
// none or because they state a limit of requests per second, which the hosts share.
//
// Invariants:
//   - A registration that is older than the present one changes nothing.
//   - An upstream that is draining or removed is in no Snapshot's ready list.
//   - A removal that follows an outage of the store takes effect only after the
//     upstream has had time to register again.
//
// Locking: one mutex of the Directory guards its entries, one of Pauses the pauses;
// exported methods take them. A Snapshot needs no lock.
package fleet
