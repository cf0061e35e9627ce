package host

import (
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/resumption"
	"github.com/nutmegshift/nutmegshift/kv"
)

// sinks passes each change to the sinks whose key prefix it matches.
type sinks map[kv.Key]discovery.Sink

// tableSink puts the published routing table into force.
type tableSink struct {
	*Host
}

// fleetSink adds the registrations of upstreams to the fleet.
type fleetSink struct {
	*Host
}

// evacuationSink follows which failure domains operators have evacuated.
type evacuationSink struct {
	*Host
}

var (
	_ discovery.Sink = sinks{}
	_ discovery.Sink = evacuationSink{}
	_ discovery.Sink = tableSink{}
	_ discovery.Sink = fleetSink{}
)

// maxValue returns the size in bytes up to which the value of an entry is kept. The store
// may hold other entries, which no part of this host uses.
func (h *Host) maxValue(key kv.Key) int {
	switch {
	case key == h.platform.Keys.Table:
		return kv.MaxValueBytes
	case strings.HasPrefix(string(key), string(h.platform.Keys.Upstreams)):
		return h.platform.Keys.MaxRegistration
	case key == membersKey:
		return maxMembersValue
	case key == crashesKey:
		return maxCrashesValue
	case key == releasesKey:
		return resumption.MaxReleasesBytes
	case key == organisedKey:
		return len(organisedValue)
	case key == settledKey:
		return discovery.MaxSettledBytes
	}
	return 0
}

// Put implements discovery.Sink.
func (s sinks) Put(entry kv.Entry) {
	for prefix, sink := range s {
		if strings.HasPrefix(string(entry.Key), string(prefix)) {
			sink.Put(entry)
		}
	}
}

// Removed implements discovery.Sink.
func (s sinks) Removed(key kv.Key, version kv.Version, until time.Time) {
	for prefix, sink := range s {
		if strings.HasPrefix(string(key), string(prefix)) {
			sink.Removed(key, version, until)
		}
	}
}

// Put implements discovery.Sink.
func (s tableSink) Put(entry kv.Entry) {
	if entry.Key != s.platform.Keys.Table {
		return
	}
	table, err := s.platform.Codec.Table(entry.Value)
	if err != nil {
		s.log.Error().Err(err).Uint64("revision", uint64(entry.Version)).Msg("table: not readable, the last one stays in force")
		return
	}
	previous := s.routes.Table()
	if !s.routes.Offer(table) {
		return
	}
	s.peers.gossip.AnnounceDocuments()
	keys := s.routes.RequiresKey(table)
	s.log.Info().Uint64("version", uint64(table.Version)).Uint64("revision", uint64(entry.Version)).Int("bytes", len(entry.Value)).Bool("keys", keys).Msg("table: in force")
	if previous != nil && s.routes.RequiresKey(previous) && !keys {
		s.log.Warn().Uint64("version", uint64(table.Version)).Msg("table: states no organisations any more, requests need no key")
	}
}

// Removed implements discovery.Sink. The last table stays in force.
func (s tableSink) Removed(key kv.Key, version kv.Version, _ time.Time) {
	if key == s.platform.Keys.Table {
		s.log.Warn().Uint64("revision", uint64(version)).Msg("table: removed from the store, the last one stays in force")
	}
}

// Put implements discovery.Sink. An entry that cannot be decoded removes the upstream that
// its key names, since it replaces the registration.
func (s fleetSink) Put(entry kv.Entry) {
	upstream, err := s.platform.Codec.Upstream(entry)
	if err != nil {
		s.fleet.Remove(s.platform.Codec.UpstreamID(entry.Key), entry.Version, time.Time{})
		s.log.Info().Err(err).Msg("fleet: registration not valid, the upstream is not used")
		return
	}
	upstream.Region = s.settings.Regions[upstream.Domain]
	if upstream.State == fleet.Draining && upstream.Started != 0 {
		// A process that drains never accepts work again, also if a store that has been
		// restored from a backup says so.
		s.fleet.MarkDraining(upstream.ID, upstream.Started, time.Now())
	}
	if upstream.ColdLeft > 0 {
		upstream.ColdUntil = time.Now().Add(upstream.ColdLeft)
	}
	joins := !s.releases.Knows(upstream.Service, upstream.Release)
	if s.fleet.Put(fleet.Registration{
		Upstream: upstream,
		Version:  entry.Version,
	}) {
		if joins {
			s.streams.Hurry() // the streams of the releases before are recorded before it is open
		}
		s.registrationLine().Str("upstream", string(upstream.ID)).Str("service", string(upstream.Service)).Str("address", string(upstream.Address)).Str("release", string(upstream.Release)).Uint8("state", uint8(upstream.State)).Uint64("revision", uint64(entry.Version)).Msg("fleet: registered")
	}
}

// registrationLine begins the log line of a registration. While the first listing or transfer
// is applied, it is one of hundreds that the line of that listing stands for: writing them
// takes a small host longer than all else between its start and its first request.
func (s fleetSink) registrationLine() *zerolog.Event {
	if s.replica.Cursor() == 0 {
		return s.log.Debug()
	}
	return s.log.Info()
}

// Removed implements discovery.Sink.
func (s fleetSink) Removed(key kv.Key, version kv.Version, until time.Time) {
	id := s.platform.Codec.UpstreamID(key)
	s.fleet.Remove(id, version, until)
	s.log.Info().Str("upstream", string(id)).Uint64("revision", uint64(version)).Bool("doubtful", !until.IsZero()).Msg("fleet: removed")
}

// Put implements discovery.Sink.
func (s evacuationSink) Put(entry kv.Entry) {
	if domain := s.domain(entry.Key); s.fleet.Evacuate(domain) {
		s.peers.gossip.AnnounceDocuments()
		s.log.Warn().Str("domain", string(domain)).Uint64("revision", uint64(entry.Version)).Msg("fleet: failure domain evacuated")
	}
}

// Removed implements discovery.Sink. An evacuation has no owner that could have missed a
// renewal, but its entry may be missing because the store has lost its latest changes.
func (s evacuationSink) Removed(key kv.Key, version kv.Version, until time.Time) {
	if domain := s.domain(key); s.fleet.EndEvacuation(domain, until) {
		s.log.Warn().Str("domain", string(domain)).Uint64("revision", uint64(version)).Bool("doubtful", !until.IsZero()).Msg("fleet: evacuation of a failure domain ended")
	}
}

// domain returns the failure domain that a key names.
func (s evacuationSink) domain(key kv.Key) ident.FailureDomain {
	return ident.FailureDomain(strings.TrimPrefix(string(key), string(s.platform.Keys.Evacuated)))
}
