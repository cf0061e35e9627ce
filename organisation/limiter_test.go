package organisation_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/organisation"
)

// backend simulates an upstream with a fixed number of slots and an unbounded FIFO
// queue, so that its latency rises with excess concurrency.
type backend struct {
	mu     sync.Mutex
	freeAt []time.Time // time from which each slot is free
	random *rand.Rand
}

const (
	slots   = 20
	service = 200 * time.Millisecond // mean service time
	// capacity is the maximum rate of completed requests per second.
	capacity = slots / 0.2
)

func newBackend() *backend {
	return &backend{
		freeAt: make([]time.Time, slots),
		random: rand.New(rand.NewPCG(3, 9)),
	}
}

func (b *backend) serve() {
	b.mu.Lock()
	now := time.Now()
	slot := 0
	for i, at := range b.freeAt {
		if at.Before(b.freeAt[slot]) {
			slot = i
		}
	}
	start := b.freeAt[slot]
	if start.Before(now) {
		start = now
	}
	end := start.Add(service/2 + time.Duration(b.random.ExpFloat64()*float64(service/2)))
	b.freeAt[slot] = end
	b.mu.Unlock()
	time.Sleep(end.Sub(now))
}

// tally counts the requests of one organisation by outcome.
type tally struct {
	offered, inTime, late, overload, deadline int
}

func (t *tally) inTimeRatio() float64 { return float64(t.inTime) / float64(t.offered) }

// offer sends requests at a mean rate per second for d; each has a deadline of one
// second.
func offer(l *organisation.Limiter, b *backend, id ident.OrganisationID, rate float64, d time.Duration, seed uint64) *tally {
	t := &tally{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(seed, 5))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		t.offered++
		wg.Go(func() {
			deadline := time.Now().Add(time.Second)
			permit, err := l.Acquire(context.Background(), id, 1, deadline)
			if err == nil {
				b.serve()
				permit.Release(organisation.Completed{})
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case errors.Is(err, organisation.ErrOverload):
				t.overload++
			case errors.Is(err, organisation.ErrDeadline):
				t.deadline++
			case time.Now().After(deadline):
				t.late++
			default:
				t.inTime++
			}
		})
	}
	wg.Wait()
	return t
}

func newLimiter(shares map[ident.OrganisationID]float64) *organisation.Limiter {
	return organisation.New(organisation.Config{
		Now:    time.Now,
		Shares: shares,
	})
}

// Guards against a large organisation starving a small one.
func TestSmallOrganisationNotCrowdedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, b := newLimiter(nil), newBackend()
		var large, small *tally
		var wg sync.WaitGroup
		wg.Go(func() { large = offer(l, b, "large", 2*capacity, time.Minute, 1) })
		wg.Go(func() { small = offer(l, b, "small", capacity/20, time.Minute, 2) })
		wg.Wait()
		t.Logf("small %.1f%% of %d, large %.1f%% of %d (%d overload, %d deadline, %d late)",
			100*small.inTimeRatio(), small.offered, 100*large.inTimeRatio(), large.offered, large.overload, large.deadline, large.late)
		c.Assert(small.inTimeRatio() >= 0.98, qt.IsTrue)
	})
}

// Guards against admitting requests that cannot meet their deadline, which lowers
// goodput under overload, and against congestion that outlasts the overload.
func TestGoodputAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, b := newLimiter(nil), newBackend()
		goodput := func(factor float64) float64 {
			x := offer(l, b, "one", factor*capacity, 2*time.Minute, 1)
			t.Logf("offered %.1f x capacity: goodput %.1f of %.0f per second, late %d, refused %d, limit %.0f",
				factor, float64(x.inTime)/120, capacity, x.late, x.overload+x.deadline, l.Status().Limit)
			return float64(x.inTime) / 120
		}
		best := 0.0
		for _, factor := range []float64{0.7, 0.8, 0.9, 1} {
			best = max(best, goodput(factor))
		}
		c.Assert(goodput(2) >= 0.9*best, qt.IsTrue)
		offer(l, b, "one", 0.5*capacity, 10*time.Second, 2)
		after := offer(l, b, "one", 0.5*capacity, 20*time.Second, 3)
		t.Logf("from 10 s after the overload: %.1f%%", 100*after.inTimeRatio())
		c.Assert(after.inTimeRatio() >= 0.99, qt.IsTrue)
	})
}

