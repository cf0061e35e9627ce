// Package peer decides which entry hosts are live and spreads rumours between them.
//
// Table has one row per host, keyed by its id. A row changes by the rules of
// its incarnation: a higher incarnation replaces a lower one, and within one
// incarnation the state only moves from alive to suspect, leaving and down.
// Only a host itself raises its incarnation, so whatever others claim about a
// host that runs, it can refute. A host that starts uses its start time in
// milliseconds as its incarnation, which is higher than that of any earlier
// process at the same address.
//
// Gossip decides what to send on each tick and what to reply. It performs no
// calls: the owner sends each Outgoing message and reports Answered or Failed.
// Three failed exchanges in a row, the later ones on the next ticks, make a host
// suspect; a suspect that does not refute within SuspicionTime is down.
// Suspect hosts count as live in a View, so that one lost exchange does not
// move the ownership of keys. Down hosts are still probed at a low rate, so
// that the two sides of a healed partition find each other.
//
// Among few live hosts a rumour is sent until each of them has it. Among many
// it is sent RetransmitFactor·log2(n) times by each host that hears it first.
// Rumours lost beyond that are made up for membership by a digest: a reply to a
// host with another digest carries rows of the table.
//
// Locking: Gossip has one mutex, held for the duration of a method and acquired
// before that of Table. Callbacks run without a lock. A View is immutable.
package peer
