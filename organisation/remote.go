package organisation

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// TopSize is the largest number of organisations taken from one peer.
	TopSize       = 16
	remoteExpiry  = 10 * time.Second
	remoteMax     = 1024        // peers
	correctPeriod = time.Second // between corrections of the shares
	// correctFloor keeps an organisation that uses its share elsewhere from
	// starving here, as the rates of peers are late.
	correctFloor = 0.05
)

// remote is the usage at peers and the corrections that follow from it.
type remote struct {
	peers   map[ident.HostID]peerUsage
	factors map[ident.OrganisationID]float64 // of the shares; 1 if absent
	at      time.Time                        // of the corrections
}

type peerUsage struct {
	usage Usage
	at    time.Time
}

func newRemote() *remote {
	return &remote{
		peers:   make(map[ident.HostID]peerUsage),
		factors: make(map[ident.OrganisationID]float64),
	}
}

func (m *remote) receive(now time.Time, host ident.HostID, u Usage) {
	if _, ok := m.peers[host]; !ok && len(m.peers) >= remoteMax {
		return
	}
	u.Top = u.Top[:min(len(u.Top), TopSize)]
	m.peers[host] = peerUsage{
		usage: u,
		at:    now,
	}
}

// correct computes the factors. An organisation is entitled to its share of what
// all hosts admit, an equal part of it at each host; what it uses at peers beyond
// their parts is taken from the part here.
func (m *remote) correct(now time.Time, local Usage, share func(ident.OrganisationID) float64) {
	m.at = now
	clear(m.factors)
	total := local.Total
	elsewhere := make(map[ident.OrganisationID]float64)
	for host, peer := range m.peers {
		if now.Sub(peer.at) > remoteExpiry {
			delete(m.peers, host)
			continue
		}
		listed := 0.0
		for _, rate := range peer.usage.Top {
			elsewhere[rate.Organisation] += rate.Rate
			listed += rate.Rate
		}
		total += max(listed, peer.usage.Total)
	}
	if len(m.peers) == 0 {
		return
	}
	shares := 0.0
	for organisation := range elsewhere {
		shares += share(organisation)
	}
	for _, rate := range local.Top {
		if _, ok := elsewhere[rate.Organisation]; !ok {
			shares += share(rate.Organisation)
		}
	}
	hosts := float64(len(m.peers) + 1)
	for organisation, rate := range elsewhere {
		entitled := total * share(organisation) / shares
		if entitled > 0 {
			m.factors[organisation] = max(correctFloor, min(1, (entitled-rate)/(entitled/hosts)))
		}
	}
}
