package duty

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/peer"
)

// capable is the share of the largest capacity from which hosts do heavy duties.
const capable = 0.9

// rank returns the hosts that may do a duty, the best first: hosts that answer go
// before suspects, and for heavy duties those with much capacity before others.
// Among equals a hash of duty and host decides, which stays the same when a host
// starts again, so that hosts agree at once after many have been restarted.
func (l *Leaders) rank(name Name, view *peer.View) []peer.Row {
	least := float32(0)
	if l.heavy(name) {
		for _, row := range view.Live() {
			least = max(least, capable*row.Capacity)
		}
	}
	var classes [3][]peer.Row
	for _, host := range view.Ranked("", xxhash.Sum64String(string(name))) {
		row, ok := view.Row(host)
		switch {
		case !ok:
		case row.State != peer.Alive:
			classes[2] = append(classes[2], row)
		case row.Capacity < least:
			classes[1] = append(classes[1], row)
		default:
			classes[0] = append(classes[0], row)
		}
	}
	return slices.Concat(classes[0], classes[1], classes[2])
}
