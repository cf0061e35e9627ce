package host

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
)

// releasesKey is the key of the entry with the releases of upstreams that have been in
// service lately. A host that starts later learns from it which of them may have begun the
// streams that callers take up.
const releasesKey kv.Key = "releases"

// releasesSink follows the releases that the publishing host has seen.
type releasesSink struct {
	*Host
}

var _ discovery.Sink = releasesSink{}

// Put implements discovery.Sink.
func (s releasesSink) Put(entry kv.Entry) {
	if entry.Key != releasesKey {
		return
	}
	if err := s.releases.Learn(entry.Value); err != nil {
		s.log.Warn().Err(err).Uint64("revision", uint64(entry.Version)).Msg("resumption: releases in service are not readable")
	}
}

// Removed implements discovery.Sink. The releases stay known until the next entry.
func (releasesSink) Removed(kv.Key, kv.Version, time.Time) {}
