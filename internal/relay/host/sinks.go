package host

import (
	"strings"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/kv"
)

// sinks divides the entries of the store by their prefixes.
type sinks map[kv.Key]discovery.Sink

// Listed implements discovery.Sink.
func (s sinks) Listed(entries []kv.Entry, until time.Time) {
	for prefix, sink := range s {
		var under []kv.Entry
		for _, entry := range entries {
			if strings.HasPrefix(string(entry.Key), string(prefix)) {
				under = append(under, entry)
			}
		}
		sink.Listed(under, until)
	}
}

// Changed implements discovery.Sink.
func (s sinks) Changed(change kv.Change, until time.Time) {
	for prefix, sink := range s {
		if strings.HasPrefix(string(change.Entry.Key), string(prefix)) {
			sink.Changed(change, until)
		}
	}
}

// tableSink puts published routing tables into force.
type tableSink struct {
	*Host
}

// fleetSink takes the registrations of upstreams.
type fleetSink struct {
	*Host
}

var (
	_ discovery.Sink = sinks{}
	_ discovery.Sink = tableSink{}
	_ discovery.Sink = fleetSink{}
)

// Listed implements discovery.Sink.
func (s tableSink) Listed(entries []kv.Entry, until time.Time) {
	for _, entry := range entries {
		s.Changed(kv.Change{
			Entry: entry,
		}, until)
	}
}

// Changed implements discovery.Sink.
func (s tableSink) Changed(change kv.Change, _ time.Time) {
	if change.Deleted || change.Entry.Key != s.platform.Keys.Table {
		return
	}
	table, err := s.platform.Codec.Table(change.Entry.Value)
	if err != nil {
		s.log.Error().Err(err).Uint64("revision", uint64(change.Entry.Version)).Msg("table: not readable, the last one stays in force")
		return
	}
	if s.routes.Offer(table) {
		s.log.Info().Uint64("version", uint64(table.Version)).Msg("table: in force")
	}
}

// Listed implements discovery.Sink.
func (s fleetSink) Listed(entries []kv.Entry, until time.Time) {
	listing := make([]fleet.Listed, 0, len(entries))
	for _, entry := range entries {
		upstream, err := s.platform.Codec.Upstream(entry)
		if err != nil {
			s.log.Info().Err(err).Msg("fleet: registration ignored")
			continue
		}
		listing = append(listing, fleet.Listed{
			Upstream: upstream,
			Version:  entry.Version,
		})
	}
	lacking := s.fleet.Replace(listing, until)
	s.log.Info().Int("upstreams", len(listing)).Int("lacking", lacking).Bool("doubtful", !until.IsZero()).Msg("fleet: listed")
}

// Changed implements discovery.Sink.
func (s fleetSink) Changed(change kv.Change, until time.Time) {
	if change.Deleted {
		id := s.platform.Codec.UpstreamID(change.Entry.Key)
		s.fleet.Remove(id, change.Entry.Version, until)
		s.log.Info().Str("upstream", string(id)).Bool("doubtful", !until.IsZero()).Msg("fleet: removed")
		return
	}
	upstream, err := s.platform.Codec.Upstream(change.Entry)
	if err != nil {
		// What cannot be read names no upstream, so a former one is gone.
		s.fleet.Remove(s.platform.Codec.UpstreamID(change.Entry.Key), change.Entry.Version, time.Time{})
		s.log.Info().Err(err).Msg("fleet: registration ignored")
		return
	}
	if s.fleet.Put(fleet.Listed{
		Upstream: upstream,
		Version:  change.Entry.Version,
	}) {
		s.log.Info().Str("upstream", string(upstream.ID)).Str("service", string(upstream.Service)).Str("address", string(upstream.Address)).Uint8("state", uint8(upstream.State)).Msg("fleet: registered")
	}
}
