package host

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/resumption"
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

// noteStream notes the upstream that a coordinator of this host proposes for a request. One
// that takes up a stream goes to the release that began it, which has been noted.
func (h *Host) noteStream(job coordinator.Job, upstream fleet.Upstream) {
	if job.Rank == batch.ResumedRank {
		return
	}
	h.streams.Propose(resumption.Stream{
		Origin:  job.Request,
		Service: upstream.Service,
	}, upstream.Release)
}
