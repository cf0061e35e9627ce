package host

import (
	"context"
	"time"

	"github.com/juju/errors"

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

// sharedHosts is the number of hosts that are asked to write a record for this one. While half of
// the hosts cannot, three of four records reach one that can.
const sharedHosts = 2

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

// shareRecord makes other hosts write a record of streams, and returns once one of them has.
func (h *Host) shareRecord(ctx context.Context, record []byte) error {
	err := errors.NotFoundf("other live hosts")
	rows := h.peers.some(sharedHosts)
	results := make(chan error, len(rows))
	for _, row := range rows {
		go func(ctx context.Context) { results <- h.relayClient.Record(ctx, row.Address, record) }(ctx)
	}
	for range rows {
		if err = <-results; err == nil {
			break
		}
	}
	h.log.Info().Err(err).Int("bytes", len(record)).Msg("resumption: streams passed to other hosts to record, since the store does not serve this one")
	return err
}
