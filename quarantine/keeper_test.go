package quarantine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
	"github.com/nutmegshift/nutmegshift/quarantine"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var poison = quarantine.NewFingerprint("nutmeg-pool", "/draft", []byte("poison"))

// fleet simulates hosts with a shared store, and counts the upstreams that requests
// have crashed.
type fleet struct {
	store            *memkv.Store
	keepers          []*quarantine.Keeper
	partitioned      bool // hosts cannot reach each other
	unresponsive     bool // peers do not respond before the timeout
	mu               sync.Mutex
	crashedUpstreams int
	attempts         int
}

// peers is the Notifier of one host.
type peers struct {
	fleet *fleet
	host  int
}

func (p peers) Notify(ctx context.Context, rumour quarantine.Rumour) error {
	if p.fleet.partitioned {
		return errors.New("no peer is reachable")
	}
	for number, keeper := range p.fleet.keepers {
		if number != p.host {
			keeper.Observe(rumour)
		}
	}
	if p.fleet.unresponsive {
		<-ctx.Done()
	}
	return ctx.Err()
}

func newFleet(hosts int) *fleet {
	f := &fleet{
		store: memkv.New(time.Now),
	}
	for number := range hosts {
		f.keepers = append(f.keepers, quarantine.New(quarantine.Config{
			Store: f.store,
			Host:  ident.HostID(fmt.Sprintf("host-%d", number)),
			Notifier: peers{
				fleet: f,
				host:  number,
			},
		}))
	}
	return f
}

// crash counts a crash of another upstream and returns it.
func (f *fleet) crash() quarantine.Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashedUpstreams++
	return quarantine.Crash{
		Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", f.crashedUpstreams)),
	}
}

func (f *fleet) attempt() ident.AttemptID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts++
	return ident.AttemptID(fmt.Sprintf("attempt-%d", f.attempts))
}

// serve runs a request on a host, unless the quarantine refuses it, as an entry host
// does. The request crashes its upstream after a second.
func (f *fleet) serve(ctx context.Context, host int, fingerprint quarantine.Fingerprint) {
	keeper := f.keepers[host]
	switch keeper.Check(fingerprint).(type) {
	case quarantine.Blocked:
	case quarantine.Suspect:
		trial, err := keeper.Begin(ctx, fingerprint, f.attempt())
		if err != nil {
			return
		}
		time.Sleep(time.Second)
		_ = trial.Crashed(ctx, f.crash())
	case quarantine.Clear:
		time.Sleep(time.Second)
		_ = keeper.Strike(ctx, fingerprint, f.crash())
	}
}

// Guards against a request that is retried at one host after another and crashes
// more upstreams than the package documentation states.
func TestUpstreamsLost(t *testing.T) {
	const hosts = 6
	tests := map[string]struct {
		faults                    memkv.Faults
		partitioned, unresponsive bool
		firstHostTwice            bool // the first host gets the request twice before the others
		crashedUpstreams          int
	}{
		"healthy":                       {crashedUpstreams: 2},
		"peers do not respond":          {unresponsive: true, crashedUpstreams: 2},
		"store loses responses":         {faults: memkv.Faults{LoseResponse: 3}, crashedUpstreams: 2},
		"store slow":                    {faults: memkv.Faults{Delay: 400 * time.Millisecond}, crashedUpstreams: 2},
		"store down":                    {faults: memkv.Faults{Down: true}, crashedUpstreams: 1},
		"store slower than its timeout": {faults: memkv.Faults{Delay: 5 * time.Second}, crashedUpstreams: 1},
		// Each host runs the request once, as it learns of the strikes at other hosts
		// only when it records its own.
		"hosts partitioned":                     {partitioned: true, crashedUpstreams: hosts},
		"hosts partitioned, trial on the first": {partitioned: true, firstHostTwice: true, crashedUpstreams: hosts + 1},
		"hosts partitioned, and store down":     {partitioned: true, faults: memkv.Faults{Down: true}, crashedUpstreams: hosts},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(hosts)
				f.partitioned = test.partitioned
				f.unresponsive = test.unresponsive
				f.store.SetFaults(test.faults)
				if test.firstHostTwice {
					f.serve(t.Context(), 0, poison)
				}
				for retry := range 3 * hosts {
					f.serve(t.Context(), retry%hosts, poison)
				}
				qt.Assert(t, f.crashedUpstreams, qt.Equals, test.crashedUpstreams)
			})
		})
	}
}

// Guards against a host that can read the store but does not learn of strikes, and
// against records that remain after they have expired.
func TestRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(4)
		f.partitioned = true
		for host := range 4 {
			c.Assert(f.keepers[host].Refresh(t.Context()), qt.IsNil)
			f.serve(t.Context(), host, poison)
		}
		c.Assert(f.crashedUpstreams, qt.Equals, 2)
		time.Sleep(quarantine.BlockPeriod)
		c.Assert(f.keepers[0].Check(poison), qt.Equals, quarantine.Clear{})
		c.Assert(f.keepers[0].Refresh(t.Context()), qt.IsNil)
		page, err := f.store.List(t.Context(), "quarantine/", "", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Entries, qt.HasLen, 0)
	})
}

