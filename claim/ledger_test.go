package claim_test

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// start runs a ledger and returns it with the function that stops it.
func start(store kv.Store, host ident.HostID) (ledger *claim.Ledger, stop func()) {
	ledger = claim.New(claim.Config{
		Store: store,
		Host:  host,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = ledger.Run(ctx)
		close(done)
	}()
	return ledger, func() {
		cancel()
		<-done
	}
}

// Guards against a store fault after which a claim is reported as not written although
// it may be, or is held although its attempt never ran.
func TestFaults(t *testing.T) {
	id := claim.NewIdentity("awards-ledger", "dairy", "fee-1")
	tests := map[string]struct {
		faults memkv.Faults // present during the claim
		want   error
		retry  claim.Decision // decision on another host's claim afterwards
	}{
		"healthy":             {retry: claim.InProgress{}},
		"response lost":       {faults: memkv.Faults{LoseResponse: 1}, retry: claim.InProgress{}},
		"five responses lost": {faults: memkv.Faults{LoseResponse: 5}, retry: claim.InProgress{}},
		"down":                {faults: memkv.Faults{Down: true}, want: claim.ErrStore, retry: claim.Granted{}},
		"slow":                {faults: memkv.Faults{Delay: time.Second}, retry: claim.InProgress{}},
		"slower than timeout": {faults: memkv.Faults{Delay: time.Minute}, want: claim.ErrStore, retry: claim.Granted{}},
		"undecided":           {faults: memkv.Faults{LoseResponse: 1_000_000}, want: claim.ErrUndecided, retry: claim.Granted{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := memkv.New(time.Now)
				a, stopA := start(&lossyStore{
					Store:     store,
					failReads: test.want == claim.ErrUndecided,
				}, "a")
				defer stopA()
				b, stopB := start(store, "b")
				defer stopB()
				store.SetFaults(test.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				decision, err := a.Claim(ctx, id, "a1")
				if test.want != nil {
					c.Assert(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				} else {
					c.Assert(err, qt.IsNil)
					c.Assert(decision, qt.Equals, claim.Granted{})
				}
				store.SetFaults(memkv.Faults{})
				c.Assert(a.Drain(t.Context()), qt.Equals, 0)
				retry, err := b.Claim(t.Context(), id, "b1")
				c.Assert(err, qt.IsNil)
				if _, ok := test.retry.(claim.InProgress); ok {
					held, ok := retry.(claim.InProgress)
					c.Assert(ok, qt.IsTrue)
					c.Assert(held.Stale, qt.IsFalse)
				} else {
					c.Assert(retry, qt.Equals, test.retry)
				}
			})
		})
	}
}

// lossyStore fails reads for 15 s after the first write with a lost response, so that
// the claim stays undecided.
type lossyStore struct {
	*memkv.Store
	failReads bool
	lostAt    time.Time
}

func (s *lossyStore) Put(ctx context.Context, put kv.Put) (kv.Version, error) {
	version, err := s.Store.Put(ctx, put)
	if errors.Is(err, kv.ErrUncertain) && s.failReads && s.lostAt.IsZero() {
		s.lostAt = time.Now()
	}
	return version, err
}

func (s *lossyStore) Get(ctx context.Context, key kv.Key) (kv.Entry, error) {
	if !s.lostAt.IsZero() && time.Since(s.lostAt) < 15*time.Second {
		return kv.Entry{}, errors.Annotate(kv.ErrUnavailable, "read failed by lossyStore")
	}
	return s.Store.Get(ctx, key)
}

// Guards against an outcome that is lost, a claim that another attempt releases or
// completes, and a duplicate that receives an incomplete outcome.
func TestFinish(t *testing.T) {
	id := claim.NewIdentity("awards-ledger", "dairy", "fee-1")
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		store := memkv.New(time.Now)
		a, stopA := start(store, "a")
		defer stopA()
		b, stopB := start(store, "b")
		defer stopB()
		mustClaim(c, a, id, "a1")
		c.Assert(errors.Is(b.Finish(ctx, id, "b1", claim.Released{}), claim.ErrNotHolder), qt.IsTrue)
		c.Assert(errors.Is(b.Finish(ctx, id, "b1", claim.Done{}), claim.ErrNotHolder), qt.IsTrue)
		c.Assert(a.Finish(ctx, id, "a1", claim.Released{}), qt.IsNil)
		c.Assert(a.Finish(ctx, id, "a1", claim.Released{}), qt.IsNil)
		_, err := a.Claim(ctx, id, "a1")
		c.Assert(errors.Is(err, claim.ErrReleased), qt.IsTrue)
		mustClaim(c, b, id, "b1")

		store.SetFaults(memkv.Faults{
			Down: true,
		})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		done := claim.Done{
			Status: 201,
			Type:   "application/json",
			Body:   []byte(`{"fee":"paid"}`),
		}
		c.Assert(errors.Is(b.Finish(short, id, "b1", done), claim.ErrPending), qt.IsTrue)
		c.Assert(b.Drain(short), qt.Equals, 1)
		store.SetFaults(memkv.Faults{})
		c.Assert(b.Drain(ctx), qt.Equals, 0)
		decision, err := a.Claim(ctx, id, "a2")
		c.Assert(err, qt.IsNil)
		c.Assert(decision, qt.DeepEquals, claim.Completed{
			Status: 201,
			Type:   "application/json",
			Body:   []byte(`{"fee":"paid"}`),
			Kept:   true,
		})
	})
}