// Guards against throughput that is not proportional to the shares.
func TestShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, b := newLimiter(map[ident.OrganisationID]float64{
			"three":    3,
			"fraction": 0.5,
		}), newBackend()
		tallies := make(map[ident.OrganisationID]*tally)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i, id := range []ident.OrganisationID{"three", "one", "fraction"} {
			wg.Go(func() {
				x := offer(l, b, id, 2*capacity, time.Minute, uint64(i))
				mu.Lock()
				tallies[id] = x
				mu.Unlock()
			})
		}
		wg.Wait()
		one := float64(tallies["one"].inTime)
		t.Logf("three %d, one %d, fraction %d", tallies["three"].inTime, tallies["one"].inTime, tallies["fraction"].inTime)
		c.Assert(float64(tallies["three"].inTime)/one, qt.Satisfies, func(r float64) bool { return r > 2.6 && r < 3.4 })
		c.Assert(float64(tallies["fraction"].inTime)/one, qt.Satisfies, func(r float64) bool { return r > 0.4 && r < 0.6 })
	})
}

// Guards against an organisation that gets its full share at each host, and so
// more than its share of all hosts.
func TestRemoteUsage(t *testing.T) {
	run := func(t *testing.T, remote bool) (x, y *tally) {
		synctest.Test(t, func(*testing.T) {
			l, b := newLimiter(nil), newBackend()
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			if remote {
				wg.Go(func() {
					for ctx.Err() == nil {
						// x uses the whole capacity of the peer, which equals that of this host.
						l.Remote("peer", organisation.Usage{
							Total: capacity,
							Top: []organisation.Rate{
								{
									Organisation: "x",
									Rate:         capacity,
								},
							},
						})
						time.Sleep(time.Second)
					}
				})
			}
			var load sync.WaitGroup
			load.Go(func() { x = offer(l, b, "x", 2*capacity, time.Minute, 1) })
			load.Go(func() { y = offer(l, b, "y", 2*capacity, time.Minute, 2) })
			load.Wait()
			cancel()
			wg.Wait()
		})
		t.Logf("peer usage %v: x %d, y %d", remote, x.inTime, y.inTime)
		return x, y
	}
	c := qt.New(t)
	x, y := run(t, false)
	c.Assert(float64(x.inTime)/float64(y.inTime), qt.Satisfies, func(r float64) bool { return r > 0.85 && r < 1.15 })
	x, y = run(t, true)
	c.Assert(float64(x.inTime) < 0.1*float64(y.inTime), qt.IsTrue)
}

// Guards against errors that do not tell why a request was refused, and against
// refused requests that leak permits or waiters.
func TestAcquireErrors(t *testing.T) {
	tests := map[string]struct {
		deadline     time.Duration
		waiting      int // requests of the same organisation that are queued before
		cancelAfter  time.Duration
		want         error
		returnsAfter time.Duration // when the error is returned
	}{
		"deadline passed":           {deadline: -1, want: organisation.ErrDeadline},
		"shorter than service time": {deadline: 500 * time.Millisecond, want: organisation.ErrDeadline},
		"wait too long":             {deadline: 4 * time.Second, waiting: 16, want: organisation.ErrDeadline},
		"waits until latest start":  {deadline: 5 * time.Second, want: organisation.ErrDeadline, returnsAfter: 4 * time.Second},
		"queue full":                {deadline: time.Hour, waiting: 20, want: organisation.ErrOverload},
		"cancelled":                 {deadline: time.Hour, cancelAfter: time.Second, want: context.Canceled, returnsAfter: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := organisation.New(organisation.Config{
					Now:     time.Now,
					Initial: 4,
					Most:    4,
					Waiting: 20,
				})
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				acquire := func(d time.Duration) (organisation.Permit, error) {
					return l.Acquire(ctx, "one", 1, time.Now().Add(d))
				}
				first, err := acquire(time.Hour)
				c.Assert(err, qt.IsNil)
				time.Sleep(time.Second)
				first.Release(organisation.Completed{})
				var held []organisation.Permit
				for range 4 {
					permit, err := acquire(time.Hour)
					c.Assert(err, qt.IsNil)
					held = append(held, permit)
				}
				var wg sync.WaitGroup
				for range test.waiting {
					wg.Go(func() {
						if permit, err := acquire(time.Hour); err == nil {
							permit.Release(organisation.Abandoned{})
						}
					})
				}
				synctest.Wait()
				if test.cancelAfter > 0 {
					time.AfterFunc(test.cancelAfter, cancel)
				}
				start := time.Now()
				_, err = acquire(test.deadline)
				c.Assert(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(time.Since(start), qt.Equals, test.returnsAfter)
				for _, permit := range held {
					permit.Release(organisation.Abandoned{})
					permit.Release(organisation.Abandoned{})
				}
				wg.Wait()
				status := l.Status()
				c.Assert(status.InFlight, qt.Equals, 0.0)
				c.Assert(status.Waiting, qt.Equals, 0)
				c.Assert(status.Organisations, qt.Equals, 0)
			})
		})
	}
}

