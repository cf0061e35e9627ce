package host

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/peer"
)

const (
	// crashesKey is the key of the entry from which hosts that start, and hosts that
	// reach no other, learn which requests are blocked.
	crashesKey kv.Key = "crashes"
	// maxCrashesValue is the size in bytes up to which the entry is kept. A blocked
	// pattern takes about 500.
	maxCrashesValue = 64 << 10
	// soundRumourPeriod is the period in which hosts state only once that a fingerprint
	// is sound.
	soundRumourPeriod = 5 * time.Second
)

// crashSink merges the crashes in the store.
type crashSink struct {
	*Host
}

var _ discovery.Sink = crashSink{}

// Put implements discovery.Sink.
func (s crashSink) Put(entry kv.Entry) {
	if entry.Key != crashesKey {
		return
	}
	reports, err := poison.DecodeReports(entry.Value)
	if err != nil {
		s.log.Error().Err(err).Uint64("revision", uint64(entry.Version)).Msg("poison: crashes in the store not readable")
		return
	}
	for _, report := range reports {
		s.poison.Merge(report)
	}
}

// Removed implements discovery.Sink. The crashes that are known count until they expire.
func (crashSink) Removed(kv.Key, kv.Version, time.Time) {}

// publishCrash notifies the other hosts of the requests that may have crashed an upstream.
func (h *Host) publishCrash(report peer.CrashReported) {
	h.peers.gossip.Publish(report)
}

// publishSound notifies the other hosts that requests with a fingerprint crash no
// upstreams.
func (h *Host) publishSound(f poison.Fingerprint) {
	h.peers.gossip.Publish(peer.FingerprintCleared{
		Fingerprint: f,
		Version:     kv.Version(time.Now().UnixNano() / int64(soundRumourPeriod)),
	})
}

// logVerdict logs the fingerprints of requests that are blocked.
func (h *Host) logVerdict(blocked []poison.Pattern) {
	if len(blocked) == 0 {
		h.log.Warn().Msg("poison: no requests are blocked any more")
	}
	for _, pattern := range blocked {
		line := h.log.Warn()
		for _, f := range pattern.Fingerprints {
			line = line.Hex("fingerprint", f[:])
		}
		line.Int("crashes", len(pattern.Crashes)).Msg("poison: requests are blocked")
	}
}
