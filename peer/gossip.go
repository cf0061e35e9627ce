package peer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// Interval is the usual time between two calls of Gossip.Tick, each of which returns
	// at most one message.
	Interval = 200 * time.Millisecond
	// UrgentInterval is the time between two calls of Gossip.Tick while there are urgent
	// rumours that have been sent fewer than urgentTransmissions times: with three, a
	// rumour reaches all hosts in few steps, although some transmissions meet hosts that
	// have it already. It is also that time while documents are announced.
	UrgentInterval      = 40 * time.Millisecond
	urgentTransmissions = 3
	// documentTransmissions is the number of messages at UrgentInterval that announce
	// documents: with eight, they also reach the hosts that are left in time when two of
	// five have just lost power.
	documentTransmissions = 8
	// RetransmitFactor times log2(n) is the number of times that a host sends a
	// rumour among n live hosts, unless they are few.
	RetransmitFactor = 3
	// MaxRumours bounds the rumours of a message, except for TopOrganisations;
	// 16 rumours are about 700 bytes.
	MaxRumours = 16
	// organisationReportTicks is the number of ticks between two reports of
	// TopOrganisations; 5 ticks are 1 s.
	organisationReportTicks = 5
	// FailureThreshold is the number of consecutive failed exchanges after which a
	// host is suspected. With 2, a message loss of 5% among 360 hosts caused 7
	// suspicions per second.
	FailureThreshold = 3
	// Every suspectProbeTicks-th tick probes a suspect and every downProbeTicks-th
	// tick a down host, if there is one.
	suspectProbeTicks = 2
	downProbeTicks    = 5
	// rumourBuffer is the capacity of the channel of received rumours.
	rumourBuffer = 1024
)

// Message is a request or a reply of an exchange between two hosts.
type Message struct {
	From      Row
	Documents uint64 // digest of the document revisions in effect at the sender
	// Age is the time since the sender's documents were last known to be the
	// latest revisions.
	Age     time.Duration
	Leaders []Leader // leaders that the sender follows
	Members uint64   // digest of the ids of the hosts that are live in the sender's table
	Rumours []Rumour
}

// Leader is the host that the sender of a message takes for the leader of a duty.
type Leader struct {
	Duty string
	Host ident.HostID
	Term uint64 // increases with each change of the leader
}

// MaxTerm is the largest term that a host accepts, so that a damaged message
// cannot raise a term to a number that no later term exceeds.
const MaxTerm = 1 << 62

// Outgoing is a message to send. The caller of Gossip.Tick reports its result to
// Gossip.Answered or Gossip.Failed.
type Outgoing struct {
	To      ident.HostID
	Address ident.Address
	Message Message
}

// Config holds the dependencies of a Gossip. Documents and Observe are called without
// a lock, concurrently if methods of the Gossip are. Age and Leaders are called with
// the mutexes of the Gossip and of its Table held, so they must not call methods of
// either.
type Config struct {
	Table  *Table
	Random *rand.Rand // must not be shared; guarded by the mutex of the Gossip
	// Documents returns the digest of the revisions of the documents in effect.
	Documents func() uint64
	// Age returns the time since the documents were last known to be the latest
	// revisions. It may be nil, if that is not known.
	Age func() time.Duration
	// Leaders returns the leaders that this host follows. It may be nil, if there
	// are none.
	Leaders func() []Leader
	// Observe is called with each message from another host. It may be nil.
	Observe func(message Message)
}

// Gossip chooses the messages to send and applies received ones to its Table. It is
// safe for concurrent use.
type Gossip struct {
	config  Config
	table   *Table
	rumours chan Rumour
	urgent  chan struct{} // has an element while there is something urgent since the latest tick

	mu               sync.Mutex
	tick             int
	now              time.Time                       // time of the latest call
	queue            []*pending                      // rumours still being sent
	queueBySubject   map[string]*pending             // the elements of queue by subject
	sequence         uint64                          // of the latest enqueued rumour
	seen             map[string]seenRumour           // latest rumour of each subject, except for rumours about hosts
	topOrganisations TopOrganisations                // of this host
	refutedAt        time.Time                       // when this host last raised its incarnation
	corrections      []Rumour                        // replies to outdated suspicions in the message being received
	transmissions    []transmission                  // queued rumours in the message being built
	inFlight         map[ident.HostID][]transmission // queued rumours in messages without a result yet, by recipient
	dropped          int
	announcements    int      // messages still to be sent at UrgentInterval since the documents have changed
	neighbourRows    []*entry // as of neighbourStep and neighbourDigest
	neighbourStep    int64
	neighbourDigest  uint64 // of the live rows
}

