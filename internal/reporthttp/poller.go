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
	// rowsInterval is how long the rows of a snapshot are used: a snapshot for
	// each poll took 1.6% of a core at 3,700 upstreams.
	rowsInterval = 2 * time.Second
)

// Config holds what a Poller needs.
type Config struct {
	Client  *http.Client
	Table   *upstream.Table
	Engines func() map[document.PoolRef]bool // pools that publish cache events
}

type key struct {
	upstream    ident.UpstreamID
	incarnation ident.Incarnation
}

// Poller reads reports in turn.
type Poller struct {
	cfg   Config
	turns map[key]uint64 // turn at which the upstream was polled last
	seen  map[key]uint64 // last cache event applied
	turn  uint64
	rows  []upstream.Status // as of read
	read  time.Time
}

// New returns a poller; Run starts it.
func New(cfg Config) *Poller {
	return &Poller{
		cfg:   cfg,
		turns: make(map[key]uint64),
		seen:  make(map[key]uint64),
	}
}

// Run polls until ctx ends.
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

// poll reads the reports of the upstream whose turn is longest ago.
func (p *Poller) poll(ctx context.Context) {
	if now := time.Now(); now.Sub(p.read) >= rowsInterval {
		p.rows = p.cfg.Table.Snapshot().Rows
		p.read = now
	}
	next, found := p.next(p.rows)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	member := next.Member
	at := keyOf(next)
	p.turn++
	p.turns[at] = p.turn
	load, err := Load(ctx, p.cfg.Client, member.Address)
	if err != nil {
		return // the next turn tries again; failures of attempts tell whether it is down
	}
	p.cfg.Table.RecordLoad(member.Upstream, member.Incarnation, load)
	if p.cfg.Engines()[member.Pool] {
		p.readCache(ctx, at, member)
	}
}

func (p *Poller) readCache(ctx context.Context, at key, member upstream.Member) {
	events, err := CacheEvents(ctx, p.cfg.Client, member.Address, p.seen[at])
	if err != nil {
		return
	}
	for _, event := range events {
		p.seen[at] = max(p.seen[at], event.Sequence)
	}
	p.cfg.Table.ApplyCacheEvents(member.Upstream, member.Incarnation, events)
}

// next returns the used row whose turn is longest ago and forgets rows that are gone.
func (p *Poller) next(rows []upstream.Status) (upstream.Status, bool) {
	var next upstream.Status
	found := false
	present := make(map[key]bool, len(rows))
	for _, row := range rows {
		if !row.Used || row.State == upstream.StateLeaving || row.State == upstream.StateGone {
			continue
		}
		at := keyOf(row)
		present[at] = true
		if !found || p.turns[at] < p.turns[keyOf(next)] {
			next = row
			found = true
		}
	}
	for at := range p.turns {
		if !present[at] {
			delete(p.turns, at)
			delete(p.seen, at)
		}
	}
	return next, found
}

func keyOf(row upstream.Status) key {
	return key{
		upstream:    row.Member.Upstream,
		incarnation: row.Member.Incarnation,
	}
}
