package peer

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// Rumours about upstreams, requests and documents are rare and urgent, so
	// they precede those about hosts, but leave them a quarter of a message.
	maxUrgent = 12
	// rumourTime bounds the retransmission of rumours that reach nobody.
	rumourTime = time.Minute
	// smallFleet is the most live hosts at which a rumour is sent until every host
	// has it, instead of a number of times: 3·log2(n) transmissions missed one of
	// three hosts in some runs, with one link cut.
	smallFleet = 32
)

// pending is a rumour that is still being sent.
type pending struct {
	rumour  Rumour
	subject string
	urgent  bool
	sent    int    // times sent, or heard from a host that knows it already
	number  uint64 // in order of arrival
	at      time.Time
	known   map[ident.HostID]bool // hosts that have it
}

// carry is a rumour as it was when a message took it.
type carry struct {
	pending *pending
	number  uint64
}

// restore takes back the transmissions of messages that a host did not receive,
// so that a rumour of a host that is cut off for a time is sent afterwards.
func (g *Gossip) restore(to ident.HostID) {
	for _, c := range g.carried[to] {
		p := c.pending
		if g.queued[p.subject] == p {
			p.sent = max(0, p.sent-1)
			continue
		}
		if g.queued[p.subject] == nil && g.now.Sub(p.at) < rumourTime {
			p.sent--
			g.queued[p.subject] = p
			g.queue = append(g.queue, p)
		}
	}
	delete(g.carried, to)
}

// allKnow reports whether every other host has a rumour. Those that are down may be
// cut off only, and need it when they are reached again.
func (g *Gossip) allKnow(p *pending) bool {
	for _, e := range g.table.order {
		if e.row.State != Leaving && e.row.Host != g.table.self && !p.known[e.row.Host] {
			return false
		}
	}
	return true
}

// message builds a message to a host of which the given incarnation is known,
// without rumours that it has just sent.
func (g *Gossip) message(documents uint64, to ident.HostID, incarnation ident.Incarnation, known []Rumour) Message {
	message := Message{
		From:      g.table.rows[g.table.self].row,
		Documents: documents,
		Members:   g.table.digest,
	}
	if g.config.Age != nil {
		message.Age = g.config.Age()
	}
	if g.config.Leaders != nil {
		message.Leaders = g.config.Leaders()
	}
	// What this host believes about the recipient comes first, so that the
	// recipient can refute it.
	if e, ok := g.table.rows[to]; ok {
		if belief := e.row; belief.State == Suspect || belief.State == Down {
			message.Rumours = append(message.Rumours, HostSuspected{
				Host:        to,
				Incarnation: belief.Incarnation,
			})
		} else if belief.Incarnation > incarnation {
			message.Rumours = append(message.Rumours, HostAlive{
				Row: belief,
			})
		}
	}
	g.picked = nil
	if len(g.queue) == 0 {
		return message
	}
	skip := make(map[string]bool, len(known))
	for _, rumour := range known {
		if rumour != nil {
			skip[subject(rumour)] = true
		}
	}
	slices.SortFunc(g.queue, func(a, b *pending) int {
		switch {
		case a.urgent != b.urgent && a.urgent:
			return -1
		case a.urgent != b.urgent:
			return 1
		case a.sent != b.sent:
			return a.sent - b.sent
		default:
			return cmp.Compare(b.number, a.number)
		}
	})
	urgent := 0
	for _, p := range g.queue {
		if len(message.Rumours) >= MaxRumours {
			break
		}
		if skip[p.subject] || p.known[to] || (p.urgent && urgent >= maxUrgent) {
			continue
		}
		if p.urgent {
			urgent++
		}
		message.Rumours = append(message.Rumours, p.rumour)
		g.picked = append(g.picked, carry{
			pending: p,
			number:  p.number,
		})
		p.sent++
	}
	limit := RetransmitFactor * bits.Len(uint(g.table.live))
	g.queue = slices.DeleteFunc(g.queue, func(p *pending) bool {
		done := p.sent >= limit
		if p.at.IsZero() {
			p.at = g.now // published before the first tick
		}
		if g.table.live <= smallFleet {
			done = g.allKnow(p) || g.now.Sub(p.at) >= rumourTime
		}
		if done {
			delete(g.queued, p.subject)
		}
		return done
	})
	return message
}

// fill adds random rows up to MaxRumours.
func (g *Gossip) fill(rumours []Rumour) []Rumour {
	rows := g.table.order
	first := g.config.Random.IntN(len(rows))
	for i := 0; i < len(rows) && len(rumours) < MaxRumours; i++ {
		row := rows[(first+i)%len(rows)].row
		switch row.State {
		case Alive, Suspect:
			rumours = append(rumours, HostAlive{
				Row: row,
			})
		case Leaving:
			rumours = append(rumours, HostLeaving{
				Host:        row.Host,
				Incarnation: row.Incarnation,
			})
		case Down:
			rumours = append(rumours, HostSuspected{
				Host:        row.Host,
				Incarnation: row.Incarnation,
			})
		}
	}
	return rumours
}

// enqueue starts sending a rumour in place of an older one of its subject.
func (g *Gossip) enqueue(rumour Rumour) {
	about := subject(rumour)
	p, ok := g.queued[about]
	if ok && !newer(rumour, p.rumour) {
		return
	}
	if !ok {
		p = &pending{
			subject: about,
		}
		g.queued[about] = p
		g.queue = append(g.queue, p)
	}
	g.number++
	p.rumour = rumour
	p.urgent = urgent(rumour)
	p.sent = 0
	p.number = g.number
	p.at = g.now
	p.known = make(map[ident.HostID]bool)
}

// repeated counts a rumour that others know already, so that hosts lose
// interest in it sooner.
func (g *Gossip) repeated(rumour Rumour) {
	if p, ok := g.queued[subject(rumour)]; ok && !newer(rumour, p.rumour) {
		p.sent++
	}
}