// NewGossip returns a Gossip that updates config.Table.
func NewGossip(config Config) *Gossip {
	return &Gossip{
		config:         config,
		table:          config.Table,
		rumours:        make(chan Rumour, rumourBuffer),
		urgent:         make(chan struct{}, 1),
		queueBySubject: make(map[string]*pending),
		inFlight:       make(map[ident.HostID][]transmission),
		seen:           make(map[string]seenRumour),
	}
}

// Rumours returns the channel of rumours that this host has received for the first
// time. Rumours that arrive while the channel is full are not sent to it; Dropped
// counts them.
func (g *Gossip) Rumours() <-chan Rumour {
	return g.rumours
}

// Dropped returns the number of rumours that were not sent to the channel of
// Rumours because it was full.
func (g *Gossip) Dropped() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dropped
}

// Urgent returns a channel that receives when an urgent rumour has been queued, or documents
// have been announced. The next Tick is due as Pause says from then on.
func (g *Gossip) Urgent() <-chan struct{} {
	return g.urgent
}

// Pause returns the time from the latest Tick to the next one.
func (g *Gossip) Pause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announcements > 0 {
		return UrgentInterval
	}
	for _, p := range g.queue {
		if p.urgent && p.sent < urgentTransmissions {
			return UrgentInterval
		}
	}
	return Interval
}

// Publish spreads a rumour of this host. TopOrganisations replace the previous
// ones and are truncated to MaxOrganisations.
func (g *Gossip) Publish(rumour Rumour) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if top, ok := rumour.(TopOrganisations); ok {
		top.Host = g.table.self
		top.Rates = slices.Clone(top.Rates[:min(len(top.Rates), MaxOrganisations)])
		g.topOrganisations = top
		return
	}
	if g.recordSeen(rumour) {
		g.enqueue(rumour)
	}
}

// AnnounceDocuments makes the next messages, which carry the digest of the documents, follow
// at UrgentInterval. It is called when documents have changed that have to be in effect on
// all hosts soon.
func (g *Gossip) AnnounceDocuments() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announcements = documentTransmissions
	g.signalUrgent()
}

// Leave announces that this host is about to stop.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	self := g.table.rows[g.table.self]
	g.table.setState(g.now, self, Leaving)
	g.enqueue(HostLeaving{
		Host:        self.row.Host,
		Incarnation: self.row.Incarnation,
	})
}

// Announcement returns a message that announces this host to a host of which only
// the address is known. The caller passes the reply to Announced.
func (g *Gossip) Announcement() Message {
	documents := g.config.Documents()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return g.buildMessage(documents, "", 0, nil)
}

// Announced applies the reply to an Announcement.
func (g *Gossip) Announced(now time.Time, reply Message) {
	g.mu.Lock()
	g.table.mu.Lock()
	g.now = now
	g.corrections = nil
	g.apply(reply)
	g.table.mu.Unlock()
	g.mu.Unlock()
	g.observe(reply)
}

// Tick marks hosts as down whose suspicion or leaving time has expired, and returns
// the messages to send at the time now.
func (g *Gossip) Tick(now time.Time) []Outgoing {
	documents := g.config.Documents()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	select {
	case <-g.urgent:
	default:
	}
	g.now = now
	g.tick++
	announcing := g.announcements > 0
	g.announcements = max(0, g.announcements-1)
	g.table.expire(now)
	g.expireSeen()
	to, ok := g.chooseRecipient(announcing)
	if !ok {
		return nil
	}
	message := g.buildMessage(documents, to.Host, to.Incarnation, nil)
	g.inFlight[to.Host] = append(g.inFlight[to.Host], g.transmissions...)
	if g.tick%organisationReportTicks == 0 && len(g.topOrganisations.Rates) > 0 {
		message.Rumours = append(message.Rumours, g.topOrganisations)
	}
	return []Outgoing{
		{
			To:      to.Host,
			Address: to.Address,
			Message: message,
		},
	}
}

