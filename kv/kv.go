package kv

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Errors that every Store returns, possibly annotated.
const (
	ErrNotFound    = errors.ConstError("key not found")
	ErrConflict    = errors.ConstError("version conflict")
	ErrUnavailable = errors.ConstError("store unavailable, call had no effect")
	ErrUncertain   = errors.ConstError("store did not answer, write may have taken effect")
	ErrLeaseLost   = errors.ConstError("lease lost")
	ErrTooLarge    = errors.ConstError("value too large")
	ErrCompacted   = errors.ConstError("watch cursor too old")
)

// Key names an entry; "/" separates its parts.
type Key string

// Version is the store-wide number of the write that made an entry.
type Version uint64

// Cursor is the store-wide number up to which a reader has seen all writes.
type Cursor uint64

// LeaseID names a lease; 0 is none.
type LeaseID uint64

// Entry is a stored value.
type Entry struct {
	Key     Key
	Value   []byte
	Version Version
	Lease   LeaseID
}

// Page is a part of a listing in key order.
type Page struct {
	Entries []Entry
	Cursor  Cursor // watch from here to see all later changes
	More    bool
}

// Put describes a write.
type Put struct {
	Key    Key
	Value  []byte
	Expect Version // version that the key must have; 0 means absent
	Lease  LeaseID // the entry is deleted with this lease; 0 is none
}

// Change is one write or deletion seen by a watch.
type Change struct {
	Entry   Entry
	Deleted bool
}

// Changes is what one watch call returns; Changes may be empty at the server's time limit.
type Changes struct {
	Changes []Change
	Cursor  Cursor
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry at key or ErrNotFound.
	Get(ctx context.Context, key Key) (Entry, error)
	// List returns up to limit entries under prefix whose keys follow after.
	List(ctx context.Context, prefix, after Key, limit int) (Page, error)
	// Put writes if the key has the expected version, else returns ErrConflict.
	Put(ctx context.Context, put Put) (Version, error)
	// Delete removes the key if it has the expected version, else returns ErrConflict.
	Delete(ctx context.Context, key Key, expect Version) error
	// Watch waits for changes under prefix after the cursor.
	Watch(ctx context.Context, prefix Key, after Cursor) (Changes, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl or returns ErrLeaseLost.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its entries.
	Revoke(ctx context.Context, lease LeaseID) error
}
