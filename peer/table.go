package peer

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// SuspicionTime is how long a suspect may take to refute.
	SuspicionTime = 3 * time.Second
	// A host that has only heard of a suspicion asks the suspect itself before it
	// is down, because the refutation may not have reached this host.
	ownProbe = SuspicionTime / 2
	// A leaving host stops within its shutdown timeout of 30 s.
	leavingTime = time.Minute
	// Down hosts are probed for as long as they are listed, or else for this
	// time, because the host list lags.
	probeTime = 10 * time.Minute
	// Rows outlive a partition of regions, which lasts about an hour.
	forgetTime = 2 * time.Hour
	// maxHosts bounds the table against damaged messages.
	maxHosts = 4096
)

// entry is a row with what only this host knows about it.
type entry struct {
	row      Row
	hash     uint64    // of the host's id
	since    time.Time // of the state
	listed   bool      // in the latest host list
	failures int       // consecutive failed exchanges, to be confirmed
	observed bool      // suspected by exchanges of this host
}

// Table holds the rows of all known entry hosts, including this one.
type Table struct {
	self ident.HostID

	mu     sync.Mutex
	rows   map[ident.HostID]*entry
	order  []*entry // the same, in order of Host
	live   int      // rows that are live
	digest uint64   // of the ids of the live rows
	view   *View    // nil after a change
}

// NewTable returns a table with only the host itself.
func NewTable(self Row) *Table {
	self.State = Alive
	t := &Table{
		self: self.Host,
		rows: make(map[ident.HostID]*entry),
	}
	t.add(time.Time{}, self)
	return t
}

// Snapshot returns the current rows.
func (t *Table) Snapshot() *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshot()
}

// Merge adds the hosts of a host list. The list lags, so it never makes a host
// down or live again: it adds unknown hosts, and marks a host as leaving only if
// the list knows at least its incarnation.
func (t *Table) Merge(now time.Time, listed []Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.rows {
		e.listed = false
	}
	for _, row := range listed {
		if row.Host == t.self {
			continue
		}
		if _, ok := t.rows[row.Host]; !ok {
			if row.State != Leaving {
				row.State = Alive
			}
			t.add(now, row)
		} else if row.State == Leaving {
			t.leaving(now, row.Host, row.Incarnation)
		}
		if e, ok := t.rows[row.Host]; ok {
			e.listed = true
		}
	}
}

func (t *Table) snapshot() *View {
	if t.view == nil {
		rows := make([]Row, 0, len(t.order))
		for _, e := range t.order {
			rows = append(rows, e.row)
		}
		t.view = newView(rows)
	}
	return t.view
}

// add inserts or replaces a row of a new incarnation. Of two hosts at one
// address, the earlier process is down.
func (t *Table) add(now time.Time, row Row) bool {
	known, ok := t.rows[row.Host]
	if !ok && len(t.rows) >= maxHosts {
		return false
	}
	if row.Address != "" {
		for _, other := range t.order {
			if other.row.Host == row.Host || other.row.Address != row.Address || other.row.State == Down {
				continue
			}
			if other.row.Incarnation > row.Incarnation {
				row.State = Down
			} else if other.row.Host != t.self {
				t.set(now, other, Down)
			}
		}
	}
	if !ok {
		known = &entry{
			hash: xxhash.Sum64String(string(row.Host)),
		}
		t.rows[row.Host] = known
		i := sort.Search(len(t.order), func(i int) bool {
			return t.order[i].row.Host > row.Host
		})
		t.order = slices.Insert(t.order, i, known)
	}
	state := row.State
	row.State = known.row.State
	known.row = row
	known.failures = 0
	t.set(now, known, state)
	return state != Down
}

func (t *Table) set(now time.Time, e *entry, state State) {
	was := e.row.Live()
	e.row.State = state
	if is := e.row.Live(); is != was {
		t.digest ^= e.hash
		if is {
			t.live++
		} else {
			t.live--
		}
	}
	e.since = now
	e.observed = false
	t.view = nil
}

// alive applies the claim that a host runs, and reports whether it is news.
func (t *Table) alive(now time.Time, row Row) bool {
	if e, ok := t.rows[row.Host]; ok && row.Incarnation <= e.row.Incarnation {
		return false
	}
	row.State = Alive
	return t.add(now, row)
}

func (t *Table) suspected(now time.Time, host ident.HostID, incarnation ident.Incarnation) bool {
	e, ok := t.rows[host]
	if !ok || incarnation < e.row.Incarnation {
		return false
	}
	if e.row.State != Alive && (e.row.State != Down || incarnation == e.row.Incarnation) {
		e.row.Incarnation = incarnation
		t.view = nil
		return false
	}
	e.row.Incarnation = incarnation
	t.set(now, e, Suspect)
	return true
}

func (t *Table) leaving(now time.Time, host ident.HostID, incarnation ident.Incarnation) bool {
	e, ok := t.rows[host]
	if !ok || incarnation < e.row.Incarnation {
		return false
	}
	if e.row.State == Leaving || (e.row.State == Down && incarnation == e.row.Incarnation) {
		e.row.Incarnation = incarnation
		t.view = nil
		return false
	}
	e.row.Incarnation = incarnation
	t.set(now, e, Leaving)
	return true
}

// expire moves rows whose time in a state is over and forgets old ones.
func (t *Table) expire(now time.Time) {
	forgotten := false
	for _, e := range t.order {
		if e.row.Host == t.self {
			continue
		}
		age := now.Sub(e.since)
		switch e.row.State {
		case Alive:
		case Suspect:
			if age >= SuspicionTime {
				t.set(now, e, Down)
			}
		case Leaving:
			if age >= leavingTime {
				t.set(now, e, Down)
			}
		case Down:
			if age >= forgetTime && !e.listed {
				delete(t.rows, e.row.Host)
				forgotten = true
			}
		}
	}
	if forgotten {
		t.order = slices.DeleteFunc(t.order, func(e *entry) bool {
			return t.rows[e.row.Host] == nil
		})
		t.view = nil
	}
}

// probes returns the hosts to contact in order to confirm a failure, to let a
// suspect refute, and to find a down host that runs again.
func (t *Table) probes(now time.Time) (confirm, suspects, down []Row) {
	for _, e := range t.order {
		switch {
		case e.row.Host == t.self || e.row.Address == "":
		case e.row.State == Alive && e.failures > 0:
			confirm = append(confirm, e.row)
		case e.row.State == Suspect && (e.observed || now.Sub(e.since) >= ownProbe):
			suspects = append(suspects, e.row)
		case e.row.State == Down && (e.listed || now.Sub(e.since) < probeTime):
			down = append(down, e.row)
		}
	}
	return confirm, suspects, down
}
