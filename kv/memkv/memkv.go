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
	watchLimit  = 30 * time.Second // a watch call returns empty after this time
	keptChanges = 16_384           // older cursors get kv.ErrCompacted
)

// Faults are the faults that a store injects into its calls.
type Faults struct {
	Down       bool          // every call fails without effect
	Delay      time.Duration // added to every call
	LoseAnswer int           // this many next writes take effect but return kv.ErrUncertain
	DropWatch  bool          // watches fail at once
	LapseLease bool          // every lease ends at its next use
}

// Counts are the calls that a store has served.
type Counts struct {
	Reads   int
	Writes  int
	Watches int // waiting now
}

type lease struct {
	ttl time.Duration
	end time.Time
}

type change struct {
	version kv.Version
	change  kv.Change
}

// Store is an in-memory kv.Store.
type Store struct {
	now     func() time.Time
	mu      sync.Mutex
	faults  Faults
	counts  Counts
	version kv.Version
	leaseID kv.LeaseID
	rows    map[kv.Key]kv.Entry
	leases  map[kv.LeaseID]lease
	changes []change
	// compacted is the last version whose change is forgotten.
	compacted kv.Version
	changed   chan struct{} // closed and replaced at each write
}

// New returns an empty store whose leases follow the clock now.
func New(now func() time.Time) *Store {
	return &Store{
		now:     now,
		rows:    make(map[kv.Key]kv.Entry),
		leases:  make(map[kv.LeaseID]lease),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// Counts returns the calls served so far.
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
	entry, ok := s.rows[key]
	if !ok {
		return kv.Entry{}, errors.Annotatef(kv.ErrNotFound, "get %q", key)
	}
	return cloned(entry), nil
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
	for key := range s.rows {
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
		page.Entries = append(page.Entries, cloned(s.rows[kv.Key(key)]))
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
	if s.rows[put.Key].Version != put.Expect {
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
	s.rows[put.Key] = entry
	s.publish(entry, false)
	return entry.Version, s.answer()
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key kv.Key, expect kv.Version) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	entry, ok := s.rows[key]
	if !ok {
		return errors.Annotatef(kv.ErrNotFound, "delete %q", key)
	}
	if entry.Version != expect {
		return errors.Annotatef(kv.ErrConflict, "delete %q", key)
	}
	s.remove(entry)
	return s.answer()
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix kv.Key, after kv.Cursor) (kv.Changes, error) {
	return s.WatchFor(ctx, prefix, after, watchLimit)
}

// WatchFor is Watch with the time after which the call returns empty.
func (s *Store) WatchFor(ctx context.Context, prefix kv.Key, after kv.Cursor, limit time.Duration) (kv.Changes, error) {
	if err := s.begin(ctx, false); err != nil {
		return kv.Changes{}, err
	}
	s.counts.Watches++
	defer func() {
		s.counts.Watches--
		s.mu.Unlock()
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		if s.faults.Down || s.faults.DropWatch {
			return kv.Changes{}, errors.Annotatef(kv.ErrUnavailable, "watch %q", prefix)
		}
		found, err := s.since(prefix, after)
		if err != nil || len(found.Changes) > 0 {
			return found, err
		}
		changed := s.changed
		s.mu.Unlock()
		var ended error
		select {
		case <-changed:
		case <-timer.C:
			s.mu.Lock()
			return found, nil
		case <-ctx.Done():
			ended = errors.Annotatef(kv.ErrUnavailable, "watch %q: %v", prefix, ctx.Err())
		}
		s.mu.Lock()
		if ended != nil {
			return kv.Changes{}, ended
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
		ttl: ttl,
		end: s.now().Add(ttl),
	}
	return s.leaseID, s.answer()
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
	held.end = s.now().Add(held.ttl)
	s.leases[id] = held
	return s.answer()
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
	s.end(id)
	return s.answer()
}

// Expire ends the leases whose time is over, so that watchers see it without a further call.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

// Compact forgets all changes so far; watches from an earlier cursor get kv.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.compacted = s.version
	s.wake()
}

// begin applies the faults and counts the call; it returns with s.mu held unless it fails.
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

func (s *Store) answer() error {
	if s.faults.LoseAnswer == 0 {
		return nil
	}
	s.faults.LoseAnswer--
	return errors.Annotate(kv.ErrUncertain, "answer lost")
}

func (s *Store) expire() {
	now := s.now()
	for id, held := range s.leases {
		if s.faults.LapseLease || !now.Before(held.end) {
			s.end(id)
		}
	}
}

func (s *Store) end(id kv.LeaseID) {
	delete(s.leases, id)
	for _, entry := range s.rows {
		if entry.Lease == id {
			s.remove(entry)
		}
	}
}

func (s *Store) remove(entry kv.Entry) {
	delete(s.rows, entry.Key)
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
	if len(s.changes) > keptChanges {
		s.changes = append([]change(nil), s.changes[len(s.changes)-keptChanges/2:]...)
		s.compacted = s.changes[0].version - 1
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) since(prefix kv.Key, after kv.Cursor) (kv.Changes, error) {
	if kv.Version(after) < s.compacted {
		return kv.Changes{}, errors.Annotatef(kv.ErrCompacted, "watch %q", prefix)
	}
	found := kv.Changes{
		Cursor: kv.Cursor(s.version),
	}
	first := sort.Search(len(s.changes), func(i int) bool {
		return s.changes[i].version > kv.Version(after)
	})
	for _, made := range s.changes[first:] {
		if strings.HasPrefix(string(made.change.Entry.Key), string(prefix)) {
			found.Changes = append(found.Changes, kv.Change{
				Entry:   cloned(made.change.Entry),
				Deleted: made.change.Deleted,
			})
		}
	}
	return found, nil
}

func cloned(entry kv.Entry) kv.Entry {
	entry.Value = bytes.Clone(entry.Value)
	return entry
}
