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
)

// prompt returns a prompt of 1000 tokens in addition to its shared parts.
func prompt(own string, shared ...wire.Part) wire.Prompt {
	p := wire.Prompt{
		Model: "m",
		Input: 1000,
	}
	for _, part := range shared {
		p.Input += part.Tokens
	}
	p.Parts = append(shared, wire.Part{
		ID:     wire.PartID(own),
		Tokens: 1000,
	})
	return p
}

func part(id string, tokens int) wire.Part {
	return wire.Part{
		ID:     wire.PartID(id),
		Tokens: tokens,
	}
}

// engines returns a snapshot of upstreams in one failure domain with the given start
// times.
func engines(started ...int64) *fleet.Snapshot {
	d := fleet.New()
	for i, at := range started {
		d.Put(fleet.Registration{
			Upstream: fleet.Upstream{
				ID:      ident.UpstreamID(fmt.Sprintf("e%d", i)),
				Service: "s",
				Address: ident.Address(fmt.Sprintf("address of e%d", i)),
				Domain:  "here",
				State:   fleet.Ready,
				Started: ident.Incarnation(at),
			},
			Version: 1,
		})
	}
	return d.Snapshot()
}

// Guards against prompts that are read again although an upstream has cached them, and
// against fetches from an upstream that has not: it may not have read the prompt yet,
// may have restarted, or may have evicted the prompt since.
func TestChoosesByPrefix(t *testing.T) {
	tests := map[string]struct {
		unread  bool          // the first request has not been read
		load    int           // requests in flight at the upstream that has read the first one
		after   time.Duration // since the first request
		restart bool
		prompt  wire.Prompt
		same    bool // same upstream as for the first request
		fetch   bool // from the upstream of the first request
	}{
		"same prefix":               {prompt: prompt("b", part("x", 4000)), same: true},
		"same prefix, not read yet": {unread: true, prompt: prompt("b", part("x", 4000)), same: true},
		"high load there":           {load: 100, prompt: prompt("b", part("x", 4000)), fetch: true},
		"high load, not read yet":   {unread: true, load: 100, prompt: prompt("b", part("x", 4000))},
		"shares the first part":     {load: 100, prompt: prompt("b", part("x", 4000), part("y", 100)), fetch: true},
		"shares another part":       {load: 100, prompt: prompt("b", part("y", 100), part("x", 4000))},
		"shares nothing":            {load: 100, prompt: prompt("b", part("y", 4000))},
		"first request long ago":    {load: 100, after: time.Minute, prompt: prompt("b", part("x", 4000))},
		"restarted":                 {load: 100, restart: true, prompt: prompt("b", part("x", 4000))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := start
			chooser := placement.New(func() time.Time { return now }, rand.Float64)
			query := placement.Query{
				Service: "s",
				Domain:  "here",
				Prompt:  prompt("a", part("x", 4000)),
			}
			first, ok := chooser.Choose(query, engines(1, 1, 1))
			c.Assert(ok, qt.IsTrue)
			if !test.unread {
				chooser.MarkPromptRead(first)
			}
			others := map[ident.UpstreamID]bool{"e0": true, "e1": true, "e2": true}
			delete(others, first.ID)
			for range test.load {
				_, ok := chooser.Choose(placement.Query{
					Service: "s",
					Domain:  "here",
					Exclude: others,
				}, engines(1, 1, 1))
				c.Assert(ok, qt.IsTrue)
			}
			now = now.Add(test.after)
			snapshot := engines(1, 1, 1)
			if test.restart {
				snapshot = engines(2, 2, 2)
			}
			query.Prompt = test.prompt
			second, ok := chooser.Choose(query, snapshot)
			c.Assert(ok, qt.IsTrue)
			if !test.restart {
				c.Check(second.ID == first.ID, qt.Equals, test.same)
			}
			want := ident.UpstreamID("")
			if test.fetch {
				want = first.ID
			}
			c.Check(second.Cache.ID, qt.Equals, want)
		})
	}
}

// Guards against an index that grows with every prompt, and against popular prefixes
// that are evicted in favour of those of single requests.
func TestPrefixesAreBounded(t *testing.T) {
	c := qt.New(t)
	chooser := placement.New(func() time.Time { return start }, rand.Float64)
	snapshot := engines(1, 1)
	place := func(own string) *placement.Placed {
		placed, ok := chooser.Choose(placement.Query{
			Service: "s",
			Domain:  "here",
			Prompt:  prompt(own, part("popular", 5000)),
		}, snapshot)
		c.Assert(ok, qt.IsTrue)
		chooser.MarkPromptRead(placed)
		chooser.Done(placed, placement.Served, 0)
		return placed
	}
	first := place("first")
	for i := range 40000 {
		place(fmt.Sprint(i))
	}
	c.Check(place("last").ID, qt.Equals, first.ID)
	c.Check(chooser.PrefixCount() <= 8192, qt.IsTrue, qt.Commentf("%d prefixes", chooser.PrefixCount()))
}

