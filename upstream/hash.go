package upstream

import "github.com/cespare/xxhash/v2"

// Prefix is the hash of a prompt prefix; 0 means none.
type Prefix uint64

// NewPrefix returns the hash of a prompt prefix, which is never 0.
func NewPrefix(text string) Prefix {
	return Prefix(max(xxhash.Sum64String(text), 1))
}

// rendezvous returns the rendezvous hashing score of an upstream, given by its hash,
// for a key.
func rendezvous(key, upstream uint64) uint64 {
	x := key ^ upstream
	// The finaliser of splitmix64.
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
