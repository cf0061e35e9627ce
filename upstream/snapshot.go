package upstream

import (
	"cmp"
	"slices"
	"time"
)

// Status describes one row in a Snapshot.
type Status struct {
	Member   Member
	State    State
	Used     bool          // in the subset of this host
	InFlight int           // attempts of this host
	Others   float64       // estimated load of other hosts
	Latency  time.Duration // estimate; 0 if not measured
	Errors   int           // consecutive
	Weight   float64       // share of its normal load; below 1 in slow start
	Prefixes int           // number of prefixes known to be cached
}

// Snapshot is an immutable view of the table.
type Snapshot struct {
	Rows []Status // sorted by service, pool, upstream and incarnation

	tickCount uint64 // Table.tickCount when it was taken
}

// Snapshot returns the rows as of some time since the last Tick; calls between two
// ticks return the same Snapshot, which must not be changed.
func (t *Table) Snapshot() *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.snapshot; s != nil && s.tickCount == t.tickCount {
		return s
	}
	now := t.cfg.Now()
	s := &Snapshot{
		Rows:      make([]Status, 0, len(t.rows)),
		tickCount: t.tickCount,
	}
	for _, rows := range t.rows {
		for _, r := range rows {
			s.Rows = append(s.Rows, Status{
				Member:   r.member,
				State:    r.state,
				Used:     r.inUse,
				InFlight: r.inFlight,
				Others:   r.othersLoad(),
				Latency:  time.Duration(r.latency * float64(time.Second)),
				Errors:   r.errors,
				Weight:   r.slowStartWeight(now),
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
