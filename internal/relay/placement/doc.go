// Package placement chooses the upstream that runs a request.
//
// A Chooser tracks the requests that it has in flight at each upstream, how the last
// ones ended, how fast the upstream is, and which prompt prefixes it has read. The
// cost of an upstream is counted in input tokens. It adds up the prompts that are
// still to be read there, the requests that a new prompt delays, the tokens of the
// prompt itself that have to be read or fetched, and a cross-domain transfer.
// Upstreams that fail are avoided with exponential backoff.
//
// The choosers of several hosts do not know of each other's requests. A prompt whose
// shared prefix a chooser has not placed yet goes to the upstream with the highest
// rendezvous hash, so that hosts agree.
//
// Locking: one mutex of the Chooser guards its upstream states and its prefix index;
// a mutex of the Popularity guards its counts.
package placement
