package peer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// Two hosts exchange a message; the second host receives the rumour that the first
// one published.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	gossips := make(map[ident.HostID]*peer.Gossip)
	rows := []peer.Row{
		{Host: "host-1", Address: "127.0.0.1:8082", Incarnation: 1},
		{Host: "host-2", Address: "127.0.0.2:8082", Incarnation: 1},
	}
	for _, row := range rows {
		table := peer.NewTable(row)
		table.Merge(now, rows) // called after each read of the host list
		gossips[row.Host] = peer.NewGossip(peer.Config{
			Table:     table,
			Random:    rand.New(rand.NewPCG(1, 2)),
			Documents: func() uint64 { return 0 },
		})
	}
	gossips["host-1"].Publish(peer.UpstreamLeaving{
		Upstream:    "engine-1",
		Incarnation: 1,
	})
	for _, out := range gossips["host-1"].Tick(now) { // called every peer.Interval
		// The program sends the message and reports the reply to Answered, or an
		// error to Failed.
		reply := gossips[out.To].Receive(now, out.Message)
		gossips["host-1"].Answered(now, out.To, reply)
	}
	fmt.Printf("%+v\n", <-gossips["host-2"].Rumours())
	// Output:
	// {Upstream:engine-1 Incarnation:1}
}
