package peernet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// Guards against a new connection for nearly each message among many hosts, and against
// hosts that only ever meet the same few.
func TestNeighbours(t *testing.T) {
	const (
		idle     = 30 * time.Second // after which a connection is closed
		length   = 4 * time.Minute
		reused   = 0.75 // least share of messages that find a connection
		partners = 100  // least number of hosts that each host has met
	)
	for _, hosts := range []int{120, 360} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			n := newNetwork(1, hosts)
			type pair struct{ from, to ident.Address }
			last := make(map[pair]time.Time)
			met := make(map[ident.Address]map[ident.Address]bool)
			received := make(map[ident.Address]int)
			found, messages := 0, 0
			n.sent = func(from, to ident.Address) {
				p := pair{
					from: from,
					to:   to,
				}
				if at, ok := last[p]; ok && n.now.Sub(at) < idle {
					found++
				}
				last[p] = n.now
				messages++
				received[to]++
				if met[from] == nil {
					met[from] = make(map[ident.Address]bool)
				}
				met[from][to] = true
			}
			for range int(length / peer.Interval) {
				n.step()
			}
			c.Check(float64(found) > reused*float64(messages), qt.IsTrue, qt.Commentf("%d of %d", found, messages))
			mean := messages / hosts
			for _, address := range n.order {
				c.Check(len(met[address]) >= partners, qt.IsTrue, qt.Commentf("%s has met %d", address, len(met[address])))
				c.Check(received[address] >= mean/4, qt.IsTrue, qt.Commentf("%s has received %d of %d on average", address, received[address], mean))
			}
		})
	}
}
