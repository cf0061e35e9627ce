package quarantine

import (
	"slices"
	"sync"
	"time"
)

// Rumour is what hosts tell each other about a fingerprint.
type Rumour struct {
	Fingerprint Fingerprint
	Crash       Crash // a strike, unless Cleared is set
	Time        time.Time
	Cleared     []Crash // the request has succeeded since these
}

// row is what a host knows of a fingerprint.
type row struct {
	strikes []strike
	// Crashes that no longer count, with the time of the news. Their rumours may
	// still arrive; times of different hosts cannot be compared to tell.
	cleared map[Crash]time.Time
}

// Table is a host's view of all suspects.
type Table struct {
	now   func() time.Time
	mu    sync.Mutex
	rows  map[Fingerprint]row
	swept time.Time
}

func newTable(now func() time.Time) *Table {
	return &Table{
		now:  now,
		rows: make(map[Fingerprint]row),
	}
}

// Check returns what this host may do with a request.
func (t *Table) Check(fingerprint Fingerprint) Verdict {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return record{
		Strikes: t.rows[fingerprint].strikes,
	}.at(now).verdict()
}

// Observe merges a rumour; order and repetition do not matter.
func (t *Table) Observe(rumour Rumour) {
	if len(rumour.Cleared) > 0 {
		t.clear(rumour.Fingerprint, rumour.Cleared)
		return
	}
	t.learn(rumour.Fingerprint, []strike{{
		Crash: rumour.Crash,
		Time:  rumour.Time,
	}})
}

// learn adds strikes that have not been cleared.
func (t *Table) learn(fingerprint Fingerprint, strikes []strike) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	held := t.rows[fingerprint]
	known := record{
		Strikes: held.strikes,
	}
	for _, made := range strikes {
		if _, ok := held.cleared[made.Crash]; !ok {
			known = known.with(made)
		}
	}
	held.strikes = known.Strikes
	if len(held.strikes) > 0 || len(held.cleared) > 0 {
		t.rows[fingerprint] = held
	}
}

// clear removes strikes, and those of trials that had no answer.
func (t *Table) clear(fingerprint Fingerprint, crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	held := t.rows[fingerprint]
	if held.cleared == nil {
		held.cleared = make(map[Crash]time.Time)
	}
	for _, crash := range crashes {
		held.cleared[crash] = t.now()
	}
	held.strikes = slices.DeleteFunc(slices.Clone(held.strikes), func(made strike) bool {
		_, ok := held.cleared[made.Crash]
		return ok || made.Attempt != ""
	})
	t.rows[fingerprint] = held
}

// strikes returns the strikes that this host knows.
func (t *Table) strikes(fingerprint Fingerprint) []strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.rows[fingerprint].strikes)
}

// sweep drops what no longer counts, at most once a minute.
func (t *Table) sweep() {
	now := t.now()
	if now.Sub(t.swept) < time.Minute {
		return
	}
	t.swept = now
	for fingerprint, held := range t.rows {
		held.strikes = record{
			Strikes: held.strikes,
		}.at(now).Strikes
		for crash, at := range held.cleared {
			if now.Sub(at) >= BlockPeriod {
				delete(held.cleared, crash)
			}
		}
		if len(held.strikes) == 0 && len(held.cleared) == 0 {
			delete(t.rows, fingerprint)
			continue
		}
		t.rows[fingerprint] = held
	}
}
