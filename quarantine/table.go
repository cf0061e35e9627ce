package quarantine

import (
	"slices"
	"sync"
	"time"
)

// Rumour is a message between hosts about the strikes of a fingerprint.
type Rumour struct {
	Fingerprint Fingerprint
	Crash       Crash // the crash that caused a strike; ignored if Cleared is set
	Time        time.Time
	Cleared     []Crash // crashes that no longer count, as the request has succeeded since
}

// row is the local state of a fingerprint.
type row struct {
	strikes []strike
	// cleared holds crashes that no longer count, with the time at which this host
	// learned it. Rumours of them may still arrive, and timestamps of different
	// hosts cannot be compared to detect these.
	cleared map[Crash]time.Time
}

// Table is a host's local view of all suspects. It is safe for concurrent use.
type Table struct {
	now       func() time.Time
	mu        sync.Mutex
	rows      map[Fingerprint]row
	lastSweep time.Time
}

func newTable(now func() time.Time) *Table {
	return &Table{
		now:  now,
		rows: make(map[Fingerprint]row),
	}
}

// Check returns whether this host may run the request.
func (t *Table) Check(fingerprint Fingerprint) Verdict {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return record{
		Strikes: t.rows[fingerprint].strikes,
	}.asOf(now).verdict()
}

// Observe merges a rumour. Rumours may arrive in any order and more than once.
func (t *Table) Observe(rumour Rumour) {
	if len(rumour.Cleared) > 0 {
		t.clearStrikes(rumour.Fingerprint, rumour.Cleared)
		return
	}
	t.addStrikes(rumour.Fingerprint, []strike{{
		Crash: rumour.Crash,
		Time:  rumour.Time,
	}})
}

// addStrikes adds strikes that have not been cleared.
func (t *Table) addStrikes(fingerprint Fingerprint, strikes []strike) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	current := t.rows[fingerprint]
	merged := record{
		Strikes: current.strikes,
	}
	for _, s := range strikes {
		if _, ok := current.cleared[s.Crash]; !ok {
			merged = merged.withStrike(s)
		}
	}
	current.strikes = merged.Strikes
	if len(current.strikes) > 0 || len(current.cleared) > 0 {
		t.rows[fingerprint] = current
	}
}

// clearStrikes removes the strikes of the crashes, and all strikes of trials.
func (t *Table) clearStrikes(fingerprint Fingerprint, crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	current := t.rows[fingerprint]
	if current.cleared == nil {
		current.cleared = make(map[Crash]time.Time)
	}
	for _, crash := range crashes {
		current.cleared[crash] = t.now()
	}
	current.strikes = slices.DeleteFunc(slices.Clone(current.strikes), func(s strike) bool {
		_, ok := current.cleared[s.Crash]
		return ok || s.Attempt != ""
	})
	t.rows[fingerprint] = current
}

// strikes returns a copy of the strikes in the table.
func (t *Table) strikes(fingerprint Fingerprint) []strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.rows[fingerprint].strikes)
}

// sweep removes expired strikes and cleared crashes, at most once a minute.
func (t *Table) sweep() {
	now := t.now()
	if now.Sub(t.lastSweep) < time.Minute {
		return
	}
	t.lastSweep = now
	for fingerprint, current := range t.rows {
		current.strikes = record{
			Strikes: current.strikes,
		}.asOf(now).Strikes
		for crash, clearedAt := range current.cleared {
			if now.Sub(clearedAt) >= BlockPeriod {
				delete(current.cleared, crash)
			}
		}
		if len(current.strikes) == 0 && len(current.cleared) == 0 {
			delete(t.rows, fingerprint)
			continue
		}
		t.rows[fingerprint] = current
	}
}
