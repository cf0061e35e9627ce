package document_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

func revision(name string, number int) document.Versioned {
	return document.Versioned{
		Revision: ident.Revision(number),
		Change:   ident.ChangeID(fmt.Sprintf("%s-%d", name, number)),
		Text:     []byte(plainText),
		Service: &document.Service{
			Name: ident.ServiceName(name),
		},
	}
}

// Guards against a document that is replaced by a lower revision, and against
// digests that depend on the order of offers.
func TestRegistryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		highest := make(map[string]int)
		registry, sorted := document.NewRegistry(), document.NewRegistry()
		offers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) document.Versioned {
			return revision(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.IntRange(1, 9).Draw(t, "revision"))
		}), 0, 40).Draw(t, "offers")
		for _, offer := range offers {
			changed := registry.Changed()
			before := registry.Snapshot()
			held := before.Revision(offer.Service.Name)
			accepted := registry.Offer(offer)
			name := string(offer.Service.Name)
			if accepted != (int(offer.Revision) > highest[name]) {
				t.Fatalf("offer %s accepted: %v, highest is %d", offer.Change, accepted, highest[name])
			}
			highest[name] = max(highest[name], int(offer.Revision))
			if got := registry.Snapshot().Revision(offer.Service.Name); int(got) != highest[name] {
				t.Fatalf("%s is at %d, want %d", name, got, highest[name])
			}
			if before.Revision(offer.Service.Name) != held {
				t.Fatal("snapshot changed")
			}
			select {
			case <-changed:
				if !accepted {
					t.Fatal("channel closed although the offer was rejected")
				}
			default:
				if accepted {
					t.Fatal("channel not closed although the offer was accepted")
				}
			}
		}
		for name, number := range highest {
			sorted.Offer(revision(name, number))
		}
		if registry.Digest() != sorted.Digest() {
			t.Fatalf("digest %x, want %x", registry.Digest(), sorted.Digest())
		}
	})
}

// Guards against a document that is replaced by a lower revision when offers are
// concurrent.
func TestRegistryRace(t *testing.T) {
	c := qt.New(t)
	registry := document.NewRegistry()
	done := make(chan struct{})
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for _, number := range rand.Perm(200) {
				registry.Offer(revision("a", number+1))
			}
		})
	}
	var reader sync.WaitGroup
	reader.Go(func() {
		var last ident.Revision
		for {
			got := registry.Snapshot().Revision("a")
			if got < last {
				t.Errorf("revision went from %d back to %d", last, got)
			}
			last = got
			select {
			case <-done:
				return
			default:
			}
		}
	})
	wait.Wait()
	close(done)
	reader.Wait()
	c.Check(registry.Snapshot().Revision("a"), qt.Equals, ident.Revision(200))
}

func actionsOf[T document.Action](actions []document.Action) []T {
	var found []T
	for _, action := range actions {
		if a, ok := action.(T); ok {
			found = append(found, a)
		}
	}
	return found
}

// Guards against hosts that start together and keep listing the store together, and
// against a listing interval above about a minute, within which a host must see a
// change.
func TestSpreaderPhase(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_800_000_000, 0)
	perSecond := make(map[int]int)
	for host := range 360 {
		spreader := document.NewSpreader(document.NewRegistry(), rand.New(rand.NewPCG(uint64(host), 7)))
		last := start
		for at := start; at.Before(start.Add(5 * time.Minute)); at = at.Add(200 * time.Millisecond) {
			for range actionsOf[document.List](spreader.Tick(at, document.Surroundings{})) {
				c.Assert(at.Sub(last) <= 67*time.Second, qt.IsTrue)
				last = at
				spreader.Listed(at, document.Loaded{}, nil)
				if at.After(start.Add(time.Minute)) {
					perSecond[int(at.Sub(start).Seconds())]++
				}
			}
		}
		c.Assert(last.After(start.Add(3*time.Minute)), qt.IsTrue)
	}
	busiest := 0
	for _, count := range perSecond {
		busiest = max(busiest, count)
	}
	t.Logf("busiest second: %d listings of 360 hosts", busiest)
	c.Check(busiest <= 24, qt.IsTrue) // 6 on average
}

// Guards against a watch that a host keeps after it is no longer a designated
// watcher, and against a failed watch that is not started again.
func TestSpreaderWatch(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	spreader := document.NewSpreader(document.NewRegistry(), rand.New(rand.NewPCG(1, 1)))
	watcher := document.Surroundings{
		Watcher: true,
	}
	c.Assert(spreader.Tick(now, watcher), qt.DeepEquals, []document.Action{document.List{}})
	c.Assert(spreader.Tick(now, watcher), qt.HasLen, 0)
	spreader.Listed(now, document.Loaded{
		Cursor: 7,
	}, nil)
	c.Assert(spreader.Tick(now, watcher), qt.DeepEquals, []document.Action{document.Watch{After: 7}})
	c.Assert(spreader.Tick(now, watcher), qt.HasLen, 0)
	spreader.WatchEnded(now)
	now = now.Add(2 * time.Second)
	c.Assert(spreader.Tick(now, watcher), qt.DeepEquals, []document.Action{document.List{}})
	spreader.Listed(now, document.Loaded{}, document.ErrStore)
	spreader.Tick(now, watcher)
	now = now.Add(2 * time.Second)
	c.Assert(spreader.Tick(now, watcher), qt.DeepEquals, []document.Action{document.List{}})
	spreader.Listed(now, document.Loaded{
		Cursor: 9,
	}, nil)
	c.Assert(spreader.Tick(now, watcher), qt.DeepEquals, []document.Action{document.Watch{After: 9}})
	c.Assert(spreader.Tick(now, document.Surroundings{}), qt.DeepEquals, []document.Action{document.Unwatch{}})
}

