package memkv

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	watchTimeout = 30 * time.Second // a watch without changes returns after this time
	maxChanges   = 16_384           // retained for watches; an older cursor gets kv.ErrCompacted
)

// Faults are the faults that a store injects into its calls.
type Faults struct {
	Down         bool          // every call fails without effect
	Delay        time.Duration // added to every call
	LoseResponse int           // number of next writes that take effect but return kv.ErrUncertain
	DropWatch    bool          // waiting and new watches fail with kv.ErrUnavailable
	ExpireLease  bool          // all leases expire at the next call
}

// Counts are the numbers of calls that a store has served. Calls that fail at
// their start, because of Faults.Down or an ended context, are not counted.
type Counts struct {
	Reads   int // Get, List and Watch
	Writes  int // Put, Delete, Grant, Renew and Revoke
	Watches int // waiting now
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type change struct {
	version kv.Version
	change  kv.Change
}

// Store is an in-memory kv.Store. It is safe for concurrent use.
type Store struct {
	now     func() time.Time
	mu      sync.Mutex
	faults  Faults
	counts  Counts
	version kv.Version // of the last write or deletion
	epoch   kv.Epoch   // number of times that the store has been restored
	leaseID kv.LeaseID // of the last granted lease
	entries map[kv.Key]kv.Entry
	leases  map[kv.LeaseID]lease
	changes []change // in the order of their versions
	// compacted is the last version whose change is no longer held.
	compacted kv.Version
	changed   chan struct{} // closed and replaced when waiting watches must look again
}

// New returns an empty store whose leases expire by the clock now.
func New(now func() time.Time) *Store {
	return &Store{
		now:     now,
		entries: make(map[kv.Key]kv.Entry),
		leases:  make(map[kv.LeaseID]lease),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wakeWatches()
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key kv.Key) (kv.Entry, error) {
	if err := s.begin(ctx, false); err != nil {
		return kv.Entry{}, err
	}
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, errors.Annotatef(kv.ErrNotFound, "get %q", key)
	}
	return cloneEntry(entry), nil
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix, after kv.Key, limit int) (kv.Page, error) {
	if err := s.begin(ctx, false); err != nil {
		return kv.Page{}, err
	}
	defer s.mu.Unlock()
	page := kv.Page{
		Cursor: kv.Cursor(s.version),
	}
	keys := make([]string, 0)
	for key := range s.entries {
		if strings.HasPrefix(string(key), string(prefix)) && key > after {
			keys = append(keys, string(key))
		}
	}
	sort.Strings(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
		page.More = true
	}
	for _, key := range keys {
		page.Entries = append(page.Entries, cloneEntry(s.entries[kv.Key(key)]))
	}
	return page, nil
}

// Put implements kv.Store.
func (s *Store) Put(ctx context.Context, put kv.Put) (kv.Version, error) {
	if len(put.Value) > kv.MaxValueBytes {
		return 0, errors.Annotatef(kv.ErrTooLarge, "put %q", put.Key)
	}
	if err := s.begin(ctx, true); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if s.entries[put.Key].Version != put.Expect {
		return 0, errors.Annotatef(kv.ErrConflict, "put %q", put.Key)
	}
	if put.Lease != 0 {
		if _, ok := s.leases[put.Lease]; !ok {
			return 0, errors.Annotatef(kv.ErrLeaseLost, "put %q", put.Key)
		}
	}
	s.version++
	entry := kv.Entry{
		Key:     put.Key,
		Value:   bytes.Clone(put.Value),
		Version: s.version,
		Lease:   put.Lease,
	}
	s.entries[put.Key] = entry
	s.publish(entry, false)
	return entry.Version, s.injectLoss()
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key kv.Key, expect kv.Version) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return errors.Annotatef(kv.ErrNotFound, "delete %q", key)
	}
	if entry.Version != expect {
		return errors.Annotatef(kv.ErrConflict, "delete %q", key)
	}
	s.removeEntry(entry)
	return s.injectLoss()
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix kv.Key, after kv.Cursor) (kv.Changes, error) {
	return s.WatchFor(ctx, prefix, after, watchTimeout)
}

