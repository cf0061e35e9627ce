// Package peernet simulates the gossip of many hosts in memory, without sockets.
//
// A network has one Gossip per host and advances all of them tick by tick. It
// drops messages at random from a seed, and all messages between the sides of a
// partition. Its tests measure how fast rumours spread and how many hosts are
// wrongly suspected at the target size. It is used by tests only.
package peernet
