package peer

import (
	"time"
)

const (
	// maxNeighbours is the number of hosts to which a host sends most of its messages,
	// so that it need not connect anew for each message: among 300 hosts, a message to
	// any host meets a connection of the last half minute in one of three cases. Smaller
	// fleets have no neighbours.
	maxNeighbours = 16
	// strangerTicks is the interval, in ticks, of the messages to any host. They connect
	// groups of hosts that have no neighbours in each other.
	strangerTicks = 5
	// neighbourPeriod is how long a host stays a neighbour. The neighbours change one
	// after the other.
	neighbourPeriod = 2 * time.Minute
)

// neighbours returns the neighbours of this host: for each place the live host with the
// lowest hash for this host, the place and the period. They are computed anew when the
// live hosts or a period have changed.
func (g *Gossip) neighbours(others []*entry) []*entry {
	step := g.now.UnixNano() / int64(neighbourPeriod/maxNeighbours)
	if g.neighbourStep == step && g.neighbourDigest == g.table.digest && len(g.neighbourRows) > 0 {
		return g.neighbourRows
	}
	g.neighbourStep, g.neighbourDigest = step, g.table.digest
	g.neighbourRows = g.neighbourRows[:0]
	self := g.table.rows[g.table.self].hash
	for place := range int64(maxNeighbours) {
		// Each place changes once in maxNeighbours steps, at a step of its own.
		period := uint64((step + place) / maxNeighbours)
		key := mix(self ^ mix(uint64(place)<<32^period))
		best, lowest := others[0], mix(others[0].hash^key)
		for _, e := range others[1:] {
			if hash := mix(e.hash ^ key); hash < lowest {
				best, lowest = e, hash
			}
		}
		g.neighbourRows = append(g.neighbourRows, best)
	}
	return g.neighbourRows
}

// mix distributes the bits of a number over all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