// Guards against claims and outcomes that are lost or not found after a head is sealed,
// when a host starts with an empty cache, or after segments are dropped.
func TestSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		store := memkv.New(time.Now)
		a, stopA := start(store, "a")
		defer stopA()
		body := bytes.Repeat([]byte("x"), claim.MaxBodyBytes)
		ids := make([]claim.Identity, 20)
		for i := range ids {
			ids[i][0] = byte(i) // all in partition 0
			attempt := ident.AttemptID(fmt.Sprint(i))
			mustClaim(c, a, ids[i], attempt)
			size := claim.MaxBodyBytes
			if i%4 == 3 {
				size = 0
			}
			c.Assert(a.Finish(ctx, ids[i], attempt, claim.Done{
				Status: 200 + i,
				Body:   body[:size],
			}), qt.IsNil)
		}
		var large claim.Identity
		large[0] = 99
		mustClaim(c, a, large, "large")
		c.Assert(a.Finish(ctx, large, "large", claim.Done{
			Status: 200,
			Body:   append(body, 'x'),
		}), qt.IsNil)

		b, stopB := start(store, "b")
		defer stopB()
		for _, ledger := range []*claim.Ledger{a, b} {
			for i, id := range ids {
				decision, err := ledger.Claim(ctx, id, "repeat")
				c.Assert(err, qt.IsNil)
				got := decision.(claim.Completed)
				c.Assert(got.Status, qt.Equals, 200+i)
				c.Assert(got.Kept, qt.IsTrue)
				c.Assert(len(got.Body) == 0, qt.Equals, i%4 == 3)
			}
			decision, err := ledger.Claim(ctx, large, "repeat")
			c.Assert(err, qt.IsNil)
			c.Assert(decision, qt.DeepEquals, claim.Completed{
				Status: 200,
			})
		}
		page, err := store.List(ctx, "claim/0/segment/", "", 0)
		c.Assert(err, qt.IsNil)
		before := len(page.Entries)
		c.Assert(before > 3, qt.IsTrue)

		time.Sleep(claim.DefaultRetention + time.Hour)
		var other claim.Identity
		other[0] = 100
		mustClaim(c, b, other, "other")
		page, err = store.List(ctx, "claim/0/segment/", "", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(len(page.Entries) < 2, qt.IsTrue, qt.Commentf("%d of %d segments", len(page.Entries), before))
		// Host a must discard the dropped segments from its cache.
		mustClaim(c, a, ids[0], "after retention")
		decision, err := b.Claim(ctx, ids[0], "repeat")
		c.Assert(err, qt.IsNil)
		_, held := decision.(claim.InProgress)
		c.Assert(held, qt.IsTrue)
	})
}

// Guards against more writes a second than the store allows, and against a delay of
// the first claim of an idle partition.
func TestWriteRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := memkv.New(time.Now)
		a, stop := start(store, "a")
		defer stop()
		begin := time.Now()
		var first claim.Identity
		mustClaim(c, a, first, "first")
		c.Assert(time.Since(begin), qt.Equals, time.Duration(0))
		const claims = 3000
		done := make(chan error)
		for i := range claims {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				id := claim.NewIdentity("s", "o", fmt.Sprint(i))
				id[15] = 0
				_, err := a.Claim(t.Context(), id, "x")
				done <- err
			}()
		}
		for range claims {
			c.Assert(<-done, qt.IsNil)
		}
		seconds := time.Since(begin).Seconds()
		rate := float64(store.Counts().Writes) / seconds
		t.Logf("%d claims in %.2f s of virtual time, %.1f writes a second", claims, seconds, rate)
		// Each segment needs an extra write, hence the bound above 16 writes a second.
		c.Assert(rate <= 16.5, qt.IsTrue, qt.Commentf("%f", rate))
		c.Assert(seconds < 5, qt.IsTrue)
	})
}

func mustClaim(c *qt.C, ledger *claim.Ledger, id claim.Identity, attempt ident.AttemptID) {
	c.Helper()
	decision, err := ledger.Claim(context.Background(), id, attempt)
	c.Assert(err, qt.IsNil)
	c.Assert(decision, qt.Equals, claim.Granted{})
}

// BenchmarkState reports the bytes that a claim with an outcome without a body takes
// in the store and in the cache.
func BenchmarkState(b *testing.B) {
	store := memkv.New(time.Now)
	a, stop := start(store, "host-0")
	defer stop()
	const claims = 20_000
	done := make(chan error)
	for i := range claims {
		go func() {
			id := claim.NewIdentity("s", "o", fmt.Sprint(i))
			attempt := ident.AttemptID(fmt.Sprintf("%016x", i))
			_, err := a.Claim(context.Background(), id, attempt)
			if err == nil {
				err = a.Finish(context.Background(), id, attempt, claim.Done{
					Status: 200,
				})
			}
			done <- err
		}()
	}
	for range claims {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	page, err := store.List(context.Background(), "claim/", "", 0)
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	for _, entry := range page.Entries {
		size += len(entry.Value)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	reader, stopReader := start(store, "host-1")
	for p := range claim.Partitions {
		var id claim.Identity
		id[15] = byte(p)
		if _, err := reader.Claim(context.Background(), id, "x"); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	stopReader()
	runtime.KeepAlive(reader)
	b.ReportMetric(float64(size)/claims, "stored-B/claim")
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/claims, "cached-B/claim")
}
