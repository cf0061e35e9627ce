package memkv

import (
	"maps"
	"slices"

	"github.com/nutmegshift/nutmegshift/kv"
)

// Backup is a copy of the entries and leases of a store.
type Backup struct {
	version kv.Version
	entries map[kv.Key]kv.Entry
	leases  map[kv.LeaseID]lease
}

// Backup returns a copy of the entries and leases.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{
		version: s.version,
		entries: maps.Clone(s.entries),
		leases:  maps.Clone(s.leases),
	}
}

// Restore replaces all entries and leases by those of a backup of this store, and begins
// the next epoch. Versions continue from the backup, so they are given out again.
func (s *Store) Restore(backup *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = backup.version
	s.entries = maps.Clone(backup.entries)
	s.leases = maps.Clone(backup.leases)
	s.changes = slices.DeleteFunc(s.changes, func(c change) bool { return c.version > backup.version })
	s.compacted = min(s.compacted, backup.version)
	s.epoch++
	s.wakeWatches()
}

// Epoch returns the number of times that the store has been restored.
func (s *Store) Epoch() kv.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}
