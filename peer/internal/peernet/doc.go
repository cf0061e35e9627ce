// Package peernet runs many membership tables in memory, without sockets.
//
// A network has one gossip per host, advances all of them tick by tick, and
// loses messages at random from a seed or between the sides of a partition. It
// shows how fast news spreads and how many hosts are wrongly suspected at the
// target size. It is used by tests only.
package peernet
