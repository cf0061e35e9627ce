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

// engine is a fake that applies orders at once.
type engine struct {
	checks  bool // refuses stale fencing numbers
	highest ident.FencingNumber
	state   order.Actual
	refused int
	down    bool
}

// fleet holds the fake engines, the clock and the store of a test.
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
	if e.checks && fence < e.highest {
		e.refused++
		return order.ErrStale
	}
	e.highest = max(e.highest, fence)
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

func (f *fleet) want(c *qt.C, id ident.UpstreamID, expect kv.Version, models ...ident.ModelName) kv.Version {
	c.Helper()
	version, err := order.SetWanted(context.Background(), f.store, id, order.Wanted{
		Models: models,
	}, expect)
	c.Assert(err, qt.IsNil)
	return version
}

func (f *fleet) host(name ident.HostID, engines order.Engines) *order.Reconciler {
	return f.hostOn(f.store, name, engines)
}

func (f *fleet) hostOn(store kv.Store, name ident.HostID, engines order.Engines) *order.Reconciler {
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

// tick makes one tick that must succeed, one interval after the last.
func (f *fleet) tick(c *qt.C, r *order.Reconciler) order.Report {
	c.Helper()
	f.advance(interval)
	report, err := r.Tick(context.Background())
	c.Assert(err, qt.IsNil)
	return report
}

// frozen delays the first order until thaw is closed; the orders of a paused
// process reach the engine in the same way.
type frozen struct {
	*fleet
	once  sync.Once
	froze chan struct{}
	thaw  chan struct{}
}

func (f *frozen) Send(ctx context.Context, id ident.UpstreamID, fence ident.FencingNumber, o order.Order) error {
	f.once.Do(func() {
		close(f.froze)
		<-f.thaw
	})
	return f.fleet.Send(ctx, id, fence, o)
}

// wait returns once the host is frozen and fails if its tick ends before.
func (f *frozen) wait(c *qt.C, ended <-chan error) {
	c.Helper()
	select {
	case <-f.froze:
	case err := <-ended:
		c.Fatalf("tick ended without an order: %v", err)
	}
}

// Guards against a late order of a paused former holder that stays in effect.
func TestLateOrderOfFrozenHolder(t *testing.T) {
	tests := map[string]struct {
		checks  bool
		refused int
		late    []ident.ModelName // models right after the late order
	}{
		"engine checks fencing numbers": {
			checks:  true,
			refused: 1,
			late:    []ident.ModelName{"new"},
		},
		"engine ignores fencing numbers": {
			late: []ident.ModelName{"new", "old"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(map[ident.UpstreamID]*engine{
				"e": {
					checks: test.checks,
				},
			})
			slow := &frozen{
				fleet: f,
				froze: make(chan struct{}),
				thaw:  make(chan struct{}),
			}
			former, later := f.host("a", slow), f.host("b", f)
			first := f.tick(c, former)
			c.Assert(first.Holder, qt.IsTrue)
			version := f.want(c, "e", 0, "old")

			f.advance(interval)
			ended := make(chan error, 1)
			go func() {
				_, err := former.Tick(context.Background())
				ended <- err
			}()
			slow.wait(c, ended)
			f.advance(ttl)
			f.want(c, "e", version, "new")
			second := f.tick(c, later)
			c.Assert(second.Fence > first.Fence, qt.IsTrue)
			f.tick(c, later) // the token bucket of a new tenure starts empty
			c.Assert(f.models("e"), qt.DeepEquals, []ident.ModelName{"new"})

			close(slow.thaw)
			err := <-ended
			if test.checks {
				c.Assert(err, qt.ErrorIs, order.ErrNotHolder)
			}
			c.Assert(f.engines["e"].refused, qt.Equals, test.refused)
			c.Assert(f.models("e"), qt.DeepEquals, test.late)
			f.tick(c, later)
			c.Assert(f.models("e"), qt.DeepEquals, []ident.ModelName{"new"})

			c.Assert(f.tick(c, former).Holder, qt.IsFalse)
		})
	}
}

// Guards against further orders of a former holder after it resumed.
func TestNoOrderAfterLeaseEnded(t *testing.T) {
	c := qt.New(t)
	f := newFleet(map[ident.UpstreamID]*engine{
		"e": {
			state: order.Actual{
				Models: []ident.ModelName{"x", "y"},
			},
		},
	})
	slow := &frozen{
		fleet: f,
		froze: make(chan struct{}),
		thaw:  make(chan struct{}),
	}
	r := f.host("a", slow)
	f.want(c, "e", 0)
	ended := make(chan error, 1)
	go func() {
		_, err := r.Tick(context.Background())
		ended <- err
	}()
	slow.wait(c, ended)
	f.advance(ttl * 9 / 10)
	close(slow.thaw)
	c.Assert(<-ended, qt.ErrorIs, order.ErrNotHolder)
	c.Assert(f.models("e"), qt.DeepEquals, []ident.ModelName{"y"})
}

// Guards against two holders, a lease that is not renewed, and a released
// lease that blocks the next holder.
func TestOneHolder(t *testing.T) {
	c := qt.New(t)
	f := newFleet(nil)
	a, b := f.host("a", f), f.host("b", f)
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

// Guards against a holder that goes on, with the fencing number of its
// successor, after the store ended its lease early.
func TestLeaseEndedEarly(t *testing.T) {
	c := qt.New(t)
	f := newFleet(map[ident.UpstreamID]*engine{
		"e": {},
	})
	a, b := f.host("a", f), f.host("b", f)
	c.Assert(f.tick(c, a).Holder, qt.IsTrue)
	f.store.SetFaults(memkv.Faults{
		LapseLease: true,
	})
	_, err := f.store.Get(context.Background(), "order/holder")
	c.Assert(err, qt.ErrorIs, kv.ErrNotFound)
	f.store.SetFaults(memkv.Faults{})
	c.Assert(f.tick(c, b).Holder, qt.IsTrue)
	c.Assert(f.tick(c, a).Holder, qt.IsFalse)
	c.Assert(f.tick(c, b).Holder, qt.IsTrue)
}

// lossy is a store that loses the answer to the write that follows a grant.
type lossy struct {
	*memkv.Store
}

func (l lossy) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	lease, err := l.Store.Grant(ctx, ttl)
	l.SetFaults(memkv.Faults{
		LoseAnswer: 1,
	})
	return lease, err
}

// Guards against a holder that does not know its own lease after a lost
// answer, and against orders sent without the store.
func TestStoreFaults(t *testing.T) {
	tests := map[string]struct {
		faults memkv.Faults
		wrap   func(*memkv.Store) kv.Store
	}{
		"answer to the grant lost": {
			faults: memkv.Faults{
				LoseAnswer: 1,
			},
		},
		"answer to the creation of the key lost": {
			wrap: func(store *memkv.Store) kv.Store { return lossy{store} },
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
			f.want(c, "e", 0, "m")
			f.store.SetFaults(test.faults)
			store := kv.Store(f.store)
			if test.wrap != nil {
				store = test.wrap(f.store)
			}
			r := f.hostOn(store, "a", f)
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

// Guards against loads above the weight store's rate, also right after a
// change of holder, and against engines that never get their turn.
func TestLoadRate(t *testing.T) {
	c := qt.New(t)
	engines := make(map[ident.UpstreamID]*engine)
	for i := range 9 {
		engines[ident.UpstreamID(fmt.Sprint(i))] = &engine{}
	}
	f := newFleet(engines)
	for id := range engines {
		f.want(c, id, 0, "m")
	}
	a, b := f.host("a", f), f.host("b", f)
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

// Guards against one broken engine or entry that keeps the others from their orders.
func TestFaultsAreIsolated(t *testing.T) {
	c := qt.New(t)
	f := newFleet(map[ident.UpstreamID]*engine{
		"bad entry": {},
		"down": {
			down: true,
		},
		"future": {
			checks:  true,
			highest: 1 << 40,
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
		f.want(c, id, 0)
	}
	f.want(c, "loading", 0, "m")
	_, err := f.store.Put(context.Background(), kv.Put{
		Key:   "order/wanted/bad entry",
		Value: []byte("{"),
	})
	c.Assert(err, qt.IsNil)
	report := f.tick(c, f.host("a", f))
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

// Guards against a stopped host that keeps the lease from its successor.
func TestRunReleasesTheLease(t *testing.T) {
	c := qt.New(t)
	f := newFleet(nil)
	ctx, cancel := context.WithCancel(context.Background())
	ticks := make(chan time.Time)
	ended := make(chan error, 1)
	go func() { ended <- f.host("a", f).Run(ctx, ticks) }()
	ticks <- f.Now()
	held, err := f.store.Watch(ctx, "order/holder", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(held.Changes, qt.HasLen, 1)
	cancel()
	c.Assert(<-ended, qt.Equals, context.Canceled)
	c.Assert(f.tick(c, f.host("b", f)).Holder, qt.IsTrue)
}
