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
	// SuspicionTime is the time that a suspect has to refute the suspicion before it
	// is down.
	SuspicionTime = 3 * time.Second
	// ownProbeDelay is the time after which a host probes a suspect that it knows
	// from a rumour only. It does so before the suspect is down, because the
	// refutation may not have reached it.
	ownProbeDelay = SuspicionTime / 2
	// leavingTimeout exceeds the shutdown timeout of a leaving host, which is 30 s.
	leavingTimeout = time.Minute
	// downProbePeriod is how long a down host is probed that is not in the host
	// list, because the list lags. Listed hosts are probed without a limit.
	downProbePeriod = 10 * time.Minute
	// downRetention exceeds the length of a partition between regions, which is
	// about an hour.
	downRetention = 2 * time.Hour
	// maxHosts bounds the table against damaged messages.
	maxHosts = 4096
)

// entry is a row with data that only this host has about it.
type entry struct {
	row           Row
	hash          uint64    // of the host's id
	stateSince    time.Time // when the host entered its state
	listed        bool      // in the latest host list
	failures      int       // consecutive failed exchanges while alive
	suspectedHere bool      // suspected because of failed exchanges of this host
}

// Table holds the rows of all known entry hosts, including this one. It is safe for
// concurrent use.
type Table struct {
	self ident.HostID

	mu     sync.Mutex
	rows   map[ident.HostID]*entry
	order  []*entry // the values of rows in order of Host
	live   int      // number of live rows
	digest uint64   // XOR of the hashes of the live rows
	view   *View    // nil after a change
}

// NewTable returns a table that contains only self, the row of this host, as alive.
func NewTable(self Row) *Table {
	self.State = Alive
	t := &Table{
		self: self.Host,
		rows: make(map[ident.HostID]*entry),
	}
	t.add(time.Time{}, self)
	return t
}

// Snapshot returns a View of the current rows.
func (t *Table) Snapshot() *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshot()
}

// Merge adds the hosts of a host list. The list lags, so it never marks a known host
// as down or live: it adds unknown hosts, and marks a host as leaving only if the
// incarnation in the list is at least the known one.
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
			t.applyLeaving(now, row.Host, row.Incarnation)
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

// add inserts a row or replaces that of an earlier incarnation. Of two hosts at one
// address, the earlier process is down. It returns false if the table is full or if
// the added host is down.
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
				t.setState(now, other, Down)
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
	t.setState(now, known, state)
	return state != Down
}

// setState moves a host to a state that starts at the time now.
func (t *Table) setState(now time.Time, e *entry, state State) {
	wasLive := e.row.Live()
	e.row.State = state
	if isLive := e.row.Live(); isLive != wasLive {
		t.digest ^= e.hash
		if isLive {
			t.live++
		} else {
			t.live--
		}
	}
	e.stateSince = now
	e.suspectedHere = false
	t.view = nil
}

// applyAlive applies the claim that a host runs, and reports whether it is new.
func (t *Table) applyAlive(now time.Time, row Row) bool {
	if e, ok := t.rows[row.Host]; ok && row.Incarnation <= e.row.Incarnation {
		return false
	}
	row.State = Alive
	return t.add(now, row)
}

// applySuspected applies the claim that a host does not respond, and reports whether
// it is new.
func (t *Table) applySuspected(now time.Time, host ident.HostID, incarnation ident.Incarnation) bool {
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
	t.setState(now, e, Suspect)
	return true
}

// applyLeaving applies the claim that a host is about to stop, and reports whether
// it is new.
func (t *Table) applyLeaving(now time.Time, host ident.HostID, incarnation ident.Incarnation) bool {
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
	t.setState(now, e, Leaving)
	return true
}

// expire marks suspect and leaving hosts as down after their timeout, and removes
// unlisted hosts that have been down for downRetention.
func (t *Table) expire(now time.Time) {
	removed := false
	for _, e := range t.order {
		if e.row.Host == t.self {
			continue
		}
		age := now.Sub(e.stateSince)
		switch e.row.State {
		case Alive:
		case Suspect:
			if age >= SuspicionTime {
				t.setState(now, e, Down)
			}
		case Leaving:
			if age >= leavingTimeout {
				t.setState(now, e, Down)
			}
		case Down:
			if age >= downRetention && !e.listed {
				delete(t.rows, e.row.Host)
				removed = true
			}
		}
	}
	if removed {
		t.order = slices.DeleteFunc(t.order, func(e *entry) bool {
			return t.rows[e.row.Host] == nil
		})
		t.view = nil
	}
}

// probes returns the hosts to contact in order to confirm a failure, to let a
// suspect refute the suspicion, and to find a down host that runs again.
func (t *Table) probes(now time.Time) (confirm, suspects, down []Row) {
	for _, e := range t.order {
		switch {
		case e.row.Host == t.self || e.row.Address == "":
		case e.row.State == Alive && e.failures > 0:
			confirm = append(confirm, e.row)
		case e.row.State == Suspect && (e.suspectedHere || now.Sub(e.stateSince) >= ownProbeDelay):
			suspects = append(suspects, e.row)
		case e.row.State == Down && (e.listed || now.Sub(e.stateSince) < downProbePeriod):
			down = append(down, e.row)
		}
	}
	return confirm, suspects, down
}
