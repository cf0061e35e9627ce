package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// maxCrashes is the number of crashes after which a request is blocked.
	maxCrashes = 3
	// strikeRetention is how long strikes count after the last one. It is longer
	// than hosts keep each other's reports, so that a new count is not taken for
	// an old one.
	strikeRetention = 15 * time.Minute
	// maxEntries bounds the table; the oldest entries are evicted.
	maxEntries = 4096
)

// Fingerprint is a hash that is equal for requests with the same organisation,
// target and body, whatever their ids.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request of an organisation.
func NewFingerprint(organisation ident.OrganisationID, target string, body []byte) Fingerprint {
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

// entry holds the strikes of a fingerprint.
type entry struct {
	strikes int
	last    time.Time
}

// Table counts strikes per fingerprint; it is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[Fingerprint]entry
}

// NewTable returns a table without strikes.
func NewTable(now func() time.Time) *Table {
	return &Table{
		now:     now,
		entries: make(map[Fingerprint]entry),
	}
}

// Strike adds a strike to a fingerprint and returns its number of strikes.
func (t *Table) Strike(fingerprint Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.set(fingerprint, t.strikes(fingerprint)+1)
}

// Merge raises the number of strikes to the number that another host has counted.
func (t *Table) Merge(fingerprint Fingerprint, strikes int) {
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
	return len(t.entries) == 0
}

// Blocked reports whether a request has crashed too many upstreams.
func (t *Table) Blocked(fingerprint Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.strikes(fingerprint) >= maxCrashes
}

func (t *Table) strikes(fingerprint Fingerprint) int {
	known, ok := t.entries[fingerprint]
	if !ok || t.now().Sub(known.last) > strikeRetention {
		return 0
	}
	return known.strikes
}

func (t *Table) set(fingerprint Fingerprint, strikes int) int {
	if len(t.entries) >= maxEntries {
		t.evict()
	}
	t.entries[fingerprint] = entry{
		strikes: strikes,
		last:    t.now(),
	}
	return strikes
}

// evict deletes the expired entries, or the oldest entry if none has expired.
func (t *Table) evict() {
	var oldest Fingerprint
	first := true
	for fingerprint, e := range t.entries {
		if t.now().Sub(e.last) > strikeRetention {
			delete(t.entries, fingerprint)
			continue
		}
		if first || e.last.Before(t.entries[oldest].last) {
			oldest, first = fingerprint, false
		}
	}
	if len(t.entries) >= maxEntries {
		delete(t.entries, oldest)
	}
}
