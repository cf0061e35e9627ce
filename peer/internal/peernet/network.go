package peernet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// start is the simulated time at which a network starts.
var start = time.Unix(1_800_000_000, 0)

// node is one host of a network.
type node struct {
	row       peer.Row
	table     *peer.Table
	gossip    *peer.Gossip
	received  []peer.Rumour
	stopped   bool                    // neither sends nor replies
	nextTick  time.Time               // used by advance
	digest    uint64                  // Message.Documents of this host
	documents map[ident.HostID]uint64 // latest Message.Documents by sender
}

// network delivers the messages of hosts in memory and drops some of them.
type network struct {
	random   *rand.Rand
	now      time.Time
	nodes    map[ident.Address]*node
	order    []ident.Address // of the nodes, in order of their start
	loss     float64         // probability that a message is dropped
	linkDown func(a, b ident.Address) bool
	sent     func(from, to ident.Address) // called for each message; may be nil
	messages int                          // sent, without replies
	rumours  int                          // in messages and replies
}

func newNetwork(seed uint64, size int) *network {
	n := &network{
		random:   rand.New(rand.NewPCG(seed, 0)),
		now:      start,
		nodes:    make(map[ident.Address]*node),
		linkDown: func(_, _ ident.Address) bool { return false },
	}
	for i := range size {
		n.start(rowOf(i, 1))
	}
	n.mergeHostList()
	return n
}

func rowOf(i int, incarnation ident.Incarnation) peer.Row {
	return peer.Row{
		Host:        ident.HostID(fmt.Sprintf("host-%03d", i)),
		Address:     ident.Address(fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1)),
		Domain:      ident.FailureDomain(fmt.Sprintf("domain-%d", i%4)),
		Region:      "region",
		Incarnation: incarnation,
	}
}

// start starts a host, which replaces an earlier one at its address.
func (n *network) start(row peer.Row) {
	started := &node{
		row:       row,
		table:     peer.NewTable(row),
		digest:    42,
		documents: make(map[ident.HostID]uint64),
	}
	started.gossip = peer.NewGossip(peer.Config{
		Table:     started.table,
		Random:    rand.New(rand.NewPCG(n.random.Uint64(), 1)),
		Documents: func() uint64 { return started.digest },
		Observe: func(message peer.Message) {
			started.documents[message.From.Host] = message.Documents
		},
	})
	if _, ok := n.nodes[row.Address]; !ok {
		n.order = append(n.order, row.Address)
	}
	n.nodes[row.Address] = started
}

// mergeHostList merges the host list, which has no incarnations, into all tables.
func (n *network) mergeHostList() {
	var rows []peer.Row
	for _, address := range n.order {
		row := n.nodes[address].row
		row.Incarnation = 0
		rows = append(rows, row)
	}
	for _, address := range n.order {
		n.nodes[address].table.Merge(n.now, rows)
	}
}

func (n *network) node(i int) *node {
	return n.nodes[n.order[i]]
}

// lost reports whether to drop a message from a to b.
func (n *network) lost(a, b ident.Address) bool {
	return n.linkDown(a, b) || n.random.Float64() < n.loss
}

// step runs one tick of every host, in random order.
func (n *network) step() {
	n.now = n.now.Add(peer.Interval)
	n.tick(func(*node) bool { return true })
}

// advance lets time pass until the next tick of a host with urgent rumours may be due, and
// runs the ticks that are due.
func (n *network) advance() {
	n.now = n.now.Add(peer.UrgentInterval)
	n.tick(func(at *node) bool {
		if pause := at.gossip.Pause(); at.nextTick.IsZero() {
			at.nextTick = n.now.Add(time.Duration(n.random.Int64N(int64(pause))))
		} else if soonest := n.now.Add(pause - peer.UrgentInterval); at.nextTick.After(soonest) {
			at.nextTick = soonest // a rumour has been queued since the latest tick
		}
		if n.now.Before(at.nextTick) {
			return false
		}
		at.nextTick = n.now.Add(peer.Interval)
		return true
	})
}

// tick runs one tick of the hosts for which due returns true, in random order.
func (n *network) tick(due func(at *node) bool) {
	for _, i := range n.random.Perm(len(n.order)) {
		from := n.node(i)
		if from.stopped || !due(from) {
			continue
		}
		for _, out := range from.gossip.Tick(n.now) {
			n.messages++
			if n.sent != nil {
				n.sent(from.row.Address, out.Address)
			}
			n.rumours += len(out.Message.Rumours)
			to := n.nodes[out.Address]
			if to == nil || to.stopped || n.lost(from.row.Address, out.Address) {
				from.gossip.Failed(n.now, out.To)
				continue
			}
			reply := to.gossip.Receive(n.now, out.Message)
			n.rumours += len(reply.Rumours)
			if n.lost(out.Address, from.row.Address) {
				from.gossip.Failed(n.now, out.To)
				continue
			}
			from.gossip.Answered(n.now, out.To, reply)
		}
	}
	for _, address := range n.order {
		n.nodes[address].drain()
	}
}

// drain moves the rumours of the channel to received.
func (n *node) drain() {
	for {
		select {
		case rumour := <-n.gossip.Rumours():
			n.received = append(n.received, rumour)
		default:
			return
		}
	}
}

// runUntil runs ticks until the condition holds, and returns their number, at most
// limit.
func (n *network) runUntil(limit int, holds func() bool) int {
	for tick := range limit {
		if holds() {
			return tick
		}
		n.step()
	}
	return limit
}

// count returns the number of running hosts that meet the condition.
func (n *network) count(holds func(*node) bool) int {
	total := 0
	for _, address := range n.order {
		if node := n.nodes[address]; !node.stopped && holds(node) {
			total++
		}
	}
	return total
}

// state returns the state of a host in the table of a node.
func state(n *node, host ident.HostID) peer.State {
	row, _ := n.table.Snapshot().Row(host)
	return row.State
}

func hasReceived(n *node, rumour peer.Rumour) bool {
	for _, received := range n.received {
		if received == rumour {
			return true
		}
	}
	return false
}
