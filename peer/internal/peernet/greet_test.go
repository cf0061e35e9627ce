package peernet

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Guards against hosts that do not find each other while there is no host list,
// as when all start while the store is away: they know the address of one host.
func TestGreet(t *testing.T) {
	c := qt.New(t)
	const hosts = 40
	n := &network{
		random: rand.New(rand.NewPCG(1, 0)),
		now:    start,
		nodes:  make(map[ident.Address]*node),
		cut:    func(_, _ ident.Address) bool { return false },
	}
	for i := range hosts {
		n.start(rowOf(i, 1))
	}
	seed := n.node(0)
	for i := 1; i < hosts; i++ {
		other := n.node(i)
		other.gossip.Met(n.now, seed.gossip.Receive(n.now, other.gossip.Greet()))
		row, ok := other.table.Snapshot().Row(seed.row.Host)
		c.Assert(ok, qt.IsTrue)
		c.Assert(row.Address, qt.Equals, seed.row.Address)
		c.Assert(other.digest[seed.row.Host], qt.Equals, uint64(42), qt.Commentf("what the seed knows is observed"))
	}
	knowAll := func(node *node) bool { return len(node.table.Snapshot().Live()) == hosts }
	ticks := n.until(100, func() bool { return n.count(knowAll) == hosts })
	c.Check(ticks < 30, qt.IsTrue, qt.Commentf("%d ticks", ticks))
}
