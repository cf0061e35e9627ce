package reporthttp

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const (
	// pollInterval bounds the polls of one host to 4 a second, about 2 KB/s.
	pollInterval = 250 * time.Millisecond
	pollTimeout  = 200 * time.Millisecond
	// rowsInterval is how long the rows of a snapshot are reused: a snapshot for
	// each poll took 1.6% of a core at 3,700 upstreams.
	rowsInterval = 2 * time.Second
)

// Config configures a Poller. All fields are required.
type Config struct {
	Client      *http.Client
	Table       *upstream.Table
	EnginePools func() map[document.PoolRef]bool // returns the pools whose upstreams publish cache events
}

type instance struct {
	upstream    ident.UpstreamID
	incarnation ident.Incarnation
}

// Poller polls the reports of upstreams in turn. It is not safe for concurrent use.
type Poller struct {
	cfg       Config
	lastTurn  map[instance]uint64 // turn in which the upstream was polled last
	lastEvent map[instance]uint64 // sequence number of the last cache event applied
	turn      uint64
	rows      []upstream.Status // as of readAt
	readAt    time.Time
}

// New returns a poller; Run starts it.
func New(cfg Config) *Poller {
	return &Poller{
		cfg:       cfg,
		lastTurn:  make(map[instance]uint64),
		lastEvent: make(map[instance]uint64),
	}
}

// Run polls until ctx is done.
func (p *Poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.poll(ctx)
		}
	}
}

// poll reads the reports of the least recently polled upstream.
func (p *Poller) poll(ctx context.Context) {
	if now := time.Now(); now.Sub(p.readAt) >= rowsInterval {
		p.rows = p.cfg.Table.Snapshot().Rows
		p.readAt = now
	}
	next, found := p.leastRecent(p.rows)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	member := next.Member
	inst := instanceOf(next)
	p.turn++
	p.lastTurn[inst] = p.turn
	load, err := Load(ctx, p.cfg.Client, member.Address)
	if err != nil {
		return // retried in the next turn; whether the upstream is down shows in failed attempts
	}
	p.cfg.Table.RecordLoad(member.Upstream, member.Incarnation, load)
	if p.cfg.EnginePools()[member.Pool] {
		p.readCache(ctx, inst, member)
	}
}

func (p *Poller) readCache(ctx context.Context, inst instance, member upstream.Member) {
	events, err := CacheEvents(ctx, p.cfg.Client, member.Address, p.lastEvent[inst])
	if err != nil {
		return
	}
	for _, event := range events {
		p.lastEvent[inst] = max(p.lastEvent[inst], event.Sequence)
	}
	p.cfg.Table.ApplyCacheEvents(member.Upstream, member.Incarnation, events)
}

// leastRecent returns the least recently polled row of this host's subset that is
// neither leaving nor gone, and deletes the state of upstreams without such a row.
func (p *Poller) leastRecent(rows []upstream.Status) (upstream.Status, bool) {
	var next upstream.Status
	found := false
	eligible := make(map[instance]bool, len(rows))
	for _, row := range rows {
		if !row.Used || row.State == upstream.StateLeaving || row.State == upstream.StateGone {
			continue
		}
		inst := instanceOf(row)
		eligible[inst] = true
		if !found || p.lastTurn[inst] < p.lastTurn[instanceOf(next)] {
			next = row
			found = true
		}
	}
	for inst := range p.lastTurn {
		if !eligible[inst] {
			delete(p.lastTurn, inst)
			delete(p.lastEvent, inst)
		}
	}
	return next, found
}

func instanceOf(row upstream.Status) instance {
	return instance{
		upstream:    row.Member.Upstream,
		incarnation: row.Member.Incarnation,
	}
}
