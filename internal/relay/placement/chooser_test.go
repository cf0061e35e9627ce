package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/kv"
)

var start = time.Unix(1_700_000_000, 0)

// upstreams returns a snapshot of n upstreams that alternate between two failure
// domains.
func upstreams(n int) *fleet.Snapshot {
	d := fleet.New()
	for i := range n {
		d.Put(fleet.Registration{
			Upstream: fleet.Upstream{
				ID:      ident.UpstreamID(fmt.Sprintf("u%d", i)),
				Service: "s",
				Domain:  ident.FailureDomain(fmt.Sprint(i % 2)),
				State:   fleet.Ready,
			},
			Version: 1,
		})
	}
	return d.Snapshot()
}

// Guards against sending new requests to upstreams that fail while others work.
func TestChooserAvoidsFailing(t *testing.T) {
	tests := map[string]struct {
		ending placement.Ending
		after  time.Duration // since the ending
		avoid  bool
	}{
		"served":                      {ending: placement.Served},
		"caller left":                 {ending: placement.Abandoned},
		"full, just now":              {ending: placement.Full, avoid: true},
		"full, a while ago":           {ending: placement.Full, after: 100 * time.Millisecond},
		"failed, just now":            {ending: placement.Failed, after: 200 * time.Millisecond, avoid: true},
		"misdirected, just now":       {ending: placement.Misdirected, after: 200 * time.Millisecond, avoid: true},
		"failed, after several times": {ending: placement.Failed, after: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := start
			chooser := placement.New(func() time.Time { return now }, rand.Float64)
			snapshot := upstreams(2)
			query := placement.Query{
				Service: "s",
				Domain:  "0",
			}
			first, ok := chooser.Choose(query, snapshot)
			c.Assert(ok, qt.IsTrue)
			c.Assert(first.ID, qt.Equals, ident.UpstreamID("u0"), qt.Commentf("in the domain of the query"))
			chooser.Done(first, test.ending, 0)
			now = now.Add(test.after)
			second, ok := chooser.Choose(query, snapshot)
			c.Assert(ok, qt.IsTrue)
			c.Assert(second.ID != first.ID, qt.Equals, test.avoid)
		})
	}
}

// Guards against a request that is refused although an upstream is left, and a
// request that is sent again to an upstream that is excluded.
func TestChooserLastResort(t *testing.T) {
	c := qt.New(t)
	chooser := placement.New(func() time.Time { return start }, rand.Float64)
	snapshot := upstreams(2)
	query := placement.Query{
		Service: "s",
		Exclude: map[ident.UpstreamID]bool{"u0": true},
	}
	chosen, ok := chooser.Choose(query, snapshot)
	c.Assert(ok, qt.IsTrue)
	c.Assert(chosen.ID, qt.Equals, ident.UpstreamID("u1"))
	chooser.Done(chosen, placement.Failed, 0)
	_, ok = chooser.Choose(query, snapshot)
	c.Assert(ok, qt.IsTrue, qt.Commentf("a failing upstream is better than none"))
	query.Exclude["u1"] = true
	_, ok = chooser.Choose(query, snapshot)
	c.Assert(ok, qt.IsFalse)
}

// Guards against requests that pile up at one upstream.
func TestChooserSpreads(t *testing.T) {
	c := qt.New(t)
	chooser := placement.New(func() time.Time { return start }, rand.Float64)
	snapshot := upstreams(4)
	counts := make(map[ident.UpstreamID]int)
	for range 40 {
		chosen, ok := chooser.Choose(placement.Query{
			Service: "s",
			Domain:  "0",
		}, snapshot)
		c.Assert(ok, qt.IsTrue)
		counts[chosen.ID]++
	}
	for id, n := range counts {
		c.Check(n >= 7 && n <= 13, qt.IsTrue, qt.Commentf("%s: %d of 40", id, n))
	}
}

// Guards against a shared part that is read at many upstreams. Hosts agree on the
// upstream, the choice changes only if that upstream leaves, and other upstreams are
// used while it has much more work than they have.
func TestAffinity(t *testing.T) {
	c := qt.New(t)
	snapshot := upstreams(9)
	moved := 0
	for key := range uint64(200) {
		query := placement.Query{
			Service: "s",
			Shared: placement.SharedPrefix{
				Key:    key + 1,
				Tokens: 1000,
			},
		}
		preferred, ok := placement.Preferred(query, snapshot)
		c.Assert(ok, qt.IsTrue)
		for range 3 {
			chooser := placement.New(func() time.Time { return start }, rand.Float64)
			chosen, ok := chooser.Choose(query, snapshot)
			c.Assert(ok, qt.IsTrue)
			c.Assert(chosen.ID, qt.Equals, preferred.ID)
		}
		fewer, ok := placement.Preferred(query, upstreams(8))
		c.Assert(ok, qt.IsTrue)
		if fewer.ID != preferred.ID {
			c.Check(preferred.ID, qt.Equals, ident.UpstreamID("u8"))
			moved++
		}
	}
	c.Check(moved > 0 && moved < 50, qt.IsTrue, qt.Commentf("%d of 200 parts moved", moved))

	chooser := placement.New(func() time.Time { return start }, rand.Float64)
	others := 0
	for range 60 {
		query := placement.Query{
			Service: "s",
			Shared: placement.SharedPrefix{
				Key:    1,
				Tokens: 1000,
			},
		}
		preferred, _ := placement.Preferred(query, snapshot)
		chosen, ok := chooser.Choose(query, snapshot)
		c.Assert(ok, qt.IsTrue)
		if chosen.ID != preferred.ID {
			others++
		}
	}
	c.Check(others > 0, qt.IsTrue, qt.Commentf("one upstream got all requests"))
}

