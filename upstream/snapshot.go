package upstream

import (
	"cmp"
	"slices"
	"time"
)

// Status is one row as of a snapshot.
type Status struct {
	Member   Member
	State    State
	Used     bool // in the subset of this host
	InFlight int
	Others   float64 // estimated load of other hosts
	Latency  time.Duration
	Errors   int // consecutive
	Weight   float64
	Prefixes int // known cached prefixes
}

// Snapshot is an immutable view of the table.
type Snapshot struct {
	Rows []Status // by service, pool, upstream and incarnation

	changes uint64
}

// Snapshot returns the rows as of some moment since the last Tick.
func (t *Table) Snapshot() *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.snapshot; s != nil && s.changes == t.changes {
		return s
	}
	now := t.cfg.Now()
	s := &Snapshot{
		Rows:    make([]Status, 0, len(t.rows)),
		changes: t.changes,
	}
	for _, rows := range t.rows {
		for _, r := range rows {
			s.Rows = append(s.Rows, Status{
				Member:   r.member,
				State:    r.state,
				Used:     r.inUse,
				InFlight: r.inFlight,
				Others:   r.foreign(),
				Latency:  time.Duration(r.latency * float64(time.Second)),
				Errors:   r.errors,
				Weight:   r.weight(now),
				Prefixes: len(r.cache.prefixes),
			})
		}
	}
	slices.SortFunc(s.Rows, func(a, b Status) int {
		return cmp.Or(
			cmp.Compare(a.Member.Pool.Service, b.Member.Pool.Service),
			cmp.Compare(a.Member.Pool.Pool, b.Member.Pool.Pool),
			cmp.Compare(a.Member.Upstream, b.Member.Upstream),
			cmp.Compare(a.Member.Incarnation, b.Member.Incarnation),
		)
	})
	t.snapshot = s
	return s
}
