package peer

import (
	"cmp"
	"math/bits"
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
	// Rumours about upstreams, requests and documents are rare and urgent, so
	// they precede those about hosts, but leave them a quarter of a message.
	maxUrgent = 12
	// Own suspects and down hosts take a share of the ticks: every second and
	// every fifth one.
	suspectTicks = 2
	downTicks    = 5
	// refuteTime is well below SuspicionTime, so that a second claim is refuted
	// in time.
	refuteTime = SuspicionTime / 3
	// Rumours are remembered for longer than any of them circulates.
	seenTime  = 10 * time.Minute
	seenLimit = 8192
	// rumourTime bounds the retransmission of rumours that reach nobody.
	rumourTime = time.Minute
	// smallFleet is the most live hosts at which a rumour is sent until every host
	// has it, instead of a number of times: 3·log2(n) transmissions missed one of
	// three hosts in some runs, with one link cut.
	smallFleet  = 32
	rumourQueue = 1024
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

type seen struct {
	rumour Rumour
	at     time.Time
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
