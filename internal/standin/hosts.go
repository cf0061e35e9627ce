package standin

import "github.com/nutmegshift/nutmegshift/internal/hostlist"

// Hosts returns the initial host list: all upstreams and entry hosts, live.
func (s Settings) Hosts() []hostlist.Host {
	var hosts []hostlist.Host
	for _, u := range s.Upstreams {
		hosts = append(hosts, hostlist.Host{
			Name:        string(u.Name),
			Kind:        hostlist.UpstreamHost,
			State:       hostlist.Live,
			Incarnation: 1,
			Domain:      u.Domain,
			Region:      u.Region,
			Service:     u.Service,
			Pool:        u.Pool,
			Address:     u.Address,
		})
	}
	for _, e := range s.Entries {
		hosts = append(hosts, hostlist.Host{
			Name:        e.Name,
			Kind:        hostlist.EntryHost,
			State:       hostlist.Live,
			Incarnation: 1,
			Domain:      e.Domain,
			Region:      e.Region,
			Peer:        e.Peer,
			Operator:    e.Operator,
		})
	}
	return hosts
}
