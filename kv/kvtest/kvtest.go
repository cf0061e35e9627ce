package kvtest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// caseTimeout is the timeout of a case, so that a call that never returns fails the test.
const caseTimeout = 20 * time.Second

// Harness is an empty store under test and the controls of its service.
type Harness struct {
	Store     kv.Store
	SetFaults func(faults memkv.Faults) // replaces the injected faults
	Advance   func(by time.Duration)    // advances the service's clock and expires leases
	Compact   func()                    // makes the service discard all changes so far
}

// Run checks stores against the contract of kv.Store, each case in a subtest with
// a new store from start.
func Run(t *testing.T, start func(t *testing.T) Harness) {
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			check(ctx, qt.New(t), start(t))
		})
	}
	for name, test := range faultCases {
		t.Run("fault "+name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			h := start(t)
			test.check(ctx, qt.New(t), h, func() { h.SetFaults(test.faults) })
		})
	}
}

var cases = map[string]func(context.Context, *qt.C, Harness){
	"values are returned as written":                     roundTrip,
	"concurrent swaps all take effect once":              concurrentSwaps,
	"one of many concurrent creations succeeds":          concurrentCreations,
	"a version is never reused":                          versionsIncrease,
	"a wrong expected version changes nothing":           wrongVersion,
	"a lease deletes its entries when it expires":        leaseExpiry,
	"a revoked lease deletes its entries":                leaseRevoke,
	"a list pages in key order":                          list,
	"a watch sees every change in order":                 watch,
	"a watch from a list's cursor misses nothing":        watchFromList,
	"a waiting watch ends when its context is cancelled": watchCancel,
	"a compacted cursor is rejected":                     compaction,
	"a value above the limit is rejected":                tooLarge,
}

// put writes and fails the test on any error.
func put(ctx context.Context, c *qt.C, h Harness, p kv.Put) kv.Version {
	c.Helper()
	version, err := h.Store.Put(ctx, p)
	c.Assert(err, qt.IsNil)
	return version
}

