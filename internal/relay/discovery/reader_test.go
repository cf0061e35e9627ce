package discovery_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// settleTime bounds how long a test waits for what must happen.
const settleTime = 10 * time.Second

// safeView is a view that may be read while a replica runs.
type safeView struct {
	mu   sync.Mutex
	view *view
}

func (v *safeView) Put(entry kv.Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.view.Put(entry)
}

func (v *safeView) Removed(key kv.Key, version kv.Version, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.view.Removed(key, version, until)
}

func (v *safeView) has(key kv.Key, version kv.Version) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view.entries[key] == version
}

// deafStore is a store whose watches report nothing, and that answers only a part
// of the listings.
type deafStore struct {
	kv.Store
	deaf  atomic.Bool
	pages atomic.Int64 // that were asked for
	fails func(page int64) bool
}

func (s *deafStore) List(ctx context.Context, prefix, after kv.Key, limit int) (kv.Page, error) {
	if page := s.pages.Add(1); s.fails != nil && s.fails(page) {
		return kv.Page{}, kv.ErrUnavailable
	}
	return s.Store.List(ctx, prefix, after, limit)
}

func (s *deafStore) Watch(ctx context.Context, prefix kv.Key, after kv.Cursor) (kv.Changes, error) {
	if s.deaf.Load() {
		<-ctx.Done()
		return kv.Changes{}, ctx.Err()
	}
	return s.Store.Watch(ctx, prefix, after)
}

// fixture is one host with a reader.
type fixture struct {
	store   *deafStore
	held    *memkv.Store
	view    *safeView
	replica *discovery.Replica
	health  *discovery.Health
	reads   atomic.Bool
	passes  atomic.Int64
}

func start1(t *testing.T, reads bool) *fixture {
	return startWith(t, reads, func(*discovery.ReaderConfig) {})
}

func startWith(t *testing.T, reads bool, change func(config *discovery.ReaderConfig)) *fixture {
	f := &fixture{
		held: memkv.New(time.Now),
		view: &safeView{
			view: newView(),
		},
	}
	f.store = &deafStore{
		Store: f.held,
	}
	f.reads.Store(reads)
	f.health = discovery.NewHealth(zerolog.Nop(), time.Now)
	f.replica = discovery.NewReplica(f.view, renewal, time.Now)
	config := discovery.ReaderConfig{
		Store:   f.store,
		Health:  f.health,
		Replica: f.replica,
		Key:     "op/config",
		Age:     time.Second,
		Reads:   f.reads.Load,
		Hosts:   func() int { return 2 },
		Pass:    func(context.Context) { f.passes.Add(1) },
	}
	change(&config)
	reader := discovery.NewReader(config)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- reader.Run(ctx) }(ctx)
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
	return f
}

func (f *fixture) create(c *qt.C, key kv.Key) kv.Version {
	version, err := f.held.Put(context.Background(), kv.Put{
		Key: key,
	})
	c.Assert(err, qt.IsNil)
	return version
}

