package organisation

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// TopSize is the maximum number of organisations whose rates are accepted from
	// one peer.
	TopSize            = 16
	peerUsageExpiry    = 10 * time.Second
	maxPeers           = 1024
	correctionInterval = time.Second // between corrections of the shares
	// minCorrectionFactor keeps an organisation that uses its share at peers from
	// starving here, as the rates of peers are outdated on arrival.
	minCorrectionFactor = 0.05
)

// remote holds the usage at peers and the corrections of the shares that result
// from it.
type remote struct {
	peers       map[ident.HostID]peerUsage
	factors     map[ident.OrganisationID]float64 // applied to the shares; 1 if absent
	correctedAt time.Time                        // time of the last correction
}

type peerUsage struct {
	usage      Usage
	receivedAt time.Time
}

func newRemote() *remote {
	return &remote{
		peers:   make(map[ident.HostID]peerUsage),
		factors: make(map[ident.OrganisationID]float64),
	}
}

func (m *remote) receive(now time.Time, host ident.HostID, u Usage) {
	if _, ok := m.peers[host]; !ok && len(m.peers) >= maxPeers {
		return
	}
	u.Top = u.Top[:min(len(u.Top), TopSize)]
	m.peers[host] = peerUsage{
		usage:      u,
		receivedAt: now,
	}
}

// correct computes the factors. An organisation is entitled to its share of the
// total rate of all hosts, split equally among the hosts. What it uses at peers
// beyond their parts is deducted from the part of this host.
func (m *remote) correct(now time.Time, local Usage, share func(ident.OrganisationID) float64) {
	m.correctedAt = now
	clear(m.factors)
	total := local.Total
	peerRates := make(map[ident.OrganisationID]float64)
	for host, peer := range m.peers {
		if now.Sub(peer.receivedAt) > peerUsageExpiry {
			delete(m.peers, host)
			continue
		}
		listedRate := 0.0
		for _, rate := range peer.usage.Top {
			peerRates[rate.Organisation] += rate.Rate
			listedRate += rate.Rate
		}
		total += max(listedRate, peer.usage.Total)
	}
	if len(m.peers) == 0 {
		return
	}
	totalShare := 0.0
	for organisation := range peerRates {
		totalShare += share(organisation)
	}
	for _, rate := range local.Top {
		if _, ok := peerRates[rate.Organisation]; !ok {
			totalShare += share(rate.Organisation)
		}
	}
	hosts := float64(len(m.peers) + 1)
	for organisation, rate := range peerRates {
		entitledRate := total * share(organisation) / totalShare
		if entitledRate > 0 {
			m.factors[organisation] = max(minCorrectionFactor, min(1, (entitledRate-rate)/(entitledRate/hosts)))
		}
	}
}
