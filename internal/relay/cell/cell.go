package cell

import (
	"cmp"
	"slices"

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
// answer go before suspects, those with much capacity before others, and those
// that run for longest before others, so that a host that starts again does not
// take work in progress from the one that replaced it.
func rank(view *peer.View) []peer.Row {
	most := float32(0)
	for _, row := range view.Live() {
		most = max(most, row.Capacity)
	}
	class := func(row peer.Row) int {
		switch {
		case row.State != peer.Alive:
			return 2
		case row.Capacity < capable*most:
			return 1
		default:
			return 0
		}
	}
	hosts := slices.Clone(view.Live())
	slices.SortStableFunc(hosts, func(a, b peer.Row) int {
		return cmp.Or(
			cmp.Compare(class(a), class(b)),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return hosts
}
