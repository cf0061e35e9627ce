package host

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
)

const (
	// minMembersInterval is the shortest time between two writes of the list of hosts.
	// A host that starts needs only a few others, so the list may lag.
	minMembersInterval = 10 * time.Second
	// minCrashesInterval is the shortest time between two writes of the crashes that are
	// the reason why requests are blocked.
	minCrashesInterval = 2 * time.Second
)

// publishers returns the publishers of the entries that one host maintains for all, by the
// names of these components.
func (h *Host) publishers() map[string]*discovery.Publisher {
	configs := map[string]discovery.PublisherConfig{
		"members": {
			Key:         membersKey,
			TTL:         h.settings.Lease,
			MinInterval: minMembersInterval,
			Value:       h.peers.nextMembers,
		},
		"crashes": {
			Key:         crashesKey,
			TTL:         h.settings.Lease,
			MinInterval: minCrashesInterval,
			Value: func([]byte) ([]byte, error) {
				return poison.EncodeReports(h.poison.Evidence())
			},
		},
		"organised": {
			Key:   organisedKey,
			Value: h.organisedEntry,
		},
		"releases": {
			Key:   releasesKey,
			Value: h.releases.Entry,
		},
		"settled": {
			Key:   settledKey,
			Value: h.replica.SettledEntry,
		},
	}
	publishers := make(map[string]*discovery.Publisher, len(configs))
	for name, config := range configs {
		config.Store = h.store
		config.Health = h.health
		config.Replica = h.replica
		config.Log = h.log
		config.IsPublisher = h.writesMembers
		publishers[name] = discovery.NewPublisher(config)
	}
	return publishers
}
