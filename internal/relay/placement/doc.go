// Package placement chooses the upstream that runs a request.
//
// A Chooser knows what is in flight at each upstream by the requests that it has
// placed, how the last ones ended, how fast the upstream is, and which beginnings of
// prompts it has read. It weighs, in tokens that an upstream reads: the prompts that
// are still to be read there, the requests that a new prompt delays, what has to be
// read or fetched of the prompt itself, and the way to another failure domain.
// Upstreams that fail are avoided for a time that grows while they fail.
//
// The choosers of several hosts do not know of each other's requests. Prompts whose
// shared beginning a chooser has not placed go to the upstream with the highest
// rendezvous hash, so that hosts agree.
//
// Locking: one mutex of the Chooser guards its rows and its memory.
package placement
