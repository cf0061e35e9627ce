package peer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// Interval is the time between two ticks; each tick sends one message.
	Interval = 200 * time.Millisecond
	// RetransmitFactor times log2(n) is how often a host sends a rumour.
	RetransmitFactor = 3
	// MaxRumours bounds a message; 16 rumours are about 700 bytes.
	MaxRumours = 16
	// A host reports its organisations every fifth tick, which is once a second.
	organisationTicks = 5
	// Failures is how many exchanges in a row fail before a host is suspected.
	// With two, 5% message loss among 360 hosts gave 7 suspicions a second.
	Failures = 3
	// Own suspects and down hosts take a share of the ticks: every second and
	// every fifth one.
	suspectTicks = 2
	downTicks    = 5
	rumourQueue  = 1024
)

// Message is what two hosts exchange.
type Message struct {
	From      Row
	Documents uint64 // digest of the document revisions
	// Age is how long ago the sender knew its documents to be the latest.
	Age     time.Duration
	Leaders []Leader // that the sender follows
	Members uint64   // digest of the ids of the live hosts
	Rumours []Rumour
}

// Leader is the host that does a duty, as a host believes.
type Leader struct {
	Duty string
	Host ident.HostID
	Term uint64 // rises with each change of the leader
}

// MaxTerm bounds the terms that are believed, so that a damaged message cannot
// bring hosts to one that they cannot exceed.
const MaxTerm = 1 << 62

// Outgoing is a message to send; its result is reported to Answered or Failed.
type Outgoing struct {
	To      ident.HostID
	Address ident.Address
	Message Message
}

// Config is what a Gossip depends on.
type Config struct {
	Table  *Table
	Random *rand.Rand
	// Documents returns the digest of the documents in effect.
	Documents func() uint64
	// Age returns how long ago the documents were known to be the latest; nil if
	// that is not known.
	Age func() time.Duration
	// Leaders returns the leaders that this host follows; nil if there are none.
	Leaders func() []Leader
	// Observe is told of each message of another host, without a lock.
	Observe func(message Message)
}

// Gossip decides which messages to send and what to make of received ones.
type Gossip struct {
	config  Config
	table   *Table
	rumours chan Rumour

	mu      sync.Mutex
	tick    int
	now     time.Time
	queue   []*pending
	queued  map[string]*pending // the same, by subject
	number  uint64
	seen    map[string]seen
	top     TopOrganisations
	refuted time.Time                // when this host last raised its incarnation
	correct []Rumour                 // answers to outdated suspicions in the message at hand
	picked  []carry                  // rumours of the message at hand
	carried map[ident.HostID][]carry // rumours of messages without a result yet
	dropped int
}

// NewGossip returns a gossip that maintains the table.
func NewGossip(config Config) *Gossip {
	return &Gossip{
		config:  config,
		table:   config.Table,
		rumours: make(chan Rumour, rumourQueue),
		queued:  make(map[string]*pending),
		carried: make(map[ident.HostID][]carry),
		seen:    make(map[string]seen),
	}
}

// Rumours returns the channel of rumours that this host has heard for the first
// time. A rumour is dropped while the channel is full; Dropped counts them.
func (g *Gossip) Rumours() <-chan Rumour {
	return g.rumours
}

// Dropped returns the number of rumours that no reader took in time.
func (g *Gossip) Dropped() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dropped
}

// Publish spreads a rumour of this host. TopOrganisations replace the previous
// ones; beyond MaxOrganisations the rest is cut off.
func (g *Gossip) Publish(rumour Rumour) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if top, ok := rumour.(TopOrganisations); ok {
		top.Host = g.table.self
		top.Rates = slices.Clone(top.Rates[:min(len(top.Rates), MaxOrganisations)])
		g.top = top
		return
	}
	if g.remember(rumour) {
		g.enqueue(rumour)
	}
}

// Leave announces that this host is about to stop.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	self := g.table.rows[g.table.self]
	g.table.set(g.now, self, Leaving)
	g.enqueue(HostLeaving{
		Host:        self.row.Host,
		Incarnation: self.row.Incarnation,
	})
}

// Greet returns a message to a host of which only the address is known. Its
// reply goes to Met.
func (g *Gossip) Greet() Message {
	documents := g.config.Documents()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return g.message(documents, "", 0, nil)
}

