package peer

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// maxUrgentRumours bounds the urgent rumours of a message. Rumours about
	// upstreams, requests and documents are rare and urgent, so they precede
	// rumours about hosts, but leave a quarter of the message to them.
	maxUrgentRumours = 12
	// maxRumourAge bounds the retransmission of rumours that reach no host.
	maxRumourAge = time.Minute
	// smallFleet is the largest number of live hosts at which a rumour is sent
	// until every host has it, instead of a fixed number of times: with one of the
	// links cut, 3·log2(n) transmissions missed one of three hosts in some runs.
	smallFleet = 32
)

// pending is a rumour that is still being sent.
type pending struct {
	rumour   Rumour
	subject  string
	urgent   bool
	sent     int                   // transmissions, and receptions from hosts that have it already
	sequence uint64                // increases with each enqueued rumour
	queuedAt time.Time             // zero if published before the first tick, until a message is built
	knownBy  map[ident.HostID]bool // hosts that are known to have the rumour
}

// transmission is a queued rumour in a message. The sequence differs from that of
// pending if a newer rumour has replaced it since.
type transmission struct {
	pending  *pending
	sequence uint64
}

// requeue reverts the transmission counts of the rumours in failed messages to a
// host, and puts rumours that were already removed back in the queue, so that they
// are still sent after a time in which the hosts cannot reach each other.
func (g *Gossip) requeue(to ident.HostID) {
	for _, t := range g.inFlight[to] {
		p := t.pending
		if g.queueBySubject[p.subject] == p {
			p.sent = max(0, p.sent-1)
			continue
		}
		if g.queueBySubject[p.subject] == nil && g.now.Sub(p.queuedAt) < maxRumourAge {
			p.sent--
			g.queueBySubject[p.subject] = p
			g.queue = append(g.queue, p)
		}
	}
	delete(g.inFlight, to)
}

// knownByAll reports whether every other host has a rumour, except for leaving hosts.
// Hosts that are down count, because they may only be unreachable for a time and need
// the rumour afterwards.
func (g *Gossip) knownByAll(p *pending) bool {
	for _, e := range g.table.order {
		if e.row.State != Leaving && e.row.Host != g.table.self && !p.knownBy[e.row.Host] {
			return false
		}
	}
	return true
}

// buildMessage builds a message to a host with the given known incarnation, without
// the rumours that have just been received from it.
func (g *Gossip) buildMessage(documents uint64, to ident.HostID, incarnation ident.Incarnation, received []Rumour) Message {
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
	// A claim about the recipient that it may have to refute comes first.
	if e, ok := g.table.rows[to]; ok {
		if known := e.row; known.State == Suspect || known.State == Down {
			message.Rumours = append(message.Rumours, HostSuspected{
				Host:        to,
				Incarnation: known.Incarnation,
			})
		} else if known.Incarnation > incarnation {
			message.Rumours = append(message.Rumours, HostAlive{
				Row: known,
			})
		}
	}
	g.transmissions = nil
	if len(g.queue) == 0 {
		return message
	}
	skip := make(map[string]bool, len(received))
	for _, rumour := range received {
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
			return cmp.Compare(b.sequence, a.sequence)
		}
	})
	urgent := 0
	for _, p := range g.queue {
		if len(message.Rumours) >= MaxRumours {
			break
		}
		if skip[p.subject] || p.knownBy[to] || (p.urgent && urgent >= maxUrgentRumours) {
			continue
		}
		if p.urgent {
			urgent++
		}
		message.Rumours = append(message.Rumours, p.rumour)
		g.transmissions = append(g.transmissions, transmission{
			pending:  p,
			sequence: p.sequence,
		})
		p.sent++
	}
	limit := RetransmitFactor * bits.Len(uint(g.table.live))
	g.queue = slices.DeleteFunc(g.queue, func(p *pending) bool {
		remove := p.sent >= limit
		if p.queuedAt.IsZero() {
			p.queuedAt = g.now // published before the first tick
		}
		if g.table.live <= smallFleet {
			remove = g.knownByAll(p) || g.now.Sub(p.queuedAt) >= maxRumourAge
		}
		if remove {
			delete(g.queueBySubject, p.subject)
		}
		return remove
	})
	return message
}

// appendRows appends rows of the table, from a random one on, up to MaxRumours.
func (g *Gossip) appendRows(rumours []Rumour) []Rumour {
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

// enqueue queues a rumour for sending, in place of an older one of its subject.
func (g *Gossip) enqueue(rumour Rumour) {
	key := subject(rumour)
	p, ok := g.queueBySubject[key]
	if ok && !newer(rumour, p.rumour) {
		return
	}
	if !ok {
		p = &pending{
			subject: key,
		}
		g.queueBySubject[key] = p
		g.queue = append(g.queue, p)
	}
	g.sequence++
	p.rumour = rumour
	p.urgent = urgent(rumour)
	p.sent = 0
	p.sequence = g.sequence
	p.queuedAt = g.now
	p.knownBy = make(map[ident.HostID]bool)
	if p.urgent {
		g.signalUrgent()
	}
}

// signalUrgent makes the next tick follow after UrgentInterval.
func (g *Gossip) signalUrgent() {
	select {
	case g.urgent <- struct{}{}:
	default: // the tick is due already
	}
}

// countDuplicate counts a received duplicate of a queued rumour as a transmission,
// so that the rumour is sent fewer times.
func (g *Gossip) countDuplicate(rumour Rumour) {
	if p, ok := g.queueBySubject[subject(rumour)]; ok && !newer(rumour, p.rumour) {
		p.sent++
	}
}
