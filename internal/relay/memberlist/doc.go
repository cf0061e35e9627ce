// Package memberlist is the list of hosts that the fleet keeps in the store, so that a
// host which starts finds others to exchange gossip with.
//
// One host writes the list for all, when it has changed. The list is a hint: the gossip
// decides which hosts are alive. It has no incarnations, so the restart of a host does
// not change it.
//
// A writer that sees less than half of the listed hosts may have lost its connections
// to the others. It adds the hosts that it sees, but keeps the others listed until this
// has lasted for a while.
//
// Locking: a Writer is not safe for concurrent use.
package memberlist
