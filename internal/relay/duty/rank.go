package duty

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/peer"
)

// minCapacityShare is the share of the largest capacity that a host needs to be
// preferred for heavy duties.
const minCapacityShare = 0.9

// rank returns the hosts that may perform a duty, the best first: hosts that are alive or
// have responded recently come before other suspects, and for heavy duties those with much
// capacity before others. Among equals a hash of duty and host decides. It stays the same
// when a host is restarted, so that hosts agree at once after many restarts.
func (l *Leaders) rank(name Name, view *peer.View) []peer.Row {
	minCapacity := float32(0)
	if l.heavy(name) {
		for _, row := range view.Live() {
			minCapacity = max(minCapacity, minCapacityShare*row.Capacity)
		}
	}
	var classes [3][]peer.Row
	for _, host := range view.Ranked("", xxhash.Sum64String(string(name))) {
		row, ok := view.Row(host)
		switch {
		case !ok:
		case !l.present(row):
			classes[2] = append(classes[2], row)
		case row.Capacity < minCapacity:
			classes[1] = append(classes[1], row)
		default:
			classes[0] = append(classes[0], row)
		}
	}
	return slices.Concat(classes[0], classes[1], classes[2])
}