// Guards against concurrent trials of one request.
func TestOneTrial(t *testing.T) {
	for name, faults := range map[string]memkv.Faults{
		"healthy":               {},
		"store slow":            {Delay: 200 * time.Millisecond},
		"store loses responses": {LoseResponse: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(4)
				f.serve(t.Context(), 0, poison)
				f.store.SetFaults(faults)
				var hosts sync.WaitGroup
				for host := range 4 {
					hosts.Go(func() { f.serve(t.Context(), host, poison) })
				}
				hosts.Wait()
				c.Assert(f.crashedUpstreams, qt.Equals, 2)
				for _, keeper := range f.keepers {
					_, blocked := keeper.Check(poison).(quarantine.Blocked)
					c.Assert(blocked, qt.IsTrue)
				}
			})
		})
	}
}

// Guards against the mark of a trial that stays after its host has crashed, and
// against a block that never ends.
func TestTrialHostDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		f := newFleet(3)
		f.serve(ctx, 0, poison)
		_, err := f.keepers[0].Begin(ctx, poison, "dies")
		c.Assert(err, qt.IsNil)
		_, err = f.keepers[1].Begin(ctx, poison, "early")
		c.Assert(errors.Is(err, quarantine.ErrTrying), qt.IsTrue)
		time.Sleep(quarantine.TrialLimit)
		_, err = f.keepers[1].Begin(ctx, poison, "late")
		c.Assert(errors.Is(err, quarantine.ErrBlocked), qt.IsTrue)
		_, err = f.keepers[2].Begin(ctx, poison, "later")
		c.Assert(errors.Is(err, quarantine.ErrBlocked), qt.IsTrue)
		time.Sleep(quarantine.BlockPeriod)
		for _, keeper := range f.keepers {
			c.Assert(keeper.Check(poison), qt.Equals, quarantine.Clear{})
		}
	})
}

// Guards against an innocent request that stays a suspect after a successful trial,
// because it was in flight on an upstream that another request crashed.
func TestInnocentRequestCleared(t *testing.T) {
	innocent := quarantine.NewFingerprint("nutmeg-pool", "/draft", []byte("innocent"))
	tests := map[string]struct {
		faults memkv.Faults // injected while the trial ends
		delay  time.Duration
	}{
		"healthy":                {},
		"response lost":          {faults: memkv.Faults{LoseResponse: 2}},
		"longer than TrialLimit": {delay: quarantine.TrialLimit + time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx := t.Context()
				f := newFleet(3)
				shared := f.crash()
				c.Assert(f.keepers[0].Strike(ctx, poison, shared), qt.IsNil)
				c.Assert(f.keepers[0].Strike(ctx, innocent, shared), qt.IsNil)
				trial, err := f.keepers[1].Begin(ctx, innocent, "trial")
				c.Assert(err, qt.IsNil)
				time.Sleep(test.delay)
				if test.delay > 0 {
					_, err := f.keepers[2].Begin(ctx, innocent, "late")
					c.Assert(errors.Is(err, quarantine.ErrBlocked), qt.IsTrue)
				}
				f.store.SetFaults(test.faults)
				c.Assert(trial.Succeeded(ctx), qt.IsNil)
				// The rumour of the strike arrives again, after the request was cleared.
				f.keepers[2].Observe(quarantine.Rumour{
					Fingerprint: innocent,
					Crash:       shared,
					Time:        time.Now(),
				})
				for _, keeper := range f.keepers {
					c.Assert(keeper.Refresh(ctx), qt.IsNil)
					c.Assert(keeper.Check(innocent), qt.Equals, quarantine.Clear{})
					_, suspect := keeper.Check(poison).(quarantine.Suspect)
					c.Assert(suspect, qt.IsTrue)
				}
			})
		})
	}
}

// Guards against a strike that waits for peers or the store beyond its timeouts,
// against a crash that counts twice, and against an abandoned trial that keeps
// blocking others.
func TestStrikeBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		f := newFleet(2)
		f.unresponsive = true
		crash := f.crash()
		begin := time.Now()
		c.Assert(f.keepers[0].Strike(ctx, poison, crash), qt.IsNil)
		c.Assert(time.Since(begin), qt.Equals, 300*time.Millisecond)
		c.Assert(f.keepers[1].Strike(ctx, poison, crash), qt.IsNil)
		trial, err := f.keepers[1].Begin(ctx, poison, "abandoned")
		c.Assert(err, qt.IsNil)
		c.Assert(trial.Abandoned(ctx), qt.IsNil)
		trial, err = f.keepers[0].Begin(ctx, poison, "next")
		c.Assert(err, qt.IsNil)
		c.Assert(trial.Abandoned(ctx), qt.IsNil)

		f.store.SetFaults(memkv.Faults{
			Delay: time.Minute,
		})
		begin = time.Now()
		c.Assert(errors.Is(f.keepers[0].Strike(ctx, poison, f.crash()), quarantine.ErrStore), qt.IsTrue)
		c.Assert(time.Since(begin), qt.Equals, 2*time.Second)
		_, blocked := f.keepers[1].Check(poison).(quarantine.Blocked)
		c.Assert(blocked, qt.IsTrue)
	})
}
