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

// waitTimeout bounds how long a test waits for a condition.
const waitTimeout = 10 * time.Second

// syncRecorder is a recorder that is safe for concurrent use.
type syncRecorder struct {
	mu       sync.Mutex
	recorder *recorder
}

func (r *syncRecorder) Put(entry kv.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.Put(entry)
}

func (r *syncRecorder) Removed(key kv.Key, version kv.Version, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.Removed(key, version, until)
}

func (r *syncRecorder) has(key kv.Key, version kv.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorder.entries[key] == version
}

// faultyStore is a store whose watches may report nothing and whose listings may
// fail.
type faultyStore struct {
	kv.Store
	silent   atomic.Bool
	pages    atomic.Int64          // number of requested pages
	bytes    atomic.Int64          // of the values in these pages
	failPage func(page int64) bool // nil if no page fails
}

func (s *faultyStore) List(ctx context.Context, prefix, after kv.Key, limit int) (kv.Page, error) {
	if page := s.pages.Add(1); s.failPage != nil && s.failPage(page) {
		return kv.Page{}, kv.ErrUnavailable
	}
	page, err := s.Store.List(ctx, prefix, after, limit)
	for _, entry := range page.Entries {
		s.bytes.Add(int64(len(entry.Value)))
	}
	return page, err
}

func (s *faultyStore) Watch(ctx context.Context, prefix kv.Key, after kv.Cursor) (kv.Changes, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return kv.Changes{}, ctx.Err()
	}
	return s.Store.Watch(ctx, prefix, after)
}

// fixture holds the discovery components of one host.
type fixture struct {
	store     *faultyStore
	backing   *memkv.Store
	sink      *syncRecorder
	replica   *discovery.Replica
	health    *discovery.Health
	isReader  atomic.Bool
	handovers atomic.Int64
}

func startReader(t *testing.T, isReader bool) *fixture {
	return startReaderWith(t, isReader, func(*discovery.ReaderConfig) {})
}

