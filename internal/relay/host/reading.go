package host

import (
	"context"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
)

// reading are the duties of the hosts that read the store on behalf of all; with
// two, the loss of one goes unnoticed.
var reading = []duty.Name{"read/1", "read/2"}

// meetTime is how long a host takes to meet the others.
const meetTime = time.Second

// reads reports whether this host is one of the readers of the store. A host
// that has just started does not know yet who the others are.
func (h *Host) reads() bool {
	_, ok := h.ownReading()
	return ok && time.Since(h.started) >= meetTime
}

// ownReading returns the reading that is this host's. No host has two.
func (h *Host) ownReading() (name duty.Name, ok bool) {
	view := h.peers.table.Snapshot()
	taken := ident.HostID("")
	for _, name := range reading {
		reader, ok := h.leaders.LeaderExcept(name, view, taken)
		if ok && reader == h.settings.Host {
			return name, true
		}
		taken = reader
	}
	return "", false
}

// passReading gives this host's reading to another one, and tells that at once.
func (h *Host) passReading(ctx context.Context) {
	name, ok := h.ownReading()
	if !ok {
		return
	}
	next, ok := h.leaders.HandOver(name, h.settings.Host, h.peers.table.Snapshot())
	if !ok {
		return
	}
	h.log.Info().Str("duty", string(name)).Str("to", string(next.Host)).Dur("silence", h.replica.SinceLastResponse()).Msg("store: reading passed on")
	h.peers.tell(ctx, next.Address)
}
