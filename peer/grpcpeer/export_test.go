package grpcpeer

import "github.com/nutmegshift/nutmegshift/peer"

// Encode returns the stamped wire form of a message, whose size the benchmarks
// measure.
func Encode(message peer.Message) *Gossip {
	g := encodeMessage(message)
	g.Stamp = &Stamp{
		Wall:  1_800_000_000_000_000,
		Count: 1,
	}
	return g
}
