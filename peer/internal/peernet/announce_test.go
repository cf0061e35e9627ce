package peernet

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Guards against hosts that do not find each other without a host list, such as when
// all start while the store is unavailable: they know only the address of one host.
func TestAnnouncement(t *testing.T) {
	c := qt.New(t)
	const hosts = 40
	n := &network{
		random:   rand.New(rand.NewPCG(1, 0)),
		now:      start,
		nodes:    make(map[ident.Address]*node),
		linkDown: func(_, _ ident.Address) bool { return false },
	}
	for i := range hosts {
		n.start(rowOf(i, 1))
	}
	seed := n.node(0)
	for i := 1; i < hosts; i++ {
		other := n.node(i)
		other.gossip.Announced(n.now, seed.gossip.Receive(n.now, other.gossip.Announcement()))
		row, ok := other.table.Snapshot().Row(seed.row.Host)
		c.Assert(ok, qt.IsTrue)
		c.Assert(row.Address, qt.Equals, seed.row.Address)
		c.Assert(other.documents[seed.row.Host], qt.Equals, uint64(42), qt.Commentf("digest in the reply of the seed"))
	}
	knowsAllHosts := func(node *node) bool { return len(node.table.Snapshot().Live()) == hosts }
	ticks := n.runUntil(100, func() bool { return n.count(knowsAllHosts) == hosts })
	c.Check(ticks < 30, qt.IsTrue, qt.Commentf("%d ticks", ticks))
}