// Met takes the reply to a greeting.
func (g *Gossip) Met(now time.Time, reply Message) {
	g.mu.Lock()
	g.table.mu.Lock()
	g.now = now
	g.correct = nil
	g.apply(reply)
	g.table.mu.Unlock()
	g.mu.Unlock()
	g.observe(reply)
}

// Tick ends suspicions and returns the messages due at the time now.
func (g *Gossip) Tick(now time.Time) []Outgoing {
	documents := g.config.Documents()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.now = now
	g.tick++
	g.table.expire(now)
	g.forget()
	to, ok := g.choose()
	if !ok {
		return nil
	}
	message := g.message(documents, to.Host, to.Incarnation, nil)
	g.carried[to.Host] = append(g.carried[to.Host], g.picked...)
	if g.tick%organisationTicks == 0 && len(g.top.Rates) > 0 {
		message.Rumours = append(message.Rumours, g.top)
	}
	return []Outgoing{
		{
			To:      to.Host,
			Address: to.Address,
			Message: message,
		},
	}
}

// Receive takes a message from another host and returns the reply.
func (g *Gossip) Receive(now time.Time, message Message) Message {
	documents := g.config.Documents()
	g.mu.Lock()
	g.table.mu.Lock()
	g.now = now
	g.correct = nil
	wantsTop := g.apply(message)
	reply := g.message(documents, message.From.Host, message.From.Incarnation, message.Rumours)
	reply.Rumours = append(reply.Rumours, g.correct[:min(len(g.correct), MaxRumours-len(reply.Rumours))]...)
	if message.Members != reply.Members {
		reply.Rumours = g.fill(reply.Rumours)
	}
	if wantsTop && len(g.top.Rates) > 0 {
		reply.Rumours = append(reply.Rumours, g.top)
	}
	g.table.mu.Unlock()
	g.mu.Unlock()
	g.observe(message)
	return reply
}

// Answered reports the reply to an Outgoing message.
func (g *Gossip) Answered(now time.Time, to ident.HostID, reply Message) {
	g.mu.Lock()
	g.table.mu.Lock()
	g.now = now
	g.correct = nil
	g.apply(reply)
	if reply.From.Host == to {
		for _, c := range g.carried[to] {
			if c.pending.number == c.number {
				c.pending.known[to] = true
			}
		}
		delete(g.carried, to)
		if e, ok := g.table.rows[to]; ok {
			e.failures = 0
		}
	} else {
		g.failed(to) // another process has its address
	}
	g.table.mu.Unlock()
	g.mu.Unlock()
	g.observe(reply)
}

// Failed reports that an Outgoing message got no reply.
func (g *Gossip) Failed(now time.Time, to ident.HostID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.now = now
	g.failed(to)
}

func (g *Gossip) observe(message Message) {
	if g.config.Observe != nil && message.From.Host != "" {
		g.config.Observe(message)
	}
}

func (g *Gossip) failed(to ident.HostID) {
	g.restore(to)
	e, ok := g.table.rows[to]
	switch {
	case !ok || to == g.table.self:
	case e.row.State == Leaving:
		g.table.set(g.now, e, Down)
	case e.row.State == Alive && e.failures < Failures-1:
		e.failures++ // the next tick confirms it
	case e.row.State == Alive:
		e.failures = 0
		rumour := HostSuspected{
			Host:        to,
			Incarnation: e.row.Incarnation,
		}
		g.table.set(g.now, e, Suspect)
		e.observed = true
		g.enqueue(rumour)
		g.deliver(rumour)
	}
}

// choose returns the host to contact on this tick.
func (g *Gossip) choose() (Row, bool) {
	confirm, suspects, down := g.table.probes(g.now)
	switch {
	case len(confirm) > 0:
		return g.pick(confirm), true
	case len(suspects) > 0 && g.tick%suspectTicks == 0:
		return g.pick(suspects), true
	case len(down) > 0 && g.tick%downTicks == 0:
		return g.pick(down), true
	}
	others := make([]*entry, 0, len(g.table.order))
	for _, e := range g.table.order {
		if e.row.Live() && e.row.Host != g.table.self && e.row.Address != "" {
			others = append(others, e)
		}
	}
	switch {
	case len(others) > 0:
		return others[g.config.Random.IntN(len(others))].row, true
	case len(down) > 0:
		return g.pick(down), true
	}
	return Row{}, false
}

func (g *Gossip) pick(rows []Row) Row {
	return rows[g.config.Random.IntN(len(rows))]
}
