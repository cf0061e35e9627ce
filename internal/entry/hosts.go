package entry

import (
	"context"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// runHosts reads the host list.
func (h *Host) runHosts(ctx context.Context) error {
	read := func() {
		list, err := h.hosts.Fetch(ctx)
		if err != nil {
			h.log.Debug().Err(err).Msg("host list: not read")
			return
		}
		h.table.Offer(members(list))
		h.peers.merge(list)
	}
	read()
	return every(ctx, hostsInterval, read)
}

// members are the upstreams of a host list.
func members(list hostlist.List) []upstream.Member {
	found := make([]upstream.Member, 0, len(list.Hosts))
	for _, host := range list.Hosts {
		if host.Kind != hostlist.UpstreamHost {
			continue
		}
		found = append(found, upstream.Member{
			Pool: document.PoolRef{
				Service: host.Service,
				Pool:    host.Pool,
			},
			Upstream:    ident.UpstreamID(host.Name),
			Incarnation: host.Incarnation,
			Address:     host.Address,
			Domain:      host.Domain,
			Region:      host.Region,
			Leaving:     host.State == hostlist.Leaving,
		})
	}
	return found
}
