package host

import (
	"context"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
)

// readerDuties are the duties of reading the store on behalf of all hosts. There are two,
// so that the loss of one reader does not delay updates.
var readerDuties = []duty.Name{"read/1", "read/2"}

// joinTime is how long a host that has started may take to learn of the other hosts.
const joinTime = time.Second

// isReader reports whether this host is one of the readers of the store. It is false
// during joinTime: a host that does not know the others yet would elect itself.
func (h *Host) isReader() bool {
	_, ok := h.ownReaderDuty()
	return ok && time.Since(h.started) >= joinTime
}

// ownReaderDuty returns the reader duty of which this host is the leader. No host has
// both.
func (h *Host) ownReaderDuty() (name duty.Name, ok bool) {
	view := h.peers.table.Snapshot()
	otherReader := ident.HostID("")
	for _, name := range readerDuties {
		reader, ok := h.leaders.LeaderExcept(name, view, otherReader)
		if ok && reader == h.settings.Host {
			return name, true
		}
		otherReader = reader
	}
	return "", false
}

// writesMembers reports whether this host writes the list of hosts for all others: it is
// the first of the readers.
func (h *Host) writesMembers() bool {
	name, ok := h.ownReaderDuty()
	return ok && name == readerDuties[0] && time.Since(h.started) >= joinTime && !h.isStopping()
}

// handOverReaderDuty makes another host the leader of this host's reader duty, and
// notifies it at once.
func (h *Host) handOverReaderDuty(ctx context.Context) {
	name, ok := h.ownReaderDuty()
	if !ok {
		return
	}
	successor, ok := h.leaders.HandOver(name, h.settings.Host, h.peers.table.Snapshot())
	if !ok {
		return
	}
	h.log.Info().Str("duty", string(name)).Str("to", string(successor.Host)).Dur("silence", h.replica.SinceLastResponse()).Msg("store: reader duty handed over")
	h.peers.announce(ctx, successor.Address)
}
