package peer

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// refuteTime is well below SuspicionTime, so that a second claim is refuted
	// in time.
	refuteTime = SuspicionTime / 3
	// Rumours are remembered for longer than any of them circulates.
	seenTime  = 10 * time.Minute
	seenLimit = 8192
)

type seen struct {
	rumour Rumour
	at     time.Time
}

// apply takes in a message and reports whether it carried organisations.
func (g *Gossip) apply(message Message) (top bool) {
	from := message.From
	if from.Host != "" && from.Host != g.table.self && from.Incarnation < MaxIncarnation {
		g.hear(HostAlive{
			Row: from,
		})
		if from.State == Leaving {
			g.hear(HostLeaving{
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
			top = true
		}
		g.hear(rumour)
		if rumour == nil {
			continue
		}
		if p, ok := g.queued[subject(rumour)]; ok && !newer(p.rumour, rumour) {
			p.known[from.Host] = true
		}
	}
	return top
}

// hear takes in one rumour and passes it on if it is news.
func (g *Gossip) hear(rumour Rumour) {
	isNews := false
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
		known, listed := g.table.rows[r.Row.Host]
		if listed && known.row.Incarnation == 0 && known.row.State == Alive && g.table.alive(g.now, r.Row) {
			// Every host has it from the list; passing on all incarnations when
			// many hosts start together would delay other rumours.
			g.deliver(r)
			return
		}
		isNews = g.table.alive(g.now, r.Row)
	case HostSuspected:
		if r.Incarnation >= MaxIncarnation {
			return
		}
		if r.Host == g.table.self {
			g.refute(r.Incarnation)
			return
		}
		if e, ok := g.table.rows[r.Host]; ok && e.row.State == Alive && e.row.Incarnation > r.Incarnation {
			g.correct = append(g.correct, HostAlive{
				Row: e.row,
			})
		}
		isNews = g.table.suspected(g.now, r.Host, r.Incarnation)
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
		isNews = g.table.leaving(g.now, r.Host, r.Incarnation)
	case TopOrganisations:
		g.deliver(r)
		return
	case UpstreamLeaving, UpstreamCrashed, FingerprintStruck, FingerprintCleared, DocumentRevised:
		isNews = g.remember(rumour)
	default:
		return
	}
	if isNews {
		g.news(rumour)
	} else {
		g.repeated(rumour)
	}
}

// refute makes this host's incarnation exceed a claimed one and announces it.
func (g *Gossip) refute(claimed ident.Incarnation) {
	self := g.table.rows[g.table.self]
	// Incarnation 0 is a host known from the list only. Hosts that know the
	// present incarnation would not pass it on as news, so it has to rise too,
	// but not with each copy of the claim.
	unknown := claimed == 0 && g.now.Sub(g.refuted) >= refuteTime
	if claimed >= self.row.Incarnation || unknown {
		self.row.Incarnation = max(claimed, self.row.Incarnation) + 1
		g.refuted = g.now
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

func (g *Gossip) news(rumour Rumour) {
	g.enqueue(rumour)
	g.deliver(rumour)
}

func (g *Gossip) deliver(rumour Rumour) {
	select {
	case g.rumours <- rumour:
	default:
		g.dropped++
	}
}

// remember reports whether a rumour is newer than what is known of its subject.
func (g *Gossip) remember(rumour Rumour) bool {
	about := subject(rumour)
	known, ok := g.seen[about]
	if ok && !newer(rumour, known.rumour) {
		return false
	}
	if !ok && len(g.seen) >= seenLimit {
		for other := range g.seen {
			delete(g.seen, other)
			break
		}
	}
	g.seen[about] = seen{
		rumour: rumour,
		at:     g.now,
	}
	return true
}

// forget drops remembered rumours that no longer circulate.
func (g *Gossip) forget() {
	if g.tick%300 != 0 {
		return
	}
	for about, known := range g.seen {
		if g.now.Sub(known.at) > seenTime {
			delete(g.seen, about)
		}
	}
}