// Guards against an outdated estimate of the service time by which every further
// request is refused.
func TestOutdatedServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newLimiter(nil)
		permit, err := l.Acquire(context.Background(), "one", 1, time.Now().Add(time.Hour))
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Minute)
		permit.Release(organisation.Completed{})
		for range 100 {
			permit, err := l.Acquire(context.Background(), "one", 1, time.Now().Add(time.Second))
			c.Assert(err, qt.IsNil)
			permit.Release(organisation.Completed{})
		}
	})
}

// Guards against state that is kept for every organisation ever seen, and against
// small organisations that inherit the rates of those they displaced.
func TestTopIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newLimiter(nil)
		for i := range 40_000 {
			id := ident.OrganisationID(fmt.Sprint(i % 3900))
			if i%4 == 0 {
				id = "large"
			}
			permit, err := l.Acquire(context.Background(), id, 1, time.Now().Add(time.Second))
			c.Assert(err, qt.IsNil)
			time.Sleep(time.Millisecond)
			permit.Release(organisation.Completed{})
		}
		top := l.Top(organisation.TopSize)
		c.Assert(top.Top, qt.HasLen, organisation.TopSize)
		t.Logf("total %.0f, first %v, second %v", top.Total, top.Top[0], top.Top[1])
		c.Assert(top.Top[0].Organisation, qt.Equals, ident.OrganisationID("large"))
		c.Assert(top.Top[0].Rate > 200, qt.IsTrue)
		c.Assert(top.Top[1].Rate < 5, qt.IsTrue)
		c.Assert(l.Status().Organisations, qt.Equals, 0)
	})
}

// runRounds acquires permits up to the limit and releases them all with the result
// after the latency, n times.
func runRounds(c *qt.C, l *organisation.Limiter, now *time.Time, n int, latency time.Duration, result organisation.Result) {
	for range n {
		var permits []organisation.Permit
		for range int(l.Status().Limit) {
			permit, err := l.Acquire(context.Background(), "one", 1, now.Add(time.Hour))
			c.Assert(err, qt.IsNil)
			permits = append(permits, permit)
		}
		*now = now.Add(latency)
		for _, permit := range permits {
			permit.Release(result)
		}
	}
}

// Guards against a limit that stays at its lower bound because a stage has become
// slower, and against a slow recovery from there.
func TestSlowStageIsNotCongestion(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	l := organisation.New(organisation.Config{
		Now: func() time.Time { return now },
	})
	runRounds(c, l, &now, 20, 100*time.Millisecond, organisation.Completed{})
	runRounds(c, l, &now, 70, 400*time.Millisecond, organisation.Completed{})
	c.Assert(l.Status().Limit >= 32, qt.IsTrue, qt.Commentf("limit %.0f", l.Status().Limit))
}

// Guards against a limit that falls only every two seconds while few requests
// complete.
func TestRefusalsLowerLimitSoon(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	l := organisation.New(organisation.Config{
		Now: func() time.Time { return now },
	})
	runRounds(c, l, &now, 1, 100*time.Millisecond, organisation.Completed{})
	runRounds(c, l, &now, 10, 100*time.Millisecond, organisation.Overloaded{})
	c.Assert(l.Status().Limit <= 8, qt.IsTrue, qt.Commentf("limit %.0f", l.Status().Limit))
}

// Guards against a limit that stays high while admitted requests wait for
// overloaded upstreams: refusals must lower it before the permits are released.
func TestRefusedLowersLimitBeforeRelease(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	l := organisation.New(organisation.Config{
		Now: func() time.Time { return now },
	})
	var permits []organisation.Permit
	for range 8 {
		permit, err := l.Acquire(context.Background(), "one", 1, now.Add(time.Hour))
		c.Assert(err, qt.IsNil)
		permits = append(permits, permit)
	}
	before := l.Status().Limit
	for _, permit := range permits {
		now = now.Add(100 * time.Millisecond)
		permit.Refused()
	}
	c.Assert(l.Status().Limit < before/1.4, qt.IsTrue, qt.Commentf("limit %.0f", l.Status().Limit))
	permits[0].Release(organisation.Completed{})
	after := l.Status().Limit
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		permits[0].Refused()
	}
	c.Assert(l.Status().Limit, qt.Equals, after)
}
