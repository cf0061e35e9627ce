package order_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
	"github.com/nutmegshift/nutmegshift/order"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	ttl      = 10 * time.Second
	interval = time.Second
)

// engine is a fake engine that applies orders immediately.
type engine struct {
	checksFence  bool // rejects stale fencing numbers
	highestFence ident.FencingNumber
	state        order.Actual
	rejected     int  // orders with a stale fencing number
	down         bool // reading the state fails
}

// fleet holds the fake engines, the fake clock and the store of a test. It
// implements order.Engines.
type fleet struct {
	mu      sync.Mutex
	now     time.Time
	store   *memkv.Store
	engines map[ident.UpstreamID]*engine
}

func newFleet(engines map[ident.UpstreamID]*engine) *fleet {
	f := &fleet{
		now:     time.Unix(1_800_000_000, 0),
		engines: engines,
	}
	f.store = memkv.New(f.Now)
	return f
}

func (f *fleet) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fleet) advance(by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(by)
}

func (f *fleet) Actual(_ context.Context, id ident.UpstreamID) (order.Actual, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[id]
	if e.down {
		return order.Actual{}, errors.New("engine down")
	}
	return order.Actual{
		Role:    e.state.Role,
		Models:  slices.Clone(e.state.Models),
		Loading: slices.Clone(e.state.Loading),
	}, nil
}

func (f *fleet) Send(_ context.Context, id ident.UpstreamID, fence ident.FencingNumber, o order.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[id]
	if e.checksFence && fence < e.highestFence {
		e.rejected++
		return order.ErrStale
	}
	e.highestFence = max(e.highestFence, fence)
	switch o := o.(type) {
	case order.Load:
		e.state.Models = append(e.state.Models, o.Model)
	case order.Unload:
		e.state.Models = slices.DeleteFunc(e.state.Models, func(m ident.ModelName) bool { return m == o.Model })
	case order.SetRole:
		e.state.Role = o.Role
	}
	return nil
}

func (f *fleet) models(id ident.UpstreamID) []ident.ModelName {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.engines[id].state.Models)
}

func (f *fleet) setWanted(c *qt.C, id ident.UpstreamID, expect kv.Version, models ...ident.ModelName) kv.Version {
	c.Helper()
	version, err := order.SetWanted(context.Background(), f.store, id, order.Wanted{
		Models: models,
	}, expect)
	c.Assert(err, qt.IsNil)
	return version
}

func (f *fleet) reconciler(name ident.HostID, engines order.Engines) *order.Reconciler {
	return f.reconcilerOn(f.store, name, engines)
}

func (f *fleet) reconcilerOn(store kv.Store, name ident.HostID, engines order.Engines) *order.Reconciler {
	return order.New(order.Config{
		Host:      name,
		Store:     store,
		Engines:   engines,
		Now:       f.Now,
		Log:       zerolog.Nop(),
		TTL:       ttl,
		Limit:     time.Minute,
		Workers:   4,
		LoadRate:  2,
		LoadBurst: 2,
	})
}

// tick advances the clock by one interval and makes a tick that must succeed.
func (f *fleet) tick(c *qt.C, r *order.Reconciler) order.Report {
	c.Helper()
	f.advance(interval)
	report, err := r.Tick(context.Background())
	c.Assert(err, qt.IsNil)
	return report
}

// blockingEngines delays the first order until unblock is closed, like an order of
// a process that is paused before it sends the order.
type blockingEngines struct {
	*fleet
	once    sync.Once
	blocked chan struct{}
	unblock chan struct{}
}

func (b *blockingEngines) Send(ctx context.Context, id ident.UpstreamID, fence ident.FencingNumber, o order.Order) error {
	b.once.Do(func() {
		close(b.blocked)
		<-b.unblock
	})
	return b.fleet.Send(ctx, id, fence, o)
}

// waitBlocked waits until the first order is blocked. It fails the test if the tick
// ends before.
func (b *blockingEngines) waitBlocked(c *qt.C, tickErr <-chan error) {
	c.Helper()
	select {
	case <-b.blocked:
	case err := <-tickErr:
		c.Fatalf("tick ended without an order: %v", err)
	}
}

