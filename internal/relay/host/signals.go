package host

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/peer"
)

// observeReply applies what the header of a response says about the upstream itself, to
// which a number of hosts send requests.
func (h *Host) observeReply(upstream fleet.Upstream, reply wire.Reply, senders int) {
	if reply.Misdirected || reply.Upstream != "" && reply.Upstream != upstream.ID {
		return // another upstream has the address now
	}
	if reply.Draining {
		h.markDraining(upstream)
	}
	if reply.PauseError != nil {
		h.log.Warn().Err(reply.PauseError).Str("upstream", string(upstream.ID)).Msg("fleet: upstream asks for a pause that is not valid")
	}
	if reply.Pause > 0 {
		h.pause(upstream, reply.Pause)
	}
	h.observeLimit(upstream, reply, senders)
}

// observeLimit applies the limit of requests that a response states, or that it states none
// any more.
func (h *Host) observeLimit(upstream fleet.Upstream, reply wire.Reply, senders int) {
	switch {
	case reply.LimitError != nil:
		h.log.Warn().Err(reply.LimitError).Str("upstream", string(upstream.ID)).Msg("fleet: upstream states a limit that is not valid")
	case reply.Limit != nil && h.pauses.SetLimit(upstream, *reply.Limit, senders):
		h.log.Info().Str("upstream", string(upstream.ID)).Str("service", string(upstream.Service)).Float64("limit", float64(*reply.Limit)).Int("senders", senders).Msg("fleet: upstream states a limit of requests")
	case reply.Limit == nil && h.pauses.ClearLimit(upstream):
		h.log.Info().Str("upstream", string(upstream.ID)).Str("service", string(upstream.Service)).Msg("fleet: upstream states no limit of requests any more")
	}
}

// markDraining records that an upstream drains, whatever its registration says, and
// notifies the other hosts.
func (h *Host) markDraining(upstream fleet.Upstream) {
	if !h.fleet.MarkDraining(upstream.ID, upstream.Started, time.Now()) {
		return
	}
	h.log.Info().Str("upstream", string(upstream.ID)).Uint64("incarnation", uint64(upstream.Started)).Msg("fleet: upstream drains, by its own response")
	h.peers.gossip.Publish(peer.UpstreamLeaving{
		Upstream:    upstream.ID,
		Incarnation: upstream.Started,
	})
}

// observeDraining records that an upstream drains, as another host has seen.
func (h *Host) observeDraining(rumour peer.UpstreamLeaving) {
	if h.fleet.MarkDraining(rumour.Upstream, rumour.Incarnation, time.Now()) {
		h.log.Info().Str("upstream", string(rumour.Upstream)).Uint64("incarnation", uint64(rumour.Incarnation)).Msg("fleet: upstream drains, as another host reports")
	}
}

// pause keeps requests from an upstream for the time that it has asked for, up to the
// limit in the settings.
func (h *Host) pause(upstream fleet.Upstream, asked time.Duration) {
	length := min(asked, h.settings.Pause)
	h.meter.Paused(upstream.Service)
	if h.pauses.Remaining(upstream) == 0 {
		h.log.Info().Str("upstream", string(upstream.ID)).Str("service", string(upstream.Service)).Dur("asked", asked).Dur("pause", length).Msg("fleet: upstream asks for no requests")
	}
	h.pauses.Add(upstream, length)
}