// Guards against sessions that a coordinator forgets because of prompts that nobody shares,
// so that their prompts are read again elsewhere.
func TestSessionsAreKept(t *testing.T) {
	c := qt.New(t)
	const sessions = 2500
	chooser := placement.New(func() time.Time { return start }, rand.Float64, placement.WithPrefixes(65536))
	snapshot := engines(1, 1)
	place := func(session, request int, exclude ...ident.UpstreamID) ident.UpstreamID {
		query := placement.Query{
			Service: "s",
			Domain:  "here",
			Prompt:  prompt(fmt.Sprint(request), part("popular", 500), part(fmt.Sprint("session", session), 5000)),
			Exclude: make(map[ident.UpstreamID]bool),
		}
		for _, id := range exclude {
			query.Exclude[id] = true
		}
		placed, ok := chooser.Choose(query, snapshot)
		c.Assert(ok, qt.IsTrue)
		chooser.MarkPromptRead(placed)
		chooser.Done(placed, placement.Served, 0)
		return placed.ID
	}
	for i := range sessions {
		place(i, i, ident.UpstreamID(fmt.Sprintf("e%d", i%2)))
		for j := range 4 { // requests of one session
			place(0, sessions+4*i+j)
		}
	}
	for i := range sessions {
		c.Assert(place(i, -1-i), qt.Equals, ident.UpstreamID(fmt.Sprintf("e%d", 1-i%2)), qt.Commentf("session %d", i))
	}
}

// Guards against sending requests to an upstream that has become slow, and against
// avoiding an upstream forever because it was slow once.
func TestSlowUpstream(t *testing.T) {
	tests := map[string]struct {
		pace  time.Duration // of the first upstream; the others take 20 ms
		after time.Duration
		least int // bounds of how many of 30 requests it gets
		most  int
	}{
		"like the others": {pace: 20 * time.Millisecond, least: 6, most: 14},
		"a little slower": {pace: 26 * time.Millisecond, least: 4, most: 10},
		"much slower":     {pace: 100 * time.Millisecond, most: 4},
		"slow long ago":   {pace: 100 * time.Millisecond, after: time.Minute, least: 6, most: 14},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := start
			chooser := placement.New(func() time.Time { return now }, rand.Float64)
			snapshot := engines(1, 1, 1)
			query := placement.Query{
				Service: "s",
				Domain:  "here",
			}
			for _, id := range []ident.UpstreamID{"e0", "e1", "e2"} {
				pace := 20 * time.Millisecond
				if id == "e0" {
					pace = test.pace
				}
				placed, ok := chooser.PlaceAt(query, id, "", snapshot)
				c.Assert(ok, qt.IsTrue)
				chooser.Done(placed, placement.Served, pace)
			}
			now = now.Add(test.after)
			got := 0
			for range 30 {
				placed, ok := chooser.Choose(query, snapshot)
				c.Assert(ok, qt.IsTrue)
				if placed.ID == "e0" {
					got++
				}
			}
			c.Check(got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%d of 30", got))
		})
	}
}

// Guards against a host that follows another chooser's choice although it knows that
// the upstream is unusable.
func TestPlaceAt(t *testing.T) {
	tests := map[string]struct {
		id       ident.UpstreamID
		ending   placement.Ending // of an earlier request to e0
		exclude  ident.UpstreamID
		rejected bool
	}{
		"usable":         {id: "e0", ending: placement.Served},
		"not registered": {id: "e7", ending: placement.Served, rejected: true},
		"has failed":     {id: "e0", ending: placement.Failed, rejected: true},
		"is full":        {id: "e0", ending: placement.Full, rejected: true},
		"is excluded":    {id: "e0", ending: placement.Served, exclude: "e0", rejected: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			chooser := placement.New(func() time.Time { return start }, rand.Float64)
			snapshot := engines(1, 1)
			query := placement.Query{
				Service: "s",
			}
			before, ok := chooser.PlaceAt(query, "e0", "", snapshot)
			c.Assert(ok, qt.IsTrue)
			chooser.Done(before, test.ending, 0)
			query.Exclude = map[ident.UpstreamID]bool{test.exclude: true}
			placed, ok := chooser.PlaceAt(query, test.id, "e1", snapshot)
			c.Assert(ok, qt.Equals, !test.rejected)
			if ok {
				c.Check(placed.ID, qt.Equals, test.id)
				c.Check(placed.Cache.Address, qt.Equals, ident.Address("address of e1"))
			}
		})
	}
}
