package kvtest

import (
	"context"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// faultCase checks a store under faults. check calls inject to put them into effect.
type faultCase struct {
	faults memkv.Faults
	check  func(ctx context.Context, c *qt.C, h Harness, inject func())
}

var faultCases = map[string]faultCase{
	"response to a put lost": {
		faults: memkv.Faults{
			LoseResponse: 1,
		},
		check: lostPut,
	},
	"response to a deletion lost": {
		faults: memkv.Faults{
			LoseResponse: 1,
		},
		check: lostDelete,
	},
	"responses to lease calls lost": {
		faults: memkv.Faults{
			LoseResponse: 3,
		},
		check: lostLease,
	},
	"responses lost during concurrent swaps": {
		faults: memkv.Faults{
			LoseResponse: 20,
		},
		check: func(ctx context.Context, c *qt.C, h Harness, inject func()) {
			inject()
			concurrentSwaps(ctx, c, h)
		},
	},
	"down": {
		faults: memkv.Faults{
			Down: true,
		},
		check: unavailable,
	},
	"down during a watch": {
		faults: memkv.Faults{
			Down: true,
		},
		check: brokenWatch,
	},
	"watch dropped": {
		faults: memkv.Faults{
			DropWatch: true,
		},
		check: brokenWatch,
	},
	"slow": {
		faults: memkv.Faults{
			Delay: 100 * time.Millisecond,
		},
		check: delayedWrite,
	},
	"lease expired early": {
		faults: memkv.Faults{
			ExpireLease: true,
		},
		check: expiredLease,
	},
}

// Guards against a write that took effect but whose lost response is reported as
// a failure or as success.
func lostPut(ctx context.Context, c *qt.C, h Harness, inject func()) {
	inject()
	_, err := h.Store.Put(ctx, kv.Put{
		Key:   "k",
		Value: []byte("mine"),
	})
	c.Assert(err, qt.ErrorIs, kv.ErrUncertain)
	entry, err := h.Store.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(entry.Value), qt.Equals, "mine")
	put(ctx, c, h, kv.Put{
		Key:    "k",
		Expect: entry.Version,
	})
}

// Guards against a deletion that took effect but whose lost response is reported
// as a failure or as success.
func lostDelete(ctx context.Context, c *qt.C, h Harness, inject func()) {
	version := put(ctx, c, h, kv.Put{
		Key: "k",
	})
	inject()
	c.Assert(h.Store.Delete(ctx, "k", version), qt.ErrorIs, kv.ErrUncertain)
	_, err := h.Store.Get(ctx, "k")
	c.Assert(err, qt.ErrorIs, kv.ErrNotFound)
}

// Guards against lease calls that do not report that they may have taken effect.
func lostLease(ctx context.Context, c *qt.C, h Harness, inject func()) {
	lease, err := h.Store.Grant(ctx, time.Minute)
	c.Assert(err, qt.IsNil)
	inject()
	_, err = h.Store.Grant(ctx, time.Minute)
	c.Check(err, qt.ErrorIs, kv.ErrUncertain)
	c.Check(h.Store.Renew(ctx, lease), qt.ErrorIs, kv.ErrUncertain)
	c.Check(h.Store.Revoke(ctx, lease), qt.ErrorIs, kv.ErrUncertain)
	c.Check(h.Store.Renew(ctx, lease), qt.ErrorIs, kv.ErrLeaseLost)
}

// Guards against a call to an unavailable store that takes effect or returns
// another error than kv.ErrUnavailable.
func unavailable(ctx context.Context, c *qt.C, h Harness, inject func()) {
	version := put(ctx, c, h, kv.Put{
		Key:   "k",
		Value: []byte("before"),
	})
	lease, err := h.Store.Grant(ctx, time.Minute)
	c.Assert(err, qt.IsNil)
	inject()
	_, get := h.Store.Get(ctx, "k")
	_, listed := h.Store.List(ctx, "", "", 0)
	_, changed := h.Store.Put(ctx, kv.Put{
		Key:    "k",
		Expect: version,
	})
	_, granted := h.Store.Grant(ctx, time.Minute)
	_, seen := h.Store.Watch(ctx, "", 0)
	for operation, err := range map[string]error{
		"get":    get,
		"list":   listed,
		"put":    changed,
		"delete": h.Store.Delete(ctx, "k", version),
		"watch":  seen,
		"grant":  granted,
		"renew":  h.Store.Renew(ctx, lease),
		"revoke": h.Store.Revoke(ctx, lease),
	} {
		c.Check(err, qt.ErrorIs, kv.ErrUnavailable, qt.Commentf("%s", operation))
	}
	h.SetFaults(memkv.Faults{})
	entry, err := h.Store.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(entry.Version, qt.Equals, version)
	c.Assert(h.Store.Renew(ctx, lease), qt.IsNil)
}

// Guards against a broken watch that returns no error, and against changes
// missed between two watches.
func brokenWatch(ctx context.Context, c *qt.C, h Harness, inject func()) {
	first := put(ctx, c, h, kv.Put{
		Key: "k",
	})
	results := make(chan watchResult, 1)
	go func() { results <- watchOnce(ctx, h.Store, "k", kv.Cursor(first)) }()
	inject()
	c.Assert((<-results).err, qt.ErrorIs, kv.ErrUnavailable)
	h.SetFaults(memkv.Faults{})
	second := put(ctx, c, h, kv.Put{
		Key:    "k",
		Expect: first,
	})
	seen := watchOnce(ctx, h.Store, "k", kv.Cursor(first))
	c.Assert(seen.err, qt.IsNil)
	c.Assert(seen.changes.Changes, qt.HasLen, 1)
	c.Assert(seen.changes.Changes[0].Entry.Version, qt.Equals, second)
}

// Guards against a write whose context ends before the response and that takes
// effect twice, or although it was reported to have no effect.
func delayedWrite(ctx context.Context, c *qt.C, h Harness, inject func()) {
	inject()
	put(ctx, c, h, kv.Put{
		Key: "patient",
	})
	shortCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	_, err := h.Store.Put(shortCtx, kv.Put{
		Key:   "k",
		Value: []byte("first"),
	})
	uncertain := isAny(err, kv.ErrUncertain)
	if !uncertain {
		c.Assert(err, qt.ErrorIs, kv.ErrUnavailable)
	}
	// Whichever write the service runs first decides; the other one conflicts.
	_, err = h.Store.Put(ctx, kv.Put{
		Key:   "k",
		Value: []byte("second"),
	})
	want := "second"
	if uncertain && err != nil {
		c.Assert(err, qt.ErrorIs, kv.ErrConflict)
		want = "first"
	} else {
		c.Assert(err, qt.IsNil)
	}
	entry, err := h.Store.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(entry.Value), qt.Equals, want)
}

// Guards against a holder that does not learn that its lease expired early.
func expiredLease(ctx context.Context, c *qt.C, h Harness, inject func()) {
	lease, err := h.Store.Grant(ctx, time.Minute)
	c.Assert(err, qt.IsNil)
	put(ctx, c, h, kv.Put{
		Key:   "k",
		Lease: lease,
	})
	inject()
	c.Assert(h.Store.Renew(ctx, lease), qt.ErrorIs, kv.ErrLeaseLost)
	_, err = h.Store.Get(ctx, "k")
	c.Assert(err, qt.ErrorIs, kv.ErrNotFound)
}

// isAny reports whether err is one of the targets.
func isAny(err error, targets ...error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