// eventually fails the test if a condition does not come true.
func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > settleTime {
			c.Fatalf("%s: not within %s", what, settleTime)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against changes that a host learns late: by a watch that is silent, as
// one that was not a reader, or after an outage.
func TestReaderSeesChanges(t *testing.T) {
	tests := map[string]struct {
		reads  bool
		before func(f *fixture) // happens before the change
		after  func(f *fixture) // happens after it
	}{
		"reader":                    {reads: true},
		"reader with silent watch":  {reads: true, before: func(f *fixture) { f.store.deaf.Store(true) }},
		"not a reader":              {reads: false},
		"becomes a reader":          {reads: false, after: func(f *fixture) { f.reads.Store(true) }},
		"is no longer a reader":     {reads: true, after: func(f *fixture) { f.reads.Store(false) }},
		"history is dropped":        {reads: true, before: func(f *fixture) { f.store.deaf.Store(true) }, after: func(f *fixture) { f.held.Compact() }},
		"watches are cut":           {reads: true, before: func(f *fixture) { f.held.SetFaults(memkv.Faults{DropWatch: true}) }},
		"store was away meanwhile":  {reads: true, after: func(f *fixture) { f.outage(300 * time.Millisecond) }},
		"away, for a passive host":  {reads: false, after: func(f *fixture) { f.outage(300 * time.Millisecond) }},
		"slow store":                {reads: true, before: func(f *fixture) { f.held.SetFaults(memkv.Faults{Delay: 50 * time.Millisecond}) }},
		"silent watch, then reader": {reads: false, before: func(f *fixture) { f.store.deaf.Store(true) }, after: func(f *fixture) { f.reads.Store(true) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := start1(t, test.reads)
			first := f.create(c, "op/config")
			eventually(c, "first entry", func() bool { return f.view.has("op/config", first) })
			if test.before != nil {
				test.before(f)
			}
			second := f.create(c, "servers/a")
			if test.after != nil {
				test.after(f)
			}
			eventually(c, "second entry", func() bool { return f.view.has("servers/a", second) })
		})
	}
}

func (f *fixture) outage(length time.Duration) {
	f.held.SetFaults(memkv.Faults{
		Down: true,
	})
	time.Sleep(length)
	f.held.SetFaults(memkv.Faults{})
}

// Guards against hosts that call the store although others confirm their replicas.
func TestPassiveHostDoesNotRead(t *testing.T) {
	c := qt.New(t)
	f := start1(t, false)
	f.create(c, "op/config")
	eventually(c, "first listing", func() bool { return f.replica.Cursor() > 0 })
	time.Sleep(200 * time.Millisecond) // the polls after a listing of nothing
	before := f.held.Counts()
	for range 30 {
		f.replica.Confirm(f.replica.Cursor(), 0)
		time.Sleep(50 * time.Millisecond)
	}
	c.Assert(f.held.Counts(), qt.Equals, before)
}

// Guards against many calls to a store that is down, each of which counts.
func TestOutageIsNotHammered(t *testing.T) {
	c := qt.New(t)
	f := start1(t, true)
	f.create(c, "op/config")
	eventually(c, "first listing", func() bool { return f.replica.Cursor() > 0 })
	f.held.SetFaults(memkv.Faults{
		Down: true,
	})
	eventually(c, "loss is noticed", func() bool {
		_, lost := f.health.Lost()
		return lost
	})
	before := f.held.Counts().Reads
	time.Sleep(2 * time.Second)
	c.Assert(f.held.Counts().Reads-before < 15, qt.IsTrue, qt.Commentf("%d calls in two seconds", f.held.Counts().Reads-before))
}

// Guards against readers that the store turns away, for which other hosts wait in
// vain, and against reading that goes from host to host while the store answers
// nobody.
func TestReaderPassesOn(t *testing.T) {
	tests := map[string]struct {
		away   bool // the store, for this host
		others bool // confirm the replica, so the store answers them
		least  int64
		most   int64 // in a second
	}{
		"store answers":         {others: true},
		"this host turned away": {away: true, others: true, least: 1, most: 3},
		"away for all":          {away: true, least: 1, most: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := start1(t, true)
			f.create(c, "op/config")
			eventually(c, "first listing", func() bool { return f.replica.Cursor() > 0 })
			f.held.SetFaults(memkv.Faults{
				Down: test.away,
			})
			for range 100 {
				if test.others {
					f.replica.Confirm(f.replica.Cursor(), 0)
				}
				time.Sleep(10 * time.Millisecond)
			}
			passes := f.passes.Load()
			c.Check(passes >= test.least && passes <= test.most, qt.IsTrue, qt.Commentf("%d passes", passes))
		})
	}
}

// Guards against impatience that sends the reading around while the store is down,
// and against patience for which the hosts that it answers wait.
func TestPatience(t *testing.T) {
	tests := map[string]struct {
		silence, want time.Duration
	}{
		"others are answered": {silence: 100 * time.Millisecond, want: 300 * time.Millisecond},
		"nobody, for a while": {silence: 2 * time.Second, want: time.Second},
		"nobody, for long":    {silence: time.Minute, want: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, discovery.Patience(test.silence), qt.Equals, test.want)
		})
	}
}

// Guards against a large fleet whose hosts all list the store as they start, and
// against a host that waits in vain for others.
func TestStart(t *testing.T) {
	tests := map[string]struct {
		leads  bool
		hosts  int
		others bool  // bring the entries after 100 ms
		pages  int64 // by the time that the host has the entries
		least  time.Duration
		most   time.Duration
	}{
		"one that leads":                   {leads: true, hosts: 100, pages: 1, most: 250 * time.Millisecond},
		"others bring it":                  {hosts: 100, others: true, pages: 0, most: 500 * time.Millisecond},
		"alone":                            {hosts: 1, pages: 1, least: 250 * time.Millisecond, most: time.Second},
		"nobody brings it, in a large one": {hosts: 100, pages: 1, least: 900 * time.Millisecond, most: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			began := time.Now()
			f := startWith(t, false, func(config *discovery.ReaderConfig) {
				config.Leads = test.leads
				config.Hosts = func() int { return test.hosts }
				_, err := config.Store.Put(context.Background(), kv.Put{
					Key: "op/config",
				})
				c.Assert(err, qt.IsNil)
			})
			if test.others {
				time.Sleep(100 * time.Millisecond)
				f.replica.Apply(discovery.Delta{
					Cursor: 1,
					Changes: []kv.Change{{
						Entry: kv.Entry{
							Key:     "op/config",
							Version: 1,
						},
					}},
				})
			}
			eventually(c, "entry", func() bool { return f.view.has("op/config", 1) })
			took := time.Since(began)
			c.Check(took >= test.least && took <= test.most, qt.IsTrue, qt.Commentf("%s", took))
			c.Check(f.store.pages.Load(), qt.Equals, test.pages)
		})
	}
}

// Guards against a listing that starts from its first page again because one
// page was lost.
func TestLostPage(t *testing.T) {
	c := qt.New(t)
	f := startWith(t, true, func(config *discovery.ReaderConfig) {
		store := config.Store.(*deafStore)
		store.fails = func(page int64) bool { return page == 2 }
		for i := range 600 {
			_, err := store.Put(context.Background(), kv.Put{
				Key: kv.Key(fmt.Sprintf("servers/%03d", i)),
			})
			c.Assert(err, qt.IsNil)
		}
	})
	eventually(c, "last entry", func() bool { return f.view.has("servers/599", 600) })
	c.Check(f.store.pages.Load(), qt.Equals, int64(3))
}
