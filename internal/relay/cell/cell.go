package cell

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/peer"
)

// ID names a cell. It is a failure domain, or empty for the cell that has all
// upstreams.
type ID string

const (
	// maxUpstreams is the size up to which all upstreams are one cell; a larger
	// fleet has a cell for each failure domain. One small host coordinates as
	// many with a tenth of its processor.
	maxUpstreams = 96
	// capable is the share of the largest capacity from which hosts coordinate.
	capable = 0.9
)

// Of returns the cell of a failure domain.
func Of(domain ident.FailureDomain, table *routes.Table, snapshot *fleet.Snapshot) ID {
	total := 0
	for name, service := range table.Services() {
		if service.Batch != nil {
			total += len(snapshot.Ready(name))
		}
	}
	if total <= maxUpstreams {
		return ""
	}
	return ID(domain)
}

// Includes reports whether an upstream belongs to the cell.
func (id ID) Includes(upstream fleet.Upstream) bool {
	return id == "" || upstream.Domain == ident.FailureDomain(id)
}

// rank returns the hosts that may coordinate a cell, the best first: hosts that
// answer go before suspects, and those with much capacity before others. Among
// equals a hash of cell and name decides, which stays the same when a host
// starts again, so that hosts agree at once after many have been restarted.
func rank(id ID, view *peer.View) []peer.Row {
	most := float32(0)
	for _, row := range view.Live() {
		most = max(most, row.Capacity)
	}
	var classes [3][]peer.Row
	for _, host := range view.Ranked("", xxhash.Sum64String(string(id))) {
		row, ok := view.Row(host)
		switch {
		case !ok:
		case row.State != peer.Alive:
			classes[2] = append(classes[2], row)
		case row.Capacity < capable*most:
			classes[1] = append(classes[1], row)
		default:
			classes[0] = append(classes[0], row)
		}
	}
	return slices.Concat(classes[0], classes[1], classes[2])
}