// Guards against prompts that are read again although another upstream has read
// them, as happens during a rolling replacement of upstreams, and against fetches
// from an upstream that cannot have read them.
func TestCacheSource(t *testing.T) {
	listed := func(id string, state fleet.State, age time.Duration) fleet.Registration {
		return fleet.Registration{
			Upstream: fleet.Upstream{
				ID:      ident.UpstreamID(id),
				Service: "s",
				State:   state,
				Started: ident.Incarnation(start.Add(-age).UnixMilli()),
			},
			Version: 1,
		}
	}
	// The rendezvous hash of this query ranks b before a, and a before c.
	query := placement.Query{
		Service: "s",
		Shared: placement.SharedPrefix{
			Key:    1,
			Tokens: 1000,
		},
	}
	tests := map[string]struct {
		listed []fleet.Registration
		to     string
		want   string
	}{
		"preferred runs it":                                 {listed: []fleet.Registration{listed("a", fleet.Ready, time.Hour), listed("b", fleet.Ready, time.Hour)}, to: "b"},
		"another upstream runs it":                          {listed: []fleet.Registration{listed("a", fleet.Ready, time.Hour), listed("b", fleet.Ready, time.Hour)}, to: "a", want: "b"},
		"preferred has just started":                        {listed: []fleet.Registration{listed("a", fleet.Ready, time.Hour), listed("b", fleet.Ready, time.Second), listed("c", fleet.Ready, time.Hour)}, to: "b", want: "a"},
		"previously preferred is draining":                  {listed: []fleet.Registration{listed("a", fleet.Ready, time.Hour), listed("b", fleet.Draining, time.Hour), listed("c", fleet.Ready, time.Hour)}, to: "a", want: "b"},
		"another upstream drains":                           {listed: []fleet.Registration{listed("a", fleet.Ready, time.Hour), listed("c", fleet.Draining, time.Hour)}, to: "a"},
		"no other upstream":                                 {listed: []fleet.Registration{listed("a", fleet.Ready, time.Second)}, to: "a"},
		"successor of a draining upstream has just started": {listed: []fleet.Registration{listed("a", fleet.Draining, time.Hour), listed("b", fleet.Ready, time.Second)}, to: "b", want: "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := fleet.New()
			for _, l := range test.listed {
				d.Put(l)
			}
			to, ok := d.Snapshot().Upstream(ident.UpstreamID(test.to))
			c.Assert(ok, qt.IsTrue)
			source, ok := placement.CacheSource(query, d.Snapshot(), to, start)
			c.Assert(ok, qt.Equals, test.want != "")
			if ok {
				c.Check(string(source.ID), qt.Equals, test.want)
			}
			_, ok = placement.CacheSource(placement.Query{
				Service: "s",
			}, d.Snapshot(), to, start)
			c.Check(ok, qt.IsFalse, qt.Commentf("nothing is shared"))
		})
	}
}

// Guards against a popular part that sends all work to one upstream.
func TestIsHot(t *testing.T) {
	c := qt.New(t)
	popularity := placement.NewPopularity()
	now := start
	share := 0.0
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		share = popularity.Count(now, uint64(i%4), 1)
	}
	c.Check(share > 0.2 && share < 0.3, qt.IsTrue, qt.Commentf("%v of the work", share))
	c.Check(placement.IsHot(share, 4), qt.IsFalse)
	c.Check(placement.IsHot(share, 9), qt.IsTrue)
	now = now.Add(2 * time.Minute)
	c.Check(popularity.Count(now, 7, 1) > 0.9, qt.IsTrue, qt.Commentf("old requests no longer count"))
}

