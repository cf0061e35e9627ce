package discovery_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

const (
	listKey         = kv.Key("list")
	leaseTTL        = 30 * time.Second
	minInterval     = 10 * time.Second
	replicaInterval = 100 * time.Millisecond // at which the replicas of a publisherFixture are updated
)

// publisherFixture has the publishers of some hosts, all with the same value.
type publisherFixture struct {
	store    *memkv.Store
	value    atomic.Value // string
	selected atomic.Int64 // host that is to publish; -1 means all
	stop     func()
}

func startPublishers(hosts int) *publisherFixture {
	f := &publisherFixture{
		store: memkv.New(time.Now),
	}
	f.value.Store("first")
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for host := range hosts {
		replica := discovery.NewReplica(&syncRecorder{
			recorder: newRecorder(),
		}, renewal, time.Now, anySize)
		publisher := discovery.NewPublisher(discovery.PublisherConfig{
			Store:       f.store,
			Health:      discovery.NewHealth(zerolog.Nop(), time.Now),
			Replica:     replica,
			Log:         zerolog.Nop(),
			Key:         listKey,
			TTL:         leaseTTL,
			MinInterval: minInterval,
			IsPublisher: func() bool {
				selected := f.selected.Load()
				return selected < 0 || selected == int64(host)
			},
			Value: func([]byte) ([]byte, error) { return []byte(f.value.Load().(string)), nil },
		})
		running.Go(func() { _ = publisher.Run(ctx) })
		running.Go(func() {
			for ctx.Err() == nil {
				page, err := f.store.List(ctx, "", "", 100)
				if err == nil {
					replica.ApplyListing(page.Entries, max(page.Cursor, 1))
				}
				time.Sleep(replicaInterval)
			}
		})
	}
	f.stop = func() {
		cancel()
		running.Wait()
	}
	return f
}

// entry returns the value in the store; it is empty if there is none.
func (f *publisherFixture) entry() string {
	entry, err := f.store.Get(context.Background(), listKey)
	if err != nil {
		return ""
	}
	return string(entry.Value)
}

// Guards against an entry that lapses while its host runs, that stays out of date, or
// that is written again and again.
func TestPublisher(t *testing.T) {
	tests := map[string]struct {
		act    func(f *publisherFixture)
		within time.Duration // until the entry is "second"
	}{
		"changed": {
			act:    func(f *publisherFixture) { f.value.Store("second") },
			within: minInterval + time.Second,
		},
		"lease lost": {
			act: func(f *publisherFixture) {
				f.store.SetFaults(memkv.Faults{
					ExpireLease: true,
				})
				f.entry()
				f.store.SetFaults(memkv.Faults{})
				f.value.Store("second")
			},
			within: leaseTTL/3 + time.Second,
		},
		"another host takes over": {
			act: func(f *publisherFixture) {
				f.value.Store("second")
				f.selected.Store(1)
			},
			within: 2 * time.Second,
		},
		"several hosts": {
			act: func(f *publisherFixture) {
				f.value.Store("second")
				f.selected.Store(-1)
			},
			within: 3 * time.Second,
		},
		"store away": {
			act: func(f *publisherFixture) {
				f.store.SetFaults(memkv.Faults{
					Down: true,
				})
				f.value.Store("second")
				time.Sleep(2 * leaseTTL)
				f.store.SetFaults(memkv.Faults{})
			},
			within: 3 * time.Second,
		},
		"response lost": {
			act: func(f *publisherFixture) {
				f.value.Store("second")
				f.store.SetFaults(memkv.Faults{
					LoseResponse: 1,
				})
				f.selected.Store(1)
			},
			within: 3 * time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startPublishers(3)
				defer f.stop()
				time.Sleep(2 * time.Second)
				c.Assert(f.entry(), qt.Equals, "first")
				test.act(f)
				time.Sleep(test.within)
				c.Check(f.entry(), qt.Equals, "second")
				for range 10 { // the entry stays
					time.Sleep(leaseTTL / 3)
					c.Check(f.entry(), qt.Equals, "second")
				}
			})
		})
	}
}

// Guards against calls to the store that grow with the number of hosts: in steady state
// only the lease of the one entry is renewed, at its interval.
func TestPublisherCalls(t *testing.T) {
	for _, hosts := range []int{1, 30} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startPublishers(hosts)
				defer f.stop()
				time.Sleep(2 * time.Second)
				before := f.store.Counts().Writes
				c.Check(before, qt.Equals, 2, qt.Commentf("a lease and the entry"))
				const minutes = 10
				time.Sleep(minutes * time.Minute)
				renewals := int(minutes * time.Minute / (leaseTTL / 3))
				c.Check(f.store.Counts().Writes-before <= renewals, qt.IsTrue, qt.Commentf("%d calls", f.store.Counts().Writes-before))
			})
		})
	}
}

// Guards against a value that changes often and is written with each change.
func TestPublisherInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startPublishers(1)
		defer f.stop()
		time.Sleep(2 * time.Second)
		before := f.store.Counts().Writes
		const seconds = 100
		for i := range seconds {
			f.value.Store(fmt.Sprint(i))
			time.Sleep(time.Second)
		}
		most := int(seconds*time.Second/minInterval) + int(seconds*time.Second/(leaseTTL/3)) + 2
		c.Check(f.store.Counts().Writes-before <= most, qt.IsTrue, qt.Commentf("%d calls", f.store.Counts().Writes-before))
	})
}
