package entry

import (
	"context"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// pollHostList reads the host list every hostListInterval and merges it into the
// upstream table and the peer table.
func (h *Host) pollHostList(ctx context.Context) error {
	version := uint64(0)
	read := func() {
		list, err := h.hostList.Fetch(ctx)
		if err != nil {
			h.log.Debug().Err(err).Msg("host list: fetch failed; keeping the last list")
			return
		}
		if list.Version != version {
			version = list.Version
			for _, err := range list.Rejected {
				h.log.Warn().Err(err).Uint64("version", version).Msg("host list: row left out")
			}
		}
		h.table.Offer(upstreamMembers(list))
		h.peers.merge(list)
	}
	read()
	return every(ctx, hostListInterval, read)
}

// upstreamMembers returns the upstreams of a host list.
func upstreamMembers(list hostlist.List) []upstream.Member {
	members := make([]upstream.Member, 0, len(list.Hosts))
	for _, host := range list.Hosts {
		if host.Kind != hostlist.UpstreamHost {
			continue
		}
		members = append(members, upstream.Member{
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
	return members
}