// Guards against streams that stall while the long prompts of other requests are
// read before theirs: a prompt waits at the upstream of its shared part only if that
// costs less than reading the part again.
func TestChooserUnread(t *testing.T) {
	tests := map[string]struct {
		unread int // tokens that the preferred upstream still has to read
		read   bool
		shared int
		moves  bool
	}{
		"idle":                        {shared: 5000},
		"short prompt before it":      {unread: 2000, shared: 5000},
		"long prompt before it":       {unread: 30000, shared: 5000, moves: true},
		"long prompt that is read":    {unread: 30000, read: true, shared: 5000},
		"little to read again":        {unread: 2000, shared: 200, moves: true},
		"much more to be read again":  {unread: 30000, shared: 20000},
		"nothing before a short part": {shared: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			snapshot := upstreams(2)
			chooser := placement.New(func() time.Time { return start }, rand.Float64)
			query := placement.Query{
				Service: "s",
				Prompt: wire.Prompt{
					Input: test.shared + 1000,
				},
				Shared: placement.SharedPrefix{
					Key:    1,
					Tokens: test.shared,
				},
			}
			preferred, ok := placement.Preferred(query, snapshot)
			c.Assert(ok, qt.IsTrue)
			query.Domain = preferred.Domain
			if test.unread > 0 {
				before := query
				before.Prompt.Input = test.unread + 1e6
				before.Shared.Tokens = 1e6
				placed, ok := chooser.Choose(before, snapshot)
				c.Assert(ok, qt.IsTrue)
				c.Assert(placed.ID, qt.Equals, preferred.ID)
				if test.read {
					chooser.MarkPromptRead(placed)
					chooser.MarkPromptRead(placed)
				}
			}
			chosen, ok := chooser.Choose(query, snapshot)
			c.Assert(ok, qt.IsTrue)
			c.Check(chosen.ID != preferred.ID, qt.Equals, test.moves)
		})
	}
}

// Guards against an affinity to a part that is short, specific to one request, or
// shared by too many requests for one upstream.
func TestAffinityPart(t *testing.T) {
	part := func(id string, tokens int) wire.Part {
		return wire.Part{
			ID:     wire.PartID(id),
			Tokens: tokens,
		}
	}
	tests := map[string]struct {
		parts  []wire.Part
		same   []wire.Part // parts of another prompt with the same affinity
		tokens int         // of the shared prefix
		hot    bool        // half of all work has the first part
	}{
		"largest shared part": {
			parts:  []wire.Part{part("a", 100), part("b", 500), part("own 1", 900)},
			same:   []wire.Part{part("c", 100), part("b", 500), part("own 2", 900)},
			tokens: 600,
		},
		"first part is the largest": {
			parts:  []wire.Part{part("a", 500), part("b", 100), part("own 1", 900)},
			same:   []wire.Part{part("a", 500), part("c", 100), part("own 2", 900)},
			tokens: 500,
		},
		"part of one request": {
			parts:  []wire.Part{part("own 1", 900)},
			same:   []wire.Part{part("own 1", 900)},
			tokens: 900,
		},
		"hot part": {
			parts:  []wire.Part{part("a", 500), part("b", 100), part("own 1", 900)},
			same:   []wire.Part{part("c", 500), part("b", 600), part("own 2", 900)},
			tokens: 600,
			hot:    true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			popularity := placement.NewPopularity()
			prompt := func(parts []wire.Part) wire.Prompt {
				return wire.Prompt{
					Parts: parts,
					Input: 1000,
				}
			}
			for i := range 100 {
				id := wire.PartID("a")
				if i%2 == 1 || !test.hot {
					id = wire.PartID(fmt.Sprint("filler ", i))
				}
				popularity.Affinity(start, prompt([]wire.Part{part(string(id), 500), part("own", 1)}), 9)
			}
			first := popularity.Affinity(start, prompt(test.parts), 9)
			second := popularity.Affinity(start, prompt(test.same), 9)
			c.Check(first.Key, qt.Equals, second.Key)
			c.Check(first.Key, qt.Not(qt.Equals), uint64(0))
			c.Check(first.Tokens, qt.Equals, test.tokens)
		})
	}
	c := qt.New(t)
	c.Check(placement.NewPopularity().Affinity(start, wire.Prompt{}, 9), qt.Equals, placement.SharedPrefix{}, qt.Commentf("no parts"))
}

// Guards against the state of a restarted upstream that is lost when a request ends at the
// process before it, and against a panic if no upstream is left.
func TestRestartedUpstream(t *testing.T) {
	c := qt.New(t)
	d := fleet.New()
	put := func(started ident.Incarnation, version kv.Version) {
		d.Put(fleet.Registration{
			Upstream: fleet.Upstream{
				ID:      "u",
				Service: "s",
				State:   fleet.Ready,
				Started: started,
			},
			Version: version,
		})
	}
	query := placement.Query{
		Service: "s",
		Shared: placement.SharedPrefix{
			Key: 1,
		},
	}
	chooser := placement.New(func() time.Time { return start }, rand.Float64)
	put(1, 1)
	before, ok := chooser.Choose(query, d.Snapshot())
	c.Assert(ok, qt.IsTrue)
	put(2, 2)
	after, ok := chooser.Choose(query, d.Snapshot())
	c.Assert(ok, qt.IsTrue)
	chooser.Done(after, placement.Failed, 0)
	chooser.Done(before, placement.Served, 0)
	_, ok = chooser.PlaceAt(query, "u", "", d.Snapshot())
	c.Check(ok, qt.IsFalse, qt.Commentf("the upstream has just failed"))
	d.Remove("u", 3, time.Time{})
	_, ok = chooser.Choose(query, d.Snapshot())
	c.Check(ok, qt.IsFalse)
}