// Receive applies a message from another host and returns the reply.
func (g *Gossip) Receive(now time.Time, message Message) Message {
	documents := g.config.Documents()
	g.mu.Lock()
	g.table.mu.Lock()
	g.now = now
	g.corrections = nil
	sendTop := g.apply(message)
	reply := g.buildMessage(documents, message.From.Host, message.From.Incarnation, message.Rumours)
	reply.Rumours = append(reply.Rumours, g.corrections[:min(len(g.corrections), MaxRumours-len(reply.Rumours))]...)
	if message.Members != reply.Members {
		reply.Rumours = g.appendRows(reply.Rumours)
	}
	if sendTop && len(g.topOrganisations.Rates) > 0 {
		reply.Rumours = append(reply.Rumours, g.topOrganisations)
	}
	g.table.mu.Unlock()
	g.mu.Unlock()
	g.observe(message)
	return reply
}

// Answered applies the reply to an Outgoing message to the host. A reply from another
// host counts as a failure.
func (g *Gossip) Answered(now time.Time, to ident.HostID, reply Message) {
	g.mu.Lock()
	g.table.mu.Lock()
	g.now = now
	g.corrections = nil
	g.apply(reply)
	if reply.From.Host == to {
		for _, t := range g.inFlight[to] {
			if t.pending.sequence == t.sequence {
				t.pending.knownBy[to] = true
			}
		}
		delete(g.inFlight, to)
		if e, ok := g.table.rows[to]; ok {
			e.failures = 0
		}
	} else {
		g.recordFailure(to) // another host has this address now
	}
	g.table.mu.Unlock()
	g.mu.Unlock()
	g.observe(reply)
}

// Failed reports that an Outgoing message to the host got no reply.
func (g *Gossip) Failed(now time.Time, to ident.HostID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.now = now
	g.recordFailure(to)
}

// observe calls the Observe function of the config with a message of a known sender.
func (g *Gossip) observe(message Message) {
	if g.config.Observe != nil && message.From.Host != "" {
		g.config.Observe(message)
	}
}

// recordFailure counts a failed exchange, and suspects the host if FailureThreshold
// is reached. A leaving host is down after one failed exchange.
func (g *Gossip) recordFailure(to ident.HostID) {
	g.requeue(to)
	e, ok := g.table.rows[to]
	switch {
	case !ok || to == g.table.self:
	case e.row.State == Leaving:
		g.table.setState(g.now, e, Down)
	case e.row.State == Alive && e.failures < FailureThreshold-1:
		e.failures++ // the next ticks probe the host again
	case e.row.State == Alive:
		e.failures = 0
		rumour := HostSuspected{
			Host:        to,
			Incarnation: e.row.Incarnation,
		}
		g.table.setState(g.now, e, Suspect)
		e.suspectedHere = true
		g.enqueue(rumour)
		g.deliver(rumour)
	}
}

// chooseRecipient returns the host to send a message to on this tick. While documents are
// announced, that is one which is thought to be up: after a loss of many hosts, probes of
// these would otherwise take up all messages.
func (g *Gossip) chooseRecipient(announcing bool) (Row, bool) {
	confirm, suspects, down := g.table.probes(g.now)
	switch {
	case announcing:
	case len(confirm) > 0:
		return g.randomRow(confirm), true
	case len(suspects) > 0 && g.tick%suspectProbeTicks == 0:
		return g.randomRow(suspects), true
	case len(down) > 0 && g.tick%downProbeTicks == 0:
		return g.randomRow(down), true
	}
	others := make([]*entry, 0, len(g.table.order))
	for _, e := range g.table.order {
		if e.row.Live() && e.row.Host != g.table.self && e.row.Address != "" && (!announcing || e.failures == 0) {
			others = append(others, e)
		}
	}
	switch {
	case len(others) > maxNeighbours && g.tick%strangerTicks != 0:
		neighbours := g.neighbours(others)
		return neighbours[g.config.Random.IntN(len(neighbours))].row, true
	case len(others) > 0:
		return others[g.config.Random.IntN(len(others))].row, true
	case len(down) > 0:
		return g.randomRow(down), true
	}
	return Row{}, false
}

func (g *Gossip) randomRow(rows []Row) Row {
	return rows[g.config.Random.IntN(len(rows))]
}
