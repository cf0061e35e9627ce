package peer

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// refuteInterval is the least time after which a claim with incarnation 0 raises
	// the incarnation again. It is well below SuspicionTime, so that a second claim
	// is refuted in time.
	refuteInterval = SuspicionTime / 3
	// seenRetention is longer than any rumour circulates.
	seenRetention = 10 * time.Minute
	// maxSeen bounds Gossip.seen.
	maxSeen = 8192
)

// seenRumour is the latest rumour of a subject that this host has received or
// published.
type seenRumour struct {
	rumour Rumour
	at     time.Time
}

// apply applies a message and reports whether it contained TopOrganisations.
func (g *Gossip) apply(message Message) (hasTop bool) {
	from := message.From
	if from.Host != "" && from.Host != g.table.self && from.Incarnation < MaxIncarnation {
		g.applyRumour(HostAlive{
			Row: from,
		})
		if from.State == Leaving {
			g.applyRumour(HostLeaving{
				Host:        from.Host,
				Incarnation: from.Incarnation,
			})
		}
		if e, ok := g.table.rows[from.Host]; ok {
			e.failures = 0
		}
	}
	for _, rumour := range message.Rumours {
		if _, ok := rumour.(TopOrganisations); ok {
			hasTop = true
		}
		g.applyRumour(rumour)
		if rumour == nil {
			continue
		}
		if p, ok := g.queueBySubject[subject(rumour)]; ok && !newer(p.rumour, rumour) {
			p.knownBy[from.Host] = true
		}
	}
	return hasTop
}

// applyRumour applies a rumour, and delivers and forwards it if it is new.
func (g *Gossip) applyRumour(rumour Rumour) {
	isNew := false
	switch r := rumour.(type) {
	case HostAlive:
		if r.Row.Incarnation >= MaxIncarnation {
			return
		}
		if r.Row.Host == g.table.self {
			if r.Row.Incarnation > g.table.rows[r.Row.Host].row.Incarnation {
				g.refute(r.Row.Incarnation)
			}
			return
		}
		known, exists := g.table.rows[r.Row.Host]
		if exists && known.row.Incarnation == 0 && known.row.State == Alive && g.table.applyAlive(g.now, r.Row) {
			// Every host knows this one from the host list. Forwarding the
			// incarnations of many hosts that start together would delay other
			// rumours.
			g.deliver(r)
			return
		}
		isNew = g.table.applyAlive(g.now, r.Row)
	case HostSuspected:
		if r.Incarnation >= MaxIncarnation {
			return
		}
		if r.Host == g.table.self {
			g.refute(r.Incarnation)
			return
		}
		if e, ok := g.table.rows[r.Host]; ok && e.row.State == Alive && e.row.Incarnation > r.Incarnation {
			g.corrections = append(g.corrections, HostAlive{
				Row: e.row,
			})
		}
		isNew = g.table.applySuspected(g.now, r.Host, r.Incarnation)
	case HostLeaving:
		if r.Incarnation >= MaxIncarnation {
			return
		}
		if r.Host == g.table.self {
			if self := g.table.rows[r.Host].row; self.State != Leaving {
				g.refute(r.Incarnation)
			}
			return
		}
		isNew = g.table.applyLeaving(g.now, r.Host, r.Incarnation)
	case TopOrganisations:
		g.deliver(r)
		return
	case UpstreamLeaving, UpstreamCrashed, CrashReported, FingerprintStruck, FingerprintCleared, DocumentRevised:
		isNew = g.recordSeen(rumour)
	default:
		return
	}
	if isNew {
		g.spread(rumour)
	} else {
		g.countDuplicate(rumour)
	}
}

// refute raises this host's incarnation above a claimed one and announces it.
func (g *Gossip) refute(claimed ident.Incarnation) {
	self := g.table.rows[g.table.self]
	// Incarnation 0 is claimed by hosts that know this host from the host list
	// only. Hosts that know the present incarnation would not forward it as new, so
	// it is raised for such a claim too, but not for each copy of it.
	refuteZero := claimed == 0 && g.now.Sub(g.refutedAt) >= refuteInterval
	if claimed >= self.row.Incarnation || refuteZero {
		self.row.Incarnation = max(claimed, self.row.Incarnation) + 1
		g.refutedAt = g.now
		g.table.view = nil
	}
	if self.row.State == Leaving {
		g.enqueue(HostLeaving{
			Host:        self.row.Host,
			Incarnation: self.row.Incarnation,
		})
		return
	}
	g.enqueue(HostAlive{
		Row: self.row,
	})
}

// spread enqueues a new rumour and delivers it to the local reader.
func (g *Gossip) spread(rumour Rumour) {
	g.enqueue(rumour)
	g.deliver(rumour)
}

// deliver sends a rumour to the channel of Rumours, or drops it if that is full.
func (g *Gossip) deliver(rumour Rumour) {
	select {
	case g.rumours <- rumour:
	default:
		g.dropped++
	}
}

// recordSeen records a rumour as the latest of its subject, and reports whether it
// is newer than the previous one. If maxSeen is reached, it evicts an arbitrary
// subject.
func (g *Gossip) recordSeen(rumour Rumour) bool {
	key := subject(rumour)
	known, ok := g.seen[key]
	if ok && !newer(rumour, known.rumour) {
		return false
	}
	if !ok && len(g.seen) >= maxSeen {
		for evicted := range g.seen {
			delete(g.seen, evicted)
			break
		}
	}
	g.seen[key] = seenRumour{
		rumour: rumour,
		at:     g.now,
	}
	return true
}

// expireSeen deletes the seen rumours that no longer circulate, on every 300th tick.
func (g *Gossip) expireSeen() {
	if g.tick%300 != 0 {
		return
	}
	for key, known := range g.seen {
		if g.now.Sub(known.at) > seenRetention {
			delete(g.seen, key)
		}
	}
}
