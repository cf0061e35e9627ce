package routes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Holder stores the table in force; it is safe for concurrent use. The zero value has no
// table.
type Holder struct {
	table     atomic.Pointer[Table]
	organised atomic.Bool // an earlier table had organisations

	firstOnce sync.Once
	first     chan struct{} // closed once there is a table; made by hasTable
}

// Table returns the table in force, or nil before the first one.
func (h *Holder) Table() *Table {
	return h.table.Load()
}

// Await returns the table in force. Before the first one it waits for it, up to the given
// time or until ctx ends, and returns nil if there is none by then.
func (h *Holder) Await(ctx context.Context, limit time.Duration) *Table {
	if table := h.Table(); table != nil {
		return table
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-h.hasTable():
	case <-timer.C:
	case <-ctx.Done():
	}
	return h.Table()
}

// hasTable returns a channel that is closed once there is a table.
func (h *Holder) hasTable() chan struct{} {
	h.firstOnce.Do(func() { h.first = make(chan struct{}) })
	return h.first
}

// Offer replaces the table in force if the given table is newer, and reports whether it
// did.
func (h *Holder) Offer(table *Table) bool {
	if len(table.organisations) > 0 {
		h.organised.Store(true)
	}
	for {
		current := h.table.Load()
		if current != nil && current.Version >= table.Version {
			return false
		}
		if !h.table.CompareAndSwap(current, table) {
			continue
		}
		if current == nil {
			close(h.hasTable())
		}
		return true
	}
}

// RecordOrganised records that a table, which this host may not have seen, had
// organisations.
func (h *Holder) RecordOrganised() {
	h.organised.Store(true)
}

// Organised reports whether any table so far had organisations.
func (h *Holder) Organised() bool {
	return h.organised.Load()
}

// RequiresKey reports whether requests to routes of the table that are not public need a
// key. They do if the table has organisations, even if none of these has a key left. They
// also do if its list is empty and an earlier table had organisations: an operator who
// removes the last organisation revokes its keys, and does not open the service to
// everybody.
func (h *Holder) RequiresKey(table *Table) bool {
	return len(table.organisations) > 0 || table.organisations != nil && h.Organised()
}
