package entry

import (
	"fmt"

	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// addGauges registers the gauges that operators alert on.
func (h *Host) addGauges() {
	gauge := func(name string, value func() int) {
		h.metrics.NewGauge(name, func() float64 { return float64(value()) })
	}
	gauge("nutmegshift_requests_active", func() int { return len(h.server.active.list()) })
	gauge("nutmegshift_messages_rejected", func() int { return int(h.memory.Rejected()) })
	gauge("nutmegshift_message_bytes", func() int { return int(h.memory.Used()) })
	gauge("nutmegshift_connections_closed_unread", func() int { return int(h.connections.Unread.Load()) })
	gauge("nutmegshift_connections_evicted", func() int { return int(h.connections.Evicted.Load()) })
	gauge("nutmegshift_connections_refused", func() int { return int(h.connections.Refused.Load()) })
	gauge("nutmegshift_documents", func() int { return len(h.registry.Snapshot().Names()) })
	gauge("nutmegshift_documents_broken", func() int { return len(h.syncer.Broken()) })
	gauge("nutmegshift_rumours_dropped", h.peers.gossip.Dropped)
	for _, state := range []peer.State{peer.Alive, peer.Suspect, peer.Leaving, peer.Down} {
		gauge(fmt.Sprintf("nutmegshift_peers{state=%q}", state), func() int { return h.countPeers(state) })
	}
	for _, state := range []upstream.State{upstream.StateStarting, upstream.StateLive, upstream.StateLeaving, upstream.StateEjected} {
		gauge(fmt.Sprintf("nutmegshift_upstreams{state=%q}", state), func() int { return h.countUpstreams(state) })
	}
}

func (h *Host) countPeers(state peer.State) int {
	n := 0
	for _, row := range h.peers.table.Snapshot().Rows() {
		if row.State == state {
			n++
		}
	}
	return n
}

func (h *Host) countUpstreams(state upstream.State) int {
	n := 0
	for _, row := range h.table.Snapshot().Rows {
		if row.State == state {
			n++
		}
	}
	return n
}