// Guards against an order that a paused former holder sends after its lease expired
// and that stays in effect.
func TestLateOrderOfFrozenHolder(t *testing.T) {
	tests := map[string]struct {
		checksFence bool
		rejected    int
		lateModels  []ident.ModelName // models right after the late order
	}{
		"engine checks fencing numbers": {
			checksFence: true,
			rejected:    1,
			lateModels:  []ident.ModelName{"new"},
		},
		"engine ignores fencing numbers": {
			lateModels: []ident.ModelName{"new", "old"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(map[ident.UpstreamID]*engine{
				"e": {
					checksFence: test.checksFence,
				},
			})
			blocking := &blockingEngines{
				fleet:   f,
				blocked: make(chan struct{}),
				unblock: make(chan struct{}),
			}
			formerHolder, newHolder := f.reconciler("a", blocking), f.reconciler("b", f)
			first := f.tick(c, formerHolder)
			c.Assert(first.Holder, qt.IsTrue)
			version := f.setWanted(c, "e", 0, "old")

			f.advance(interval)
			tickErr := make(chan error, 1)
			go func() {
				_, err := formerHolder.Tick(context.Background())
				tickErr <- err
			}()
			blocking.waitBlocked(c, tickErr)
			f.advance(ttl)
			f.setWanted(c, "e", version, "new")
			second := f.tick(c, newHolder)
			c.Assert(second.Fence > first.Fence, qt.IsTrue)
			f.tick(c, newHolder) // the token bucket of a new holder starts empty
			c.Assert(f.models("e"), qt.DeepEquals, []ident.ModelName{"new"})

			close(blocking.unblock)
			err := <-tickErr
			if test.checksFence {
				c.Assert(err, qt.ErrorIs, order.ErrNotHolder)
			}
			c.Assert(f.engines["e"].rejected, qt.Equals, test.rejected)
			c.Assert(f.models("e"), qt.DeepEquals, test.lateModels)
			f.tick(c, newHolder)
			c.Assert(f.models("e"), qt.DeepEquals, []ident.ModelName{"new"})

			c.Assert(f.tick(c, formerHolder).Holder, qt.IsFalse)
		})
	}
}

// Guards against a paused holder that resumes after its lease expired and sends
// further orders.
func TestNoOrderAfterLeaseEnded(t *testing.T) {
	c := qt.New(t)
	f := newFleet(map[ident.UpstreamID]*engine{
		"e": {
			state: order.Actual{
				Models: []ident.ModelName{"x", "y"},
			},
		},
	})
	blocking := &blockingEngines{
		fleet:   f,
		blocked: make(chan struct{}),
		unblock: make(chan struct{}),
	}
	r := f.reconciler("a", blocking)
	f.setWanted(c, "e", 0)
	tickErr := make(chan error, 1)
	go func() {
		_, err := r.Tick(context.Background())
		tickErr <- err
	}()
	blocking.waitBlocked(c, tickErr)
	f.advance(ttl * 9 / 10)
	close(blocking.unblock)
	c.Assert(<-tickErr, qt.ErrorIs, order.ErrNotHolder)
	c.Assert(f.models("e"), qt.DeepEquals, []ident.ModelName{"y"})
}

// Guards against two holders at a time, a lease that is not renewed, and a
// released lease that blocks the next holder.
func TestOneHolder(t *testing.T) {
	c := qt.New(t)
	f := newFleet(nil)
	a, b := f.reconciler("a", f), f.reconciler("b", f)
	first := f.tick(c, a)
	for range 30 {
		c.Assert(f.tick(c, a), qt.DeepEquals, first)
		c.Assert(f.tick(c, b).Holder, qt.IsFalse)
	}
	c.Assert(a.Release(context.Background()), qt.IsNil)
	second := f.tick(c, b)
	c.Assert(second.Fence > first.Fence, qt.IsTrue)
	f.advance(ttl)
	c.Assert(f.tick(c, a).Fence > second.Fence, qt.IsTrue)
	c.Assert(f.tick(c, b).Holder, qt.IsFalse)
}

// Guards against a holder that continues, with the fencing number of its
// successor, after the store ended its lease early.
func TestLeaseEndedEarly(t *testing.T) {
	c := qt.New(t)
	f := newFleet(map[ident.UpstreamID]*engine{
		"e": {},
	})
	a, b := f.reconciler("a", f), f.reconciler("b", f)
	c.Assert(f.tick(c, a).Holder, qt.IsTrue)
	f.store.SetFaults(memkv.Faults{
		ExpireLease: true,
	})
	_, err := f.store.Get(context.Background(), "order/holder")
	c.Assert(err, qt.ErrorIs, kv.ErrNotFound)
	f.store.SetFaults(memkv.Faults{})
	c.Assert(f.tick(c, b).Holder, qt.IsTrue)
	c.Assert(f.tick(c, a).Holder, qt.IsFalse)
	c.Assert(f.tick(c, b).Holder, qt.IsTrue)
}

// lossyStore loses the response to the first write after each grant of a lease.
type lossyStore struct {
	*memkv.Store
}

func (l lossyStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	lease, err := l.Store.Grant(ctx, ttl)
	l.SetFaults(memkv.Faults{
		LoseResponse: 1,
	})
	return lease, err
}

