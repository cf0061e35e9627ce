package entry

import (
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// UpstreamStatus is one upstream as this host sees it.
type UpstreamStatus struct {
	Service  ident.ServiceName `json:"service"`
	Pool     ident.PoolName    `json:"pool"`
	Upstream ident.UpstreamID  `json:"upstream"`
	State    upstream.State    `json:"state"`
	InFlight int               `json:"flight"`
	Latency  float64           `json:"latency"` // seconds
}

// DocumentStatus is a service document that this host has in effect.
type DocumentStatus struct {
	Service  ident.ServiceName `json:"service"`
	Revision ident.Revision    `json:"revision"`
	Team     ident.TeamName    `json:"team"`
}

// PeerStatus is another entry host as this host sees it.
type PeerStatus struct {
	Host   ident.HostID        `json:"host"`
	Domain ident.FailureDomain `json:"domain"`
	State  string              `json:"state"`
}

// Status is the response of the status page on the operators' port of an entry
// host.
type Status struct {
	Host      ident.HostID        `json:"host"`
	Domain    ident.FailureDomain `json:"domain"`
	Ready     bool                `json:"ready"`
	Reason    string              `json:"reason,omitempty"`
	Active    int                 `json:"active"` // requests in progress
	Finished  uint64              `json:"finished"`
	Documents []DocumentStatus    `json:"documents"`
	Broken    map[string]string   `json:"broken,omitempty"` // errors by service whose stored document cannot take effect
	Upstreams []UpstreamStatus    `json:"upstreams"`
	Peers     []PeerStatus        `json:"peers"`
	Costs     []StageCost         `json:"costs"`
}

func (h *Host) status() any {
	readiness := h.ready()
	status := Status{
		Host:     h.settings.Host,
		Domain:   h.settings.Domain,
		Ready:    readiness.Ready,
		Reason:   readiness.Reason,
		Active:   len(h.server.active.list()),
		Finished: h.server.active.finishedCount(),
		Costs:    h.meter.costs(),
	}
	set := h.registry.Snapshot()
	for _, name := range set.Names() {
		doc, _ := set.Document(name)
		status.Documents = append(status.Documents, DocumentStatus{
			Service:  name,
			Revision: doc.Revision,
			Team:     doc.Owner,
		})
	}
	for name, err := range h.syncer.Broken() {
		if status.Broken == nil {
			status.Broken = make(map[string]string)
		}
		status.Broken[string(name)] = err.Error()
	}
	for _, row := range h.peers.table.Snapshot().Rows() {
		status.Peers = append(status.Peers, PeerStatus{
			Host:   row.Host,
			Domain: row.Domain,
			State:  row.State.String(),
		})
	}
	for _, row := range h.table.Snapshot().Rows {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Service:  row.Member.Pool.Service,
			Pool:     row.Member.Pool.Pool,
			Upstream: row.Member.Upstream,
			State:    row.State,
			InFlight: row.InFlight,
			Latency:  row.Latency.Seconds(),
		})
	}
	return status
}