// WatchFor is Watch with a timeout, after which it returns without changes and without an error.
func (s *Store) WatchFor(ctx context.Context, prefix kv.Key, after kv.Cursor, timeout time.Duration) (kv.Changes, error) {
	if err := s.begin(ctx, false); err != nil {
		return kv.Changes{}, err
	}
	s.counts.Watches++
	defer func() {
		s.counts.Watches--
		s.mu.Unlock()
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		if s.faults.Down || s.faults.DropWatch {
			return kv.Changes{}, errors.Annotatef(kv.ErrUnavailable, "watch %q", prefix)
		}
		found, err := s.changesSince(prefix, after)
		if err != nil || len(found.Changes) > 0 {
			return found, err
		}
		changed := s.changed
		s.mu.Unlock()
		var ctxErr error
		select {
		case <-changed:
		case <-timer.C:
			s.mu.Lock()
			return found, nil
		case <-ctx.Done():
			ctxErr = errors.Annotatef(kv.ErrUnavailable, "watch %q: %v", prefix, ctx.Err())
		}
		s.mu.Lock()
		if ctxErr != nil {
			return kv.Changes{}, ctxErr
		}
	}
}

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.begin(ctx, true); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.leaseID++
	s.leases[s.leaseID] = lease{
		ttl:     ttl,
		expires: s.now().Add(ttl),
	}
	return s.leaseID, s.injectLoss()
}

// Renew implements kv.Store.
func (s *Store) Renew(ctx context.Context, id kv.LeaseID) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	held, ok := s.leases[id]
	if !ok {
		return errors.Annotatef(kv.ErrLeaseLost, "renew lease %d", id)
	}
	held.expires = s.now().Add(held.ttl)
	s.leases[id] = held
	return s.injectLoss()
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return errors.Annotatef(kv.ErrLeaseLost, "revoke lease %d", id)
	}
	s.removeLease(id)
	return s.injectLoss()
}

// Expire deletes the entries of expired leases. The store otherwise does so only
// at the start of a call; Expire lets waiting watches see it without one.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

// Compact discards all changes so far; watches from an earlier cursor get kv.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.compacted = s.version
	s.wakeWatches()
}

// begin applies the faults, counts the call and removes expired leases. It
// returns with s.mu held unless it fails.
func (s *Store) begin(ctx context.Context, write bool) error {
	s.mu.Lock()
	delay := s.faults.Delay
	if delay > 0 {
		s.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return errors.Annotate(kv.ErrUnavailable, ctx.Err().Error())
		}
		s.mu.Lock()
	}
	if s.faults.Down || ctx.Err() != nil {
		s.mu.Unlock()
		return errors.Annotate(kv.ErrUnavailable, "store is down")
	}
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	s.expire()
	return nil
}

// injectLoss returns the error of a write that has taken effect: kv.ErrUncertain
// if the faults call for a lost response, else nil.
func (s *Store) injectLoss() error {
	if s.faults.LoseResponse == 0 {
		return nil
	}
	s.faults.LoseResponse--
	return errors.Annotate(kv.ErrUncertain, "response lost")
}

func (s *Store) expire() {
	now := s.now()
	for id, held := range s.leases {
		if s.faults.ExpireLease || !now.Before(held.expires) {
			s.removeLease(id)
		}
	}
}

func (s *Store) removeLease(id kv.LeaseID) {
	delete(s.leases, id)
	for _, entry := range s.entries {
		if entry.Lease == id {
			s.removeEntry(entry)
		}
	}
}

func (s *Store) removeEntry(entry kv.Entry) {
	delete(s.entries, entry.Key)
	s.version++
	entry.Version = s.version
	s.publish(entry, true)
}

func (s *Store) publish(entry kv.Entry, deleted bool) {
	s.changes = append(s.changes, change{
		version: s.version,
		change: kv.Change{
			Entry:   entry,
			Deleted: deleted,
		},
	})
	if len(s.changes) > maxChanges {
		s.changes = append([]change(nil), s.changes[len(s.changes)-maxChanges/2:]...)
		s.compacted = s.changes[0].version - 1
	}
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) changesSince(prefix kv.Key, after kv.Cursor) (kv.Changes, error) {
	if kv.Version(after) < s.compacted || kv.Version(after) > s.version {
		return kv.Changes{}, errors.Annotatef(kv.ErrCompacted, "watch %q", prefix)
	}
	found := kv.Changes{
		Cursor: kv.Cursor(s.version),
	}
	first := sort.Search(len(s.changes), func(i int) bool {
		return s.changes[i].version > kv.Version(after)
	})
	for _, later := range s.changes[first:] {
		if strings.HasPrefix(string(later.change.Entry.Key), string(prefix)) {
			found.Changes = append(found.Changes, kv.Change{
				Entry:   cloneEntry(later.change.Entry),
				Deleted: later.change.Deleted,
			})
		}
	}
	return found, nil
}

func cloneEntry(entry kv.Entry) kv.Entry {
	entry.Value = bytes.Clone(entry.Value)
	return entry
}