func startReaderWith(t *testing.T, isReader bool, change func(config *discovery.ReaderConfig)) *fixture {
	f := &fixture{
		backing: memkv.New(time.Now),
		sink: &syncRecorder{
			recorder: newRecorder(),
		},
	}
	f.store = &faultyStore{
		Store: f.backing,
	}
	f.isReader.Store(isReader)
	f.health = discovery.NewHealth(zerolog.Nop(), time.Now)
	f.replica = discovery.NewReplica(f.sink, renewal, time.Now, anySize)
	config := discovery.ReaderConfig{
		Store:     f.store,
		Health:    f.health,
		Replica:   f.replica,
		ProbeKey:  "op/config",
		MaxAge:    time.Second,
		IsReader:  f.isReader.Load,
		LiveHosts: func() int { return 2 },
		HandOver:  func(context.Context) { f.handovers.Add(1) },
		AskHosts:  func(context.Context) {},
		ListStale: func(context.Context, kv.Key, kv.Key, int) (kv.Page, error) { return kv.Page{}, kv.ErrUnavailable },
	}
	change(&config)
	reader := discovery.NewReader(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func(ctx context.Context) { done <- reader.Run(ctx) }(ctx)
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return f
}

func (f *fixture) create(c *qt.C, key kv.Key) kv.Version {
	version, err := f.backing.Put(context.Background(), kv.Put{
		Key: key,
	})
	c.Assert(err, qt.IsNil)
	return version
}

// eventually waits for a condition, and fails the test if it is not met within
// waitTimeout.
func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	startTime := time.Now()
	for !ok() {
		if time.Since(startTime) > waitTimeout {
			c.Fatalf("%s: not within %s", what, waitTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against changes that do not reach a host because its watch is silent, because
// it is not a reader, or because of an outage.
func TestReaderSeesChanges(t *testing.T) {
	tests := map[string]struct {
		isReader bool
		before   func(f *fixture) // runs before the change
		after    func(f *fixture) // runs after the change
	}{
		"reader":                    {isReader: true},
		"reader with silent watch":  {isReader: true, before: func(f *fixture) { f.store.silent.Store(true) }},
		"not a reader":              {isReader: false},
		"becomes a reader":          {isReader: false, after: func(f *fixture) { f.isReader.Store(true) }},
		"no longer a reader":        {isReader: true, after: func(f *fixture) { f.isReader.Store(false) }},
		"history is compacted":      {isReader: true, before: func(f *fixture) { f.store.silent.Store(true) }, after: func(f *fixture) { f.backing.Compact() }},
		"watches are dropped":       {isReader: true, before: func(f *fixture) { f.backing.SetFaults(memkv.Faults{DropWatch: true}) }},
		"outage, reader":            {isReader: true, after: func(f *fixture) { f.outage(300 * time.Millisecond) }},
		"outage, not a reader":      {isReader: false, after: func(f *fixture) { f.outage(300 * time.Millisecond) }},
		"slow store":                {isReader: true, before: func(f *fixture) { f.backing.SetFaults(memkv.Faults{Delay: 50 * time.Millisecond}) }},
		"silent watch, then reader": {isReader: false, before: func(f *fixture) { f.store.silent.Store(true) }, after: func(f *fixture) { f.isReader.Store(true) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := startReader(t, test.isReader)
			first := f.create(c, "op/config")
			eventually(c, "first entry", func() bool { return f.sink.has("op/config", first) })
			if test.before != nil {
				test.before(f)
			}
			second := f.create(c, "servers/a")
			if test.after != nil {
				test.after(f)
			}
			eventually(c, "second entry", func() bool { return f.sink.has("servers/a", second) })
		})
	}
}

func (f *fixture) outage(length time.Duration) {
	f.backing.SetFaults(memkv.Faults{
		Down: true,
	})
	time.Sleep(length)
	f.backing.SetFaults(memkv.Faults{})
}

// Guards against a host that calls the store without a pause, because a listing has no
// cursor.
func TestListingWithoutCursor(t *testing.T) {
	c := qt.New(t)
	f := startReader(t, true)
	time.Sleep(time.Second)
	const maxPages = 20
	c.Check(f.store.pages.Load() < maxPages, qt.IsTrue, qt.Commentf("%d pages", f.store.pages.Load()))
	version := f.create(c, "op/config")
	eventually(c, "first entry", func() bool { return f.sink.has("op/config", version) })
}

// Guards against polls that read the whole table: one of 1 MB takes longer than the poll
// interval on a link of 10 Mbit/s, and delays the watch that brings the next one.
func TestPollsReadNoValues(t *testing.T) {
	c := qt.New(t)
	f := startReader(t, true)
	_, err := f.backing.Put(t.Context(), kv.Put{
		Key:   "op/config",
		Value: make([]byte, 500_000),
	})
	c.Assert(err, qt.IsNil)
	eventually(c, "first listing", func() bool { return f.replica.Cursor() > 0 })
	time.Sleep(200 * time.Millisecond) // lets polls that follow an empty listing finish
	pages, bytes := f.store.pages.Load(), f.store.bytes.Load()
	eventually(c, "three polls", func() bool { return f.store.pages.Load() >= pages+3 })
	c.Check(f.store.bytes.Load()-bytes, qt.Equals, int64(0))
}

// Guards against a host that lists all entries although others can send it the few that it
// lacks: with a large table, that takes seconds on a slow link.
func TestHostBehindAsksOthers(t *testing.T) {
	c := qt.New(t)
	var f *fixture
	var asked atomic.Int64
	ready := make(chan struct{})
	f = startReaderWith(t, false, func(config *discovery.ReaderConfig) {
		config.AskHosts = func(ctx context.Context) {
			<-ready
			asked.Add(1)
			changes, err := f.backing.Watch(ctx, "", f.replica.Cursor())
			c.Check(err, qt.IsNil)
			f.replica.ApplyWatch(f.replica.Cursor(), changes)
		}
	})
	close(ready)
	first := f.create(c, "op/config")
	eventually(c, "first entry", func() bool { return f.sink.has("op/config", first) })
	before := f.store.pages.Load()
	second := f.create(c, "servers/a")
	eventually(c, "second entry", func() bool { return f.sink.has("servers/a", second) })
	eventually(c, "confirmation", func() bool { return f.replica.Age() < time.Second/2 })
	c.Check(asked.Load(), qt.Equals, int64(1))
	c.Check(f.store.pages.Load()-before, qt.Equals, int64(1), qt.Commentf("pages, a poll"))
}

// Guards against hosts that call the store although other hosts confirm their replicas.
func TestPassiveHostDoesNotRead(t *testing.T) {
	c := qt.New(t)
	f := startReader(t, false)
	f.create(c, "op/config")
	eventually(c, "first listing", func() bool { return f.replica.Cursor() > 0 })
	time.Sleep(200 * time.Millisecond) // lets polls that follow an empty listing finish
	before := f.backing.Counts()
	for range 30 {
		f.replica.Confirm(f.replica.Cursor(), 0)
		time.Sleep(50 * time.Millisecond)
	}
	c.Assert(f.backing.Counts(), qt.Equals, before)
}

// Guards against many calls to a store that is down: each counts against its limits.
func TestBackoffDuringOutage(t *testing.T) {
	c := qt.New(t)
	f := startReader(t, true)
	f.create(c, "op/config")
	eventually(c, "first listing", func() bool { return f.replica.Cursor() > 0 })
	f.backing.SetFaults(memkv.Faults{
		Down: true,
	})
	eventually(c, "outage is detected", func() bool {
		_, unavailable := f.health.UnavailableSince()
		return unavailable
	})
	before := f.backing.Counts().Reads
	time.Sleep(2 * time.Second)
	c.Assert(f.backing.Counts().Reads-before < 15, qt.IsTrue, qt.Commentf("%d calls in two seconds", f.backing.Counts().Reads-before))
}

// Guards against a reader that does not hand over although its calls to the store fail,
// so that other hosts wait for updates in vain, and against readers that hand over in
// quick succession while the store responds to no host.
func TestReaderHandsOver(t *testing.T) {
	tests := map[string]struct {
		down         bool // the store is down for this host
		confirmed    bool // other hosts, to which the store responds, confirm the replica
		minHandovers int64
		maxHandovers int64 // in one second
	}{
		"store available":          {confirmed: true},
		"store down for this host": {down: true, confirmed: true, minHandovers: 1, maxHandovers: 3},
		"store down for all hosts": {down: true, minHandovers: 1, maxHandovers: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := startReader(t, true)
			f.create(c, "op/config")
			eventually(c, "first listing", func() bool { return f.replica.Cursor() > 0 })
			f.backing.SetFaults(memkv.Faults{
				Down: test.down,
			})
			for range 100 {
				if test.confirmed {
					f.replica.Confirm(f.replica.Cursor(), 0)
				}
				time.Sleep(10 * time.Millisecond)
			}
			handovers := f.handovers.Load()
			c.Check(handovers >= test.minHandovers && handovers <= test.maxHandovers, qt.IsTrue, qt.Commentf("%d handovers", handovers))
		})
	}
}

// Guards against a timeout so short that readers keep handing over while the store is
// down, and against one so long that hosts miss updates although the store
// responds to others.
func TestHandoverTimeout(t *testing.T) {
	tests := map[string]struct {
		silence, want time.Duration
	}{
		"store answers others":       {silence: 100 * time.Millisecond, want: 300 * time.Millisecond},
		"short outage for all hosts": {silence: 2 * time.Second, want: time.Second},
		"long outage for all hosts":  {silence: time.Minute, want: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, discovery.HandoverTimeout(test.silence), qt.Equals, test.want)
		})
	}
}

// Guards against a large fleet whose hosts all list the store when they start, and
// against a host that waits forever for others to send the entries.
func TestInitialListing(t *testing.T) {
	tests := map[string]struct {
		listsFirst bool
		hosts      int
		sent       bool  // another host sends the entries after 100 ms
		pages      int64 // requested until the host has the entries
		minTime    time.Duration
		maxTime    time.Duration
	}{
		"host that lists first":                  {listsFirst: true, hosts: 100, pages: 1, maxTime: 250 * time.Millisecond},
		"another host sends the entries":         {hosts: 100, sent: true, pages: 0, maxTime: 500 * time.Millisecond},
		"alone":                                  {hosts: 1, pages: 1, minTime: 250 * time.Millisecond, maxTime: time.Second},
		"no host sends the entries, large fleet": {hosts: 100, pages: 1, minTime: 900 * time.Millisecond, maxTime: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			startTime := time.Now()
			f := startReaderWith(t, false, func(config *discovery.ReaderConfig) {
				config.ListsFirst = test.listsFirst
				config.LiveHosts = func() int { return test.hosts }
				_, err := config.Store.Put(context.Background(), kv.Put{
					Key: "op/config",
				})
				c.Assert(err, qt.IsNil)
			})
			if test.sent {
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
			eventually(c, "entry", func() bool { return f.sink.has("op/config", 1) })
			elapsed := time.Since(startTime)
			c.Check(elapsed >= test.minTime && elapsed <= test.maxTime, qt.IsTrue, qt.Commentf("%s", elapsed))
			c.Check(f.store.pages.Load(), qt.Equals, test.pages)
		})
	}
}

// Guards against a listing that restarts from its first page because the response to
// a later page was lost.
func TestLostPage(t *testing.T) {
	c := qt.New(t)
	f := startReaderWith(t, true, func(config *discovery.ReaderConfig) {
		store := config.Store.(*faultyStore)
		store.failPage = func(page int64) bool { return page == 2 }
		for i := range 600 {
			_, err := store.Put(context.Background(), kv.Put{
				Key: kv.Key(fmt.Sprintf("servers/%03d", i)),
			})
			c.Assert(err, qt.IsNil)
		}
	})
	eventually(c, "last entry", func() bool { return f.sink.has("servers/599", 600) })
	c.Check(f.store.pages.Load(), qt.Equals, int64(3))
}

// Guards against hosts that all read the store when they start together, or that wait for
// each other although a stale listing would do, and against a host that goes on with a
// stale listing that nobody confirms.
func TestStaleListing(t *testing.T) {
	tests := map[string]struct {
		more      bool // the listing has further pages
		confirmed bool // other hosts confirm the replica
		maxTime   time.Duration
		calls     bool // the host calls the store in three seconds
	}{
		"confirmed":          {confirmed: true, maxTime: 200 * time.Millisecond},
		"not confirmed":      {maxTime: 200 * time.Millisecond, calls: true},
		"several pages":      {more: true, confirmed: true, maxTime: 2 * time.Second, calls: true},
		"several pages, not": {more: true, maxTime: 2 * time.Second, calls: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			startTime := time.Now()
			f := startReaderWith(t, false, func(config *discovery.ReaderConfig) {
				_, err := config.Store.Put(context.Background(), kv.Put{
					Key: "op/config",
				})
				c.Assert(err, qt.IsNil)
				backing := config.Store.(*faultyStore).Store
				config.ListStale = func(ctx context.Context, prefix, after kv.Key, limit int) (kv.Page, error) {
					page, err := backing.List(ctx, prefix, after, limit)
					page.More = test.more
					return page, err
				}
			})
			eventually(c, "entry", func() bool { return f.sink.has("op/config", 1) })
			c.Check(time.Since(startTime) < test.maxTime, qt.IsTrue, qt.Commentf("%s", time.Since(startTime)))
			c.Check(f.replica.Age() > time.Minute || test.more, qt.IsTrue, qt.Commentf("a stale listing confirms nothing"))
			for time.Since(startTime) < 3*time.Second {
				if test.confirmed {
					f.replica.Confirm(f.replica.Cursor(), 0)
				}
				time.Sleep(20 * time.Millisecond)
			}
			c.Check(f.store.pages.Load() > 0, qt.Equals, test.calls, qt.Commentf("%d pages", f.store.pages.Load()))
		})
	}
}
