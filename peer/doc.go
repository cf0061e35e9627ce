// Package peer maintains the membership of the entry hosts and spreads rumours
// between them by gossip.
//
// Table has one row per host, keyed by its id. A higher incarnation replaces a
// lower one, and within one incarnation the state only moves from alive to
// suspect, leaving and down. Only a host itself raises its incarnation, so a
// running host can refute any claim of other hosts about it. A host that starts
// uses its start time in milliseconds as its incarnation, which is higher than
// that of any earlier process at the same address.
//
// Gossip decides what to send on each tick and what to reply. It performs no
// calls: the caller sends each Outgoing message and reports its result to
// Answered or Failed. A host becomes suspect after FailureThreshold consecutive
// failed exchanges, the second and later of which are made on the next ticks. A
// suspect that does not refute the suspicion within SuspicionTime is down.
// Suspect hosts count as live in a View, so that one lost exchange does not
// move the ownership of keys. Down hosts are still probed at a low rate, so
// that the two sides of a healed partition find each other.
//
// Most messages go to a few neighbours, which change one after the other, so that the
// caller can keep its connections to them; the others go to any live host.
//
// With few live hosts, a rumour is sent until all hosts that are not leaving have
// it, but for no longer than a minute. With many, each host that receives it for
// the first time sends it RetransmitFactor·log2(n) times. Membership rumours that
// are lost nevertheless are repaired by a digest of the live hosts: the reply to a
// message with a different digest carries rows of the table.
//
// Locking: Gossip has one mutex, held for the duration of a method and acquired
// before that of Table. Config says which callbacks run with them held. A View is
// immutable.
package peer
