// Package duty agrees on the host that does something for all others.
//
// A host follows the one that does a duty for as long as it is alive, although
// another one would rank before it: a host that starts again would otherwise take
// the work from the one that replaced it. A host that replaces another one raises
// the term of the duty. Hosts tell each other whom they follow: the higher term
// prevails, and the better rank in the same term, so groups that have followed
// different hosts join. None of this is needed for safety: two hosts that do a duty
// side by side do no harm.
//
// Locking: one mutex of the Leaders guards what they hold.
package duty
