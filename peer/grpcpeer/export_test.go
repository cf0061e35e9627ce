package grpcpeer

import "github.com/nutmegshift/nutmegshift/peer"

// Encode lets the benchmarks measure the size of a message.
func Encode(message peer.Message) *Gossip {
	g := encodeMessage(message)
	g.Stamp = &Stamp{
		Wall:  1_800_000_000_000_000,
		Count: 1,
	}
	return g
}
