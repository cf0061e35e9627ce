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

// fleet is a set of hosts, with a count of the upstreams that requests have crashed.
type fleet struct {
	store    *memkv.Store
	keepers  []*quarantine.Keeper
	cut      bool // hosts cannot reach each other
	mute     bool // peers do not answer
	mu       sync.Mutex
	lost     int
	attempts int
}

// peers is the notifier of one host.
type peers struct {
	fleet *fleet
	from  int
}

func (p peers) Notify(ctx context.Context, rumour quarantine.Rumour) error {
	if p.fleet.cut {
		return errors.New("no peer can be reached")
	}
	for number, keeper := range p.fleet.keepers {
		if number != p.from {
			keeper.Observe(rumour)
		}
	}
	if p.fleet.mute {
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
				from:  number,
			},
		}))
	}
	return f
}

// crash counts the loss of an upstream and names it.
func (f *fleet) crash() quarantine.Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost++
	return quarantine.Crash{
		Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", f.lost)),
	}
}

func (f *fleet) attempt() ident.AttemptID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts++
	return ident.AttemptID(fmt.Sprintf("attempt-%d", f.attempts))
}

// serve runs a request on a host as an entry host does, if it is admitted. The
// request crashes its upstream after a second.
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

// Guards against a request that is resent host after host and crashes more upstreams than stated.
func TestUpstreamsLost(t *testing.T) {
	const hosts = 6
	tests := map[string]struct {
		faults    memkv.Faults
		cut, mute bool
		twice     bool // the first host gets the request twice before the others
		lost      int
	}{
		"healthy":                        {lost: 2},
		"peers do not answer":            {mute: true, lost: 2},
		"store loses answers":            {faults: memkv.Faults{LoseAnswer: 3}, lost: 2},
		"store slow":                     {faults: memkv.Faults{Delay: 400 * time.Millisecond}, lost: 2},
		"store down":                     {faults: memkv.Faults{Down: true}, lost: 1},
		"store slower than its time-out": {faults: memkv.Faults{Delay: 5 * time.Second}, lost: 1},
		// Each host runs the request once before its own strike tells it of the others'.
		"hosts cannot talk":                     {cut: true, lost: hosts},
		"hosts cannot talk, trial on the first": {cut: true, twice: true, lost: hosts + 1},
		"hosts cannot talk, and store down":     {cut: true, faults: memkv.Faults{Down: true}, lost: hosts},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(hosts)
				f.cut = test.cut
				f.mute = test.mute
				f.store.SetFaults(test.faults)
				if test.twice {
					f.serve(t.Context(), 0, poison)
				}
				for resend := range 3 * hosts {
					f.serve(t.Context(), resend%hosts, poison)
				}
				qt.Assert(t, f.lost, qt.Equals, test.lost)
			})
		})
	}
}

// Guards against a host that stays unaware of strikes although it can read the store.
func TestRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(4)
		f.cut = true
		for host := range 4 {
			c.Assert(f.keepers[host].Refresh(t.Context()), qt.IsNil)
			f.serve(t.Context(), host, poison)
		}
		c.Assert(f.lost, qt.Equals, 2)
		time.Sleep(quarantine.BlockPeriod)
		c.Assert(f.keepers[0].Check(poison), qt.Equals, quarantine.Clear{})
		c.Assert(f.keepers[0].Refresh(t.Context()), qt.IsNil)
		page, err := f.store.List(t.Context(), "quarantine/", "", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Entries, qt.HasLen, 0)
	})
}

// Guards against two trials of one request at once.
func TestOneTrial(t *testing.T) {
	for name, faults := range map[string]memkv.Faults{
		"healthy":             {},
		"store slow":          {Delay: 200 * time.Millisecond},
		"store loses answers": {LoseAnswer: 2},
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
				c.Assert(f.lost, qt.Equals, 2)
				for _, keeper := range f.keepers {
					_, blocked := keeper.Check(poison).(quarantine.Blocked)
					c.Assert(blocked, qt.IsTrue)
				}
			})
		})
	}
}

// Guards against a trial mark that outlives its host, and against a block that never ends.
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

// Guards against an innocent request that stays a suspect because it shared a crashed upstream.
func TestInnocent(t *testing.T) {
	innocent := quarantine.NewFingerprint("nutmeg-pool", "/draft", []byte("innocent"))
	tests := map[string]struct {
		faults memkv.Faults // while the trial ends
		delay  time.Duration
	}{
		"healthy":                    {},
		"answer lost":                {faults: memkv.Faults{LoseAnswer: 2}},
		"longer than the mark holds": {delay: quarantine.TrialLimit + time.Second},
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
				// The rumour of the strike arrives once more, late.
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

// Guards against a strike that waits for peers or the store longer than stated,
// against one crash that counts twice, and against a trial that blocks others after it was abandoned.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		f := newFleet(2)
		f.mute = true
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