// Guards against a host that does not pull a document that a peer has announced or
// that a different digest shows, and against repeated pulls from a peer that has no
// newer documents.
func TestSpreaderPull(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	registry := document.NewRegistry()
	spreader := document.NewSpreader(registry, rand.New(rand.NewPCG(1, 1)))
	around := document.Surroundings{
		Peers: []ident.HostID{"p", "q"},
	}
	pulls := func() []document.Pull {
		now = now.Add(time.Second)
		return actionsOf[document.Pull](spreader.Tick(now, around))
	}
	c.Assert(pulls(), qt.HasLen, 1) // the host starts without documents
	spreader.Listed(now, document.Loaded{}, document.ErrStore)
	c.Check(spreader.Ready(), qt.IsFalse)
	c.Assert(pulls(), qt.HasLen, 0) // one pull at a time
	spreader.Pulled(now, nil, errors.New("unreachable"))
	c.Assert(pulls(), qt.HasLen, 1)
	spreader.Pulled(now, []document.Versioned{revision("a", 3)}, nil)
	c.Check(spreader.Ready(), qt.IsTrue)
	c.Assert(pulls(), qt.HasLen, 0)

	spreader.Announced(now, "q", "a", 3)
	c.Assert(pulls(), qt.HasLen, 0)
	spreader.Announced(now, "q", "a", 4)
	c.Assert(pulls(), qt.DeepEquals, []document.Pull{
		{
			Peer:  "q",
			Names: []ident.ServiceName{"a"},
			Known: map[ident.ServiceName]ident.Revision{
				"a": 3,
			},
		},
	})
	spreader.Pulled(now, nil, nil) // q has announced the revision but does not hold it
	c.Assert(pulls(), qt.HasLen, 1)
	spreader.Pulled(now, []document.Versioned{revision("a", 4)}, nil)
	c.Assert(pulls(), qt.HasLen, 0)

	spreader.Digest("p", 99)
	c.Assert(pulls(), qt.HasLen, 1)
	spreader.Pulled(now, nil, nil) // p has no newer documents
	spreader.Digest("p", 99)
	c.Assert(pulls(), qt.HasLen, 0)
	spreader.Digest("p", 100)
	c.Assert(pulls(), qt.HasLen, 1)
	spreader.Pulled(now, nil, errors.New("lost"))
	c.Assert(pulls(), qt.HasLen, 1)
	spreader.Pulled(now, []document.Versioned{revision("b", 1)}, nil)
	spreader.Digest("p", registry.Digest())
	c.Assert(pulls(), qt.HasLen, 0)
}

// registryPuller serves pulls from the registry of another host.
type registryPuller struct {
	registry *document.Registry
}

func (p registryPuller) Documents(_ context.Context, _ ident.HostID, names []ident.ServiceName, known map[ident.ServiceName]ident.Revision) ([]document.Versioned, error) {
	return p.registry.Snapshot().Select(names, known, 1<<20), nil
}

// Guards against a watcher that misses a change, a host that cannot start while the
// store is down although a peer has documents, and goroutines that outlive Run.
func TestSyncer(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	store := newStore()
	around := document.Surroundings{
		Watcher: true,
		Peers:   []ident.HostID{"p"},
	}
	start := func(peer *document.Registry) (*document.Registry, *document.Syncer, func()) {
		registry := document.NewRegistry()
		syncer := document.NewSyncer(document.SyncerConfig{
			Store: store,
			Peers: registryPuller{
				registry: peer,
			},
			Registry: registry,
			Spreader: document.NewSpreader(registry, rand.New(rand.NewPCG(1, 1))),
			Around:   func() document.Surroundings { return around },
			Now:      time.Now,
			Log:      zerolog.Nop(),
		})
		done := make(chan error, 1)
		go func() { done <- syncer.Run(ctx) }()
		return registry, syncer, func() { c.Check(<-done, qt.IsNil) }
	}
	await := func(registry *document.Registry, name ident.ServiceName, want ident.Revision) {
		timeout := time.After(10 * time.Second)
		for {
			changed := registry.Changed()
			if registry.Snapshot().Revision(name) >= want {
				return
			}
			select {
			case <-changed:
			case <-timeout:
				c.Fatalf("%s did not reach revision %d", name, want)
			}
		}
	}
	_, err := document.Apply(ctx, store, change("a", 0))
	c.Assert(err, qt.IsNil)
	first, syncer, waitFirst := start(document.NewRegistry())
	await(first, "entries-api", 1)
	_, err = document.Apply(ctx, store, change("b", 1))
	c.Assert(err, qt.IsNil)
	await(first, "entries-api", 2)
	store.SetFaults(memkv.Faults{
		DropWatch: true,
	})
	_, err = document.Apply(ctx, store, change("c", 2))
	c.Assert(err, qt.IsNil)
	await(first, "entries-api", 3) // by the listing after the failed watch
	c.Check(syncer.Broken(), qt.HasLen, 0)

	store.SetFaults(memkv.Faults{
		Down: true,
	})
	second, _, waitSecond := start(first)
	await(second, "entries-api", 3)
	c.Check(slices.Equal(second.Snapshot().Names(), first.Snapshot().Names()), qt.IsTrue)
	c.Check(second.Digest(), qt.Equals, first.Digest())
	cancel()
	waitFirst()
	waitSecond()
}
