package discovery

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/kv"
)

// minStandstill is the time between two ticks from which a host has stood still. A busy host is
// late by less.
const minStandstill = time.Second

// standstill is a time in which this host did not run.
type standstill struct {
	from, to time.Time
}

// syncState tells how far a replica is in sync with the store. Its mutex is not held
// while the sink is called, so a goroutine that the sink waits for may use it.
type syncState struct {
	mu        sync.Mutex
	cursor    kv.Cursor
	confirmed time.Time // when the cursor was last known to be the latest
	responded time.Time // when the store last responded to any host, as far as known here, or when the first call failed
	ticked    time.Time // when this host was last seen running; zero if nobody looks
	still     standstill
	epochAt   time.Time // when the cursor came into its epoch
}

func (s *syncState) get() (cursor kv.Cursor, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cursor, s.confirmed
}

// confirm records that the latest cursor of the store was cursor at the given time.
// It reports false, and records nothing, if the replica has not reached that cursor.
func (s *syncState) confirm(cursor kv.Cursor, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cursor > s.cursor {
		return false
	}
	if at.After(s.confirmed) {
		s.confirmed = at
	}
	if at.After(s.responded) {
		s.responded = at
	}
	return true
}

// recordFailure records the time of a failed call if there was no response before.
func (s *syncState) recordFailure(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.responded.IsZero() {
		s.responded = at
	}
}

// has reports whether the replica has reached a cursor.
func (s *syncState) has(cursor kv.Cursor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cursor <= s.cursor
}

func (s *syncState) lastResponse() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responded
}

// recordResponse records a response of the store, and returns the time since the one
// before in which this host has run; 0 for the first response.
func (s *syncState) recordResponse(at time.Time) (silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.responded.IsZero() {
		silence = max(0, at.Sub(s.responded)-s.stoodStill(at))
	}
	if at.After(s.responded) {
		s.responded = at
	}
	return silence
}

// tick records that this host runs at the given time.
func (s *syncState) tick(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.still = s.standstillAt(at)
	s.ticked = at
}

// standstillAt returns the latest standstill of this host, which may last until the given time. The
// caller holds the mutex.
func (s *syncState) standstillAt(at time.Time) standstill {
	if s.ticked.IsZero() || at.Sub(s.ticked) < minStandstill {
		return s.still
	}
	return standstill{
		from: s.ticked,
		to:   at,
	}
}

// stoodStill returns for how long this host has stood still since the last response. The caller
// holds the mutex.
func (s *syncState) stoodStill(at time.Time) time.Duration {
	still := s.standstillAt(at)
	from := still.from
	if s.responded.After(from) {
		from = s.responded
	}
	return max(0, still.to.Sub(from))
}

// advanceTo moves the cursor forward at the given time; it never moves it back.
func (s *syncState) advanceTo(cursor kv.Cursor, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cursor == 0 || kv.EpochOf(cursor) > kv.EpochOf(s.cursor) {
		s.epochAt = at
	}
	s.cursor = max(s.cursor, cursor)
}

// epoch returns the epoch of the cursor and when the cursor came into it; 0 and zero before
// the first listing.
func (s *syncState) epoch() (epoch kv.Epoch, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return kv.EpochOf(s.cursor), s.epochAt
}
