package cell

import (
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

// ID identifies a cell. It is a failure domain, or empty for the cell that has all
// upstreams.
type ID string

// maxUpstreams is the number of upstreams up to which all are one cell; a larger
// fleet has a cell for each failure domain. Coordinating that many upstreams takes a
// tenth of the processor of one small host.
const maxUpstreams = 96

// Of returns the cell of a failure domain. It counts the ready upstreams of the
// services that run stages.
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

// Duty returns the name of the duty to coordinate the cell.
func (id ID) Duty() duty.Name {
	return duty.Name("cell/" + id)
}

// Includes reports whether an upstream belongs to the cell.
func (id ID) Includes(upstream fleet.Upstream) bool {
	return id == "" || upstream.Domain == ident.FailureDomain(id)
}
