package kv

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Errors that every Store returns, possibly annotated; test for them with errors.Is.
const (
	ErrNotFound    = errors.ConstError("key not found")
	ErrConflict    = errors.ConstError("version conflict")
	ErrUnavailable = errors.ConstError("store unavailable, call had no effect")
	ErrUncertain   = errors.ConstError("store did not answer, write may have taken effect")
	ErrLeaseLost   = errors.ConstError("lease lost") // the lease has expired, was revoked or never existed
	ErrTooLarge    = errors.ConstError("value too large")
	ErrCompacted   = errors.ConstError("watch cursor too old") // the service no longer holds all changes after the cursor
)

// Key names an entry; "/" separates its parts.
type Key string

// Version is the store-wide number of the write that created or last changed an entry. Its
// upper bits are an Epoch.
type Version uint64

// Cursor is the store-wide number up to which a reader has seen all writes. Its upper bits
// are an Epoch.
type Cursor uint64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// Entry is a stored key with its value.
type Entry struct {
	Key     Key
	Value   []byte
	Version Version
	Lease   LeaseID // the entry is deleted with this lease; 0 means no lease
}

// Page is one page of a list in key order.
type Page struct {
	Entries []Entry
	Cursor  Cursor // a watch after this cursor sees every change made since the page was read
	More    bool   // further entries follow; the page has at least one
}

// Put describes a write.
type Put struct {
	Key    Key
	Value  []byte
	Expect Version // version that the key must have; 0 means absent
	Lease  LeaseID // the entry is deleted with this lease; 0 means no lease
}

// Change is one write or deletion seen by a watch.
type Change struct {
	Entry   Entry // its Version is that of the write or deletion
	Deleted bool
}

// Changes is the result of one watch call.
type Changes struct {
	Changes []Change // in the order of their versions; empty if the service's time limit for a watch passed
	Cursor  Cursor   // where the next watch continues
}

// Store is the platform's key-value service. Its methods are safe for
// concurrent use. A call that fails without effect, for example because its
// context ended before it was sent, returns ErrUnavailable. A write whose effect
// is unknown returns ErrUncertain.
type Store interface {
	// Get returns the entry at key or ErrNotFound.
	Get(ctx context.Context, key Key) (Entry, error)
	// List returns up to limit entries whose keys start with prefix and are
	// greater than after. With limit 0 the service chooses the number of entries.
	List(ctx context.Context, prefix, after Key, limit int) (Page, error)
	// Put writes if the key has the expected version, else returns ErrConflict.
	// It returns ErrLeaseLost if the lease does not exist and ErrTooLarge for a
	// value longer than MaxValueBytes.
	Put(ctx context.Context, put Put) (Version, error)
	// Delete removes the key if it has the expected version, else returns
	// ErrConflict, or ErrNotFound if the key does not exist.
	Delete(ctx context.Context, key Key, expect Version) error
	// Watch waits for changes after the cursor of keys that start with prefix.
	// It returns ErrCompacted if the cursor is too old.
	Watch(ctx context.Context, prefix Key, after Cursor) (Changes, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew restarts the ttl of a lease or returns ErrLeaseLost.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its entries, or returns ErrLeaseLost.
	Revoke(ctx context.Context, lease LeaseID) error
}
