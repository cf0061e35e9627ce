package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// limit is how many upstreams a request may crash.
	limit = 3
	// memory is how long strikes count after the last one. It is longer than
	// hosts remember each other's reports, so that a new count is not taken for
	// an old one.
	memory = 15 * time.Minute
	// maxRows bounds the table; the oldest strikes give way.
	maxRows = 4096
)

// Fingerprint names requests that ask for the same, whatever their ids.
type Fingerprint [16]byte

// New returns the fingerprint of a request of an organisation.
func New(organisation ident.OrganisationID, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(organisation), []byte(target), body} {
		// The length keeps ("a", "bc") and ("ab", "c") apart.
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write(part)
	}
	var fingerprint Fingerprint
	copy(fingerprint[:], hash.Sum(nil))
	return fingerprint
}

// row is what is known of a fingerprint.
type row struct {
	strikes int
	last    time.Time
}

// Table counts strikes.
type Table struct {
	now func() time.Time

	mu   sync.Mutex
	rows map[Fingerprint]row
}

// NewTable returns a table without strikes.
func NewTable(now func() time.Time) *Table {
	return &Table{
		now:  now,
		rows: make(map[Fingerprint]row),
	}
}

// Strike counts a crash and returns the number of strikes.
func (t *Table) Strike(fingerprint Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.set(fingerprint, t.strikes(fingerprint)+1)
}

// Learn takes the number of strikes that another host knows.
func (t *Table) Learn(fingerprint Fingerprint, strikes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if strikes > t.strikes(fingerprint) {
		t.set(fingerprint, strikes)
	}
}

// Empty reports whether no request has a strike, so that none needs a fingerprint.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows) == 0
}

// Blocked reports whether a request has crashed too many upstreams.
func (t *Table) Blocked(fingerprint Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.strikes(fingerprint) >= limit
}

func (t *Table) strikes(fingerprint Fingerprint) int {
	held, ok := t.rows[fingerprint]
	if !ok || t.now().Sub(held.last) > memory {
		return 0
	}
	return held.strikes
}

func (t *Table) set(fingerprint Fingerprint, strikes int) int {
	if len(t.rows) >= maxRows {
		t.forget()
	}
	t.rows[fingerprint] = row{
		strikes: strikes,
		last:    t.now(),
	}
	return strikes
}

// forget drops the strikes that no longer count, or else the oldest ones.
func (t *Table) forget() {
	var oldest Fingerprint
	first := true
	for fingerprint, held := range t.rows {
		if t.now().Sub(held.last) > memory {
			delete(t.rows, fingerprint)
			continue
		}
		if first || held.last.Before(t.rows[oldest].last) {
			oldest, first = fingerprint, false
		}
	}
	if len(t.rows) >= maxRows {
		delete(t.rows, oldest)
	}
}