// Guards against a holder that does not recognise its own lease after a lost
// response, and against orders sent while the store is unavailable.
func TestStoreFaults(t *testing.T) {
	tests := map[string]struct {
		faults    memkv.Faults
		wrapStore func(*memkv.Store) kv.Store
	}{
		"response to the grant lost": {
			faults: memkv.Faults{
				LoseResponse: 1,
			},
		},
		"response to the creation of the key lost": {
			wrapStore: func(store *memkv.Store) kv.Store { return lossyStore{store} },
		},
		"down": {
			faults: memkv.Faults{
				Down: true,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(map[ident.UpstreamID]*engine{
				"e": {},
			})
			f.setWanted(c, "e", 0, "m")
			f.store.SetFaults(test.faults)
			store := kv.Store(f.store)
			if test.wrapStore != nil {
				store = test.wrapStore(f.store)
			}
			r := f.reconcilerOn(store, "a", f)
			_, err := r.Tick(context.Background())
			c.Assert(err, qt.ErrorIs, order.ErrStore)
			f.store.SetFaults(memkv.Faults{})
			c.Assert(f.models("e"), qt.HasLen, 0)
			c.Assert(f.tick(c, r).Holder, qt.IsTrue)
			f.tick(c, r)
			c.Assert(f.models("e"), qt.DeepEquals, []ident.ModelName{"m"})
		})
	}
}

// Guards against loads above the rate of the weight store, also right after a
// change of holder, and against engines whose loads are deferred for ever.
func TestLoadRate(t *testing.T) {
	c := qt.New(t)
	engines := make(map[ident.UpstreamID]*engine)
	for i := range 9 {
		engines[ident.UpstreamID(fmt.Sprint(i))] = &engine{}
	}
	f := newFleet(engines)
	for id := range engines {
		f.setWanted(c, id, 0, "m")
	}
	a, b := f.reconciler("a", f), f.reconciler("b", f)
	loaded := 0
	step := func(r *order.Reconciler, want int) {
		report := f.tick(c, r)
		loaded += report.Sent
		c.Assert(report.Sent, qt.Equals, want)
		c.Assert(report.Deferred, qt.Equals, 9-loaded)
	}
	step(a, 0)
	step(a, 2)
	step(a, 2)
	c.Assert(a.Release(context.Background()), qt.IsNil)
	step(b, 0)
	step(b, 2)
	step(b, 2)
	step(b, 1)
	step(b, 0)
}

// Guards against one faulty engine or malformed entry that blocks the orders to the
// other engines.
func TestFaultsAreIsolated(t *testing.T) {
	c := qt.New(t)
	f := newFleet(map[ident.UpstreamID]*engine{
		"bad entry": {},
		"down": {
			down: true,
		},
		"future": {
			checksFence:  true,
			highestFence: 1 << 40,
			state: order.Actual{
				Models: []ident.ModelName{"x"},
			},
		},
		"good": {
			state: order.Actual{
				Role:   "decode",
				Models: []ident.ModelName{"x"},
			},
		},
		"loading": {
			state: order.Actual{
				Loading: []ident.ModelName{"m"},
			},
		},
	})
	for _, id := range []ident.UpstreamID{"down", "future", "good"} {
		f.setWanted(c, id, 0)
	}
	f.setWanted(c, "loading", 0, "m")
	_, err := f.store.Put(context.Background(), kv.Put{
		Key:   "order/wanted/bad entry",
		Value: []byte("{"),
	})
	c.Assert(err, qt.IsNil)
	report := f.tick(c, f.reconciler("a", f))
	c.Assert(report.Engines, qt.Equals, 5)
	c.Assert(report.Sent, qt.Equals, 2)
	faulty := make([]ident.UpstreamID, 0)
	for _, fault := range report.Faults {
		faulty = append(faulty, fault.Engine)
	}
	slices.Sort(faulty)
	c.Assert(faulty, qt.DeepEquals, []ident.UpstreamID{"bad entry", "down", "future"})
	c.Assert(f.models("good"), qt.HasLen, 0)
	c.Assert(f.engines["good"].state.Role, qt.Equals, order.Role(""))
}

// Guards against a stopped host that does not release its lease, so that the next
// holder has to wait until it expires.
func TestRunReleasesTheLease(t *testing.T) {
	c := qt.New(t)
	f := newFleet(nil)
	ctx, cancel := context.WithCancel(context.Background())
	ticks := make(chan time.Time)
	runErr := make(chan error, 1)
	go func() { runErr <- f.reconciler("a", f).Run(ctx, ticks) }()
	ticks <- f.Now()
	held, err := f.store.Watch(ctx, "order/holder", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(held.Changes, qt.HasLen, 1)
	cancel()
	c.Assert(<-runErr, qt.Equals, context.Canceled)
	c.Assert(f.tick(c, f.reconciler("b", f)).Holder, qt.IsTrue)
}
