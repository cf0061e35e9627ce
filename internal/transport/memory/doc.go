// Package memory bounds the bytes of the messages that a host holds at a time.
//
// Each message has a bound of its own, but many messages may be as large as that at the
// same time. A Budget bounds their sum. It is shared by holders: the callers, which count
// as one, and each upstream. None of them can take more than a part of it, so the messages
// of a faulty party leave room for those of the others.
//
// Every message has a Lease. Its first SmallBytes are available as long as anything is
// left. A longer message leases its whole length at once, or the largest length if it
// states none, and waits for that if necessary. Since a waiting message holds little and
// those that have their length wait for no other, messages cannot wait for each other.
//
// Locking: one mutex of the Budget guards its counts and all leases. A Lease belongs to
// one goroutine at a time.
package memory
