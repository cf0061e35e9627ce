// Package duty elects a leader for each duty that one host performs for all others.
//
// A host follows the leader of a duty for as long as that is alive, even if another
// host ranks before it: otherwise a restarted host would take the work back from the
// one that replaced it. A suspected leader that has sent this host a message recently, or
// has replied to its latest job, remains the leader. Replacing a leader raises the term
// of the duty, unless no host that followed it had a message of it. Hosts gossip
// the leaders that they follow: the higher term wins, and within a term the better
// rank, so groups of hosts that have followed different leaders converge. Safety does
// not depend on it: two hosts that perform the same duty at the same time do no harm.
//
// Locking: one mutex of the Leaders guards its state. It is acquired before that of the
// Responses.
package duty