// Guards against an encoding that changes keys or values.
func roundTrip(ctx context.Context, c *qt.C, h Harness) {
	binary := make([]byte, 256)
	for i := range binary {
		binary[i] = byte(i)
	}
	for key, value := range map[kv.Key][]byte{
		"plain":            []byte("text"),
		"a/b c?d=e&f#g%2F": binary,
		"vélo/轮":           {},
	} {
		version := put(ctx, c, h, kv.Put{
			Key:   key,
			Value: value,
		})
		entry, err := h.Store.Get(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Check(entry.Key, qt.Equals, key)
		c.Check(string(entry.Value), qt.Equals, string(value))
		c.Check(entry.Version, qt.Equals, version)
	}
	_, err := h.Store.Get(ctx, "absent")
	c.Assert(err, qt.ErrorIs, kv.ErrNotFound)
}

// Guards against a lost or repeated update. Writers append their ids to one value
// by compare-and-swap; a writer without a response reads the value to find its id.
func concurrentSwaps(ctx context.Context, c *qt.C, h Harness) {
	const writers, rounds = 6, 10
	errs := make(chan error, writers)
	for w := range writers {
		go func() {
			for round := range rounds {
				if err := appendOnce(ctx, h.Store, fmt.Sprintf("%d.%d", w, round)); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	for range writers {
		c.Check(<-errs, qt.IsNil)
	}
	entry, err := h.Store.Get(ctx, "log")
	c.Assert(err, qt.IsNil)
	ids := strings.Fields(string(entry.Value))
	c.Assert(ids, qt.HasLen, writers*rounds)
	slices.Sort(ids)
	c.Assert(slices.Compact(ids), qt.HasLen, writers*rounds)
}

// appendOnce adds the id to the value at "log" exactly once.
func appendOnce(ctx context.Context, store kv.Store, id string) error {
	for {
		entry, err := store.Get(ctx, "log")
		if err != nil && !isAny(err, kv.ErrNotFound) {
			return err
		}
		if slices.Contains(strings.Fields(string(entry.Value)), id) {
			return nil
		}
		_, err = store.Put(ctx, kv.Put{
			Key:    "log",
			Value:  []byte(string(entry.Value) + " " + id),
			Expect: entry.Version,
		})
		if err == nil {
			return nil
		}
		if !isAny(err, kv.ErrConflict, kv.ErrUncertain) {
			return err
		}
	}
}

// Guards against concurrent creations of a key that more than one caller sees succeed.
func concurrentCreations(ctx context.Context, c *qt.C, h Harness) {
	const creators = 8
	errs := make(chan error, creators)
	for range creators {
		go func() {
			_, err := h.Store.Put(ctx, kv.Put{
				Key: "k",
			})
			errs <- err
		}()
	}
	succeeded := 0
	for range creators {
		if err := <-errs; err == nil {
			succeeded++
		} else {
			c.Check(err, qt.ErrorIs, kv.ErrConflict)
		}
	}
	c.Assert(succeeded, qt.Equals, 1)
}

// Guards against a key created anew that matches the expected version of its
// deleted predecessor.
func versionsIncrease(ctx context.Context, c *qt.C, h Harness) {
	seen := kv.Version(0)
	for range 5 {
		version := put(ctx, c, h, kv.Put{
			Key: "k",
		})
		c.Assert(version > seen, qt.IsTrue)
		if seen > 0 {
			_, err := h.Store.Put(ctx, kv.Put{
				Key:    "k",
				Expect: seen,
			})
			c.Assert(err, qt.ErrorIs, kv.ErrConflict)
		}
		c.Assert(h.Store.Delete(ctx, "k", version), qt.IsNil)
		seen = version
	}
}

// Guards against a write or deletion that ignores the expected version.
func wrongVersion(ctx context.Context, c *qt.C, h Harness) {
	version := put(ctx, c, h, kv.Put{
		Key:   "k",
		Value: []byte("first"),
	})
	for _, expect := range []kv.Version{0, version + 1} {
		_, err := h.Store.Put(ctx, kv.Put{
			Key:    "k",
			Expect: expect,
		})
		c.Check(err, qt.ErrorIs, kv.ErrConflict)
		c.Check(h.Store.Delete(ctx, "k", expect), qt.ErrorIs, kv.ErrConflict)
	}
	_, err := h.Store.Put(ctx, kv.Put{
		Key:    "absent",
		Expect: version,
	})
	c.Check(err, qt.ErrorIs, kv.ErrConflict)
	c.Check(h.Store.Delete(ctx, "absent", version), qt.ErrorIs, kv.ErrNotFound)
	entry, err := h.Store.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(entry.Value), qt.Equals, "first")
	c.Assert(entry.Version, qt.Equals, version)
}

// Guards against an entry that outlives its lease, a renewal that does not extend
// the lease, and a lease that can be used after it expired.
func leaseExpiry(ctx context.Context, c *qt.C, h Harness) {
	lease, err := h.Store.Grant(ctx, 10*time.Second)
	c.Assert(err, qt.IsNil)
	version := put(ctx, c, h, kv.Put{
		Key:   "k",
		Lease: lease,
	})
	h.Advance(9 * time.Second)
	c.Assert(h.Store.Renew(ctx, lease), qt.IsNil)
	h.Advance(9 * time.Second)
	entry, err := h.Store.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(entry.Lease, qt.Equals, lease)

	results := make(chan watchResult, 1)
	go func() { results <- watchOnce(ctx, h.Store, "k", kv.Cursor(version)) }()
	h.Advance(time.Second)
	seen := <-results
	c.Assert(seen.err, qt.IsNil)
	c.Assert(seen.changes.Changes, qt.HasLen, 1)
	c.Assert(seen.changes.Changes[0].Deleted, qt.IsTrue)
	_, err = h.Store.Get(ctx, "k")
	c.Assert(err, qt.ErrorIs, kv.ErrNotFound)
	c.Assert(h.Store.Renew(ctx, lease), qt.ErrorIs, kv.ErrLeaseLost)
	_, err = h.Store.Put(ctx, kv.Put{
		Key:   "k",
		Lease: lease,
	})
	c.Assert(err, qt.ErrorIs, kv.ErrLeaseLost)
}

// Guards against a revocation that leaves entries of its lease or removes those
// of other leases.
func leaseRevoke(ctx context.Context, c *qt.C, h Harness) {
	lease, err := h.Store.Grant(ctx, 10*time.Second)
	c.Assert(err, qt.IsNil)
	other, err := h.Store.Grant(ctx, 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(other, qt.Not(qt.Equals), lease)
	for key, held := range map[kv.Key]kv.LeaseID{"a": lease, "b": lease, "c": other, "d": 0} {
		put(ctx, c, h, kv.Put{
			Key:   key,
			Lease: held,
		})
	}
	c.Assert(h.Store.Revoke(ctx, lease), qt.IsNil)
	page, err := h.Store.List(ctx, "", "", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(keys(page.Entries), qt.DeepEquals, []kv.Key{"c", "d"})
	c.Assert(h.Store.Revoke(ctx, lease), qt.ErrorIs, kv.ErrLeaseLost)
}

// Guards against a page that skips or repeats an entry.
func list(ctx context.Context, c *qt.C, h Harness) {
	for _, key := range []kv.Key{"p/3", "p/1", "q/1", "p/2", "o/9"} {
		put(ctx, c, h, kv.Put{
			Key: key,
		})
	}
	var found []kv.Key
	var sizes []int
	after := kv.Key("")
	for {
		page, err := h.Store.List(ctx, "p/", after, 2)
		c.Assert(err, qt.IsNil)
		found = append(found, keys(page.Entries)...)
		sizes = append(sizes, len(page.Entries))
		if !page.More {
			break
		}
		after = found[len(found)-1]
	}
	c.Assert(found, qt.DeepEquals, []kv.Key{"p/1", "p/2", "p/3"})
	c.Assert(sizes, qt.DeepEquals, []int{2, 1})
}

// Guards against a watch that misses, repeats or reorders changes, or returns
// those of keys without its prefix.
func watch(ctx context.Context, c *qt.C, h Harness) {
	const writers, rounds = 4, 15
	before, err := h.Store.List(ctx, "", "", 0)
	c.Assert(err, qt.IsNil)
	errs := make(chan error, writers)
	for w := range writers {
		go func() { errs <- writeAndDelete(ctx, h.Store, w, rounds) }()
	}
	var seen []kv.Change
	cursor := before.Cursor
	for len(seen) < writers*rounds*2 {
		changes, err := h.Store.Watch(ctx, "p/", cursor)
		c.Assert(err, qt.IsNil)
		seen = append(seen, changes.Changes...)
		cursor = changes.Cursor
	}
	for range writers {
		c.Check(<-errs, qt.IsNil)
	}
	c.Assert(seen, qt.HasLen, writers*rounds*2)
	present := make(map[kv.Key]string)
	written := make(map[kv.Key]int)
	last := kv.Version(0)
	for _, change := range seen {
		key := change.Entry.Key
		c.Assert(strings.HasPrefix(string(key), "p/"), qt.IsTrue)
		c.Assert(change.Entry.Version > last, qt.IsTrue)
		last = change.Entry.Version
		_, exists := present[key]
		c.Assert(change.Deleted, qt.Equals, exists)
		if change.Deleted {
			delete(present, key)
			continue
		}
		c.Assert(string(change.Entry.Value), qt.Equals, fmt.Sprint(written[key]))
		present[key] = string(change.Entry.Value)
		written[key]++
	}
}

// writeAndDelete creates and deletes the writer's key in each round, with a write
// to a key outside the watch in between.
func writeAndDelete(ctx context.Context, store kv.Store, writer, rounds int) error {
	outside := kv.Version(0)
	for round := range rounds {
		version, err := store.Put(ctx, kv.Put{
			Key:   kv.Key(fmt.Sprintf("p/%d", writer)),
			Value: []byte(fmt.Sprint(round)),
		})
		if err != nil {
			return err
		}
		outside, err = store.Put(ctx, kv.Put{
			Key:    kv.Key(fmt.Sprintf("q/%d", writer)),
			Expect: outside,
		})
		if err != nil {
			return err
		}
		if err := store.Delete(ctx, kv.Key(fmt.Sprintf("p/%d", writer)), version); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a gap between a list and the watch that follows it.
func watchFromList(ctx context.Context, c *qt.C, h Harness) {
	put(ctx, c, h, kv.Put{
		Key: "p/1",
	})
	page, err := h.Store.List(ctx, "p/", "", 0)
	c.Assert(err, qt.IsNil)
	put(ctx, c, h, kv.Put{
		Key: "p/2",
	})
	seen := watchOnce(ctx, h.Store, "p/", page.Cursor)
	c.Assert(seen.err, qt.IsNil)
	c.Assert(seen.changes.Changes, qt.HasLen, 1)
	c.Assert(seen.changes.Changes[0].Entry.Key, qt.Equals, kv.Key("p/2"))
}

// Guards against a watch that does not return when its context is cancelled.
func watchCancel(ctx context.Context, c *qt.C, h Harness) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan watchResult, 1)
	go func() { results <- watchOnce(ctx, h.Store, "k", 0) }()
	cancel()
	c.Assert((<-results).err, qt.ErrorIs, kv.ErrUnavailable)
}

// Guards against a watch that silently skips compacted changes.
func compaction(ctx context.Context, c *qt.C, h Harness) {
	first := put(ctx, c, h, kv.Put{
		Key: "k",
	})
	second := put(ctx, c, h, kv.Put{
		Key:    "k",
		Expect: first,
	})
	h.Compact()
	for _, cursor := range []kv.Cursor{0, kv.Cursor(first)} {
		c.Assert(watchOnce(ctx, h.Store, "k", cursor).err, qt.ErrorIs, kv.ErrCompacted)
	}
	page, err := h.Store.List(ctx, "k", "", 0)
	c.Assert(err, qt.IsNil)
	third := put(ctx, c, h, kv.Put{
		Key:    "k",
		Expect: second,
	})
	seen := watchOnce(ctx, h.Store, "k", page.Cursor)
	c.Assert(seen.err, qt.IsNil)
	c.Assert(seen.changes.Changes, qt.HasLen, 1)
	c.Assert(seen.changes.Changes[0].Entry.Version, qt.Equals, third)
}

// Guards against a limit that is off by one or not enforced.
func tooLarge(ctx context.Context, c *qt.C, h Harness) {
	_, err := h.Store.Put(ctx, kv.Put{
		Key:   "k",
		Value: make([]byte, kv.MaxValueBytes+1),
	})
	c.Assert(err, qt.ErrorIs, kv.ErrTooLarge)
	_, err = h.Store.Get(ctx, "k")
	c.Assert(err, qt.ErrorIs, kv.ErrNotFound)
	put(ctx, c, h, kv.Put{
		Key:   "k",
		Value: make([]byte, kv.MaxValueBytes),
	})
	entry, err := h.Store.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(entry.Value, qt.HasLen, kv.MaxValueBytes)
}

// watchResult is the result of one watch.
type watchResult struct {
	changes kv.Changes
	err     error
}

// watchOnce repeats the watch until it returns a change or an error.
func watchOnce(ctx context.Context, store kv.Store, prefix kv.Key, after kv.Cursor) watchResult {
	for {
		changes, err := store.Watch(ctx, prefix, after)
		if err != nil || len(changes.Changes) > 0 {
			return watchResult{
				changes: changes,
				err:     err,
			}
		}
		after = changes.Cursor
	}
}

func keys(entries []kv.Entry) []kv.Key {
	found := make([]kv.Key, 0, len(entries))
	for _, entry := range entries {
		found = append(found, entry.Key)
	}
	return found
}
