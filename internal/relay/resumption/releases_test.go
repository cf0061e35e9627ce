package resumption_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/resumption"
	"github.com/nutmegshift/nutmegshift/kv"
)

// host is a host's view of the upstreams of service "s".
type host struct {
	now       time.Time
	directory *fleet.Directory
	releases  *resumption.Releases
	settled   bool // the store is
	version   kv.Version
	share     func(ctx context.Context, record []byte) error // makes another host write a record
}

func newHost(now time.Time) *host {
	h := &host{
		now:       now,
		directory: fleet.New(),
		settled:   true,
		share:     unshared,
	}
	h.releases = resumption.NewReleases(h.directory.Snapshot, func() bool { return h.settled }, func() time.Time { return h.now })
	return h
}

func (h *host) register(id ident.UpstreamID, release fleet.Release) {
	h.registerAt("s", id, release)
}

func (h *host) registerAt(service ident.ServiceName, id ident.UpstreamID, release fleet.Release) {
	h.version++
	h.directory.Put(fleet.Registration{
		Upstream: fleet.Upstream{
			ID:      id,
			Service: service,
			Release: release,
			State:   fleet.Ready,
		},
		Version: h.version,
	})
}

func (h *host) remove(id ident.UpstreamID) {
	h.version++
	h.directory.Remove(id, h.version, time.Time{})
}

// Guards against a release that is forgotten while its streams may still be taken up: the
// rest of such a stream would come from another release.
func TestReleases(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	replace := func(h *host) {
		h.register("a", "v1")
		h.releases.Possible("s")
		h.register("b", "v2")
		h.releases.Possible("s")
		h.remove("a")
		h.releases.Possible("s")
	}
	tests := map[string]struct {
		apply func(c *qt.C, h *host)
		want  []fleet.Release
	}{
		"one release": {
			apply: func(_ *qt.C, h *host) { h.register("a", "v1") },
			want:  []fleet.Release{"v1"},
		},
		"two in service": {
			apply: func(_ *qt.C, h *host) {
				h.register("a", "v1")
				h.register("b", "v2")
			},
			want: []fleet.Release{"v1", "v2"},
		},
		"the first has left": {
			apply: func(_ *qt.C, h *host) { replace(h) },
			want:  []fleet.Release{"v1", "v2"},
		},
		"the first left long ago": {
			apply: func(_ *qt.C, h *host) {
				replace(h)
				h.now = h.now.Add(2 * time.Minute)
			},
			want: []fleet.Release{"v2"},
		},
		"the first left before this host started": {
			apply: func(c *qt.C, h *host) {
				before := newHost(h.now)
				replace(before)
				entry, err := before.releases.Entry(nil)
				c.Assert(err, qt.IsNil)
				c.Assert(h.releases.Learn(entry), qt.IsNil)
				h.register("b", "v2")
			},
			want: []fleet.Release{"v1", "v2"},
		},
		"the first left long before this host started": {
			apply: func(c *qt.C, h *host) {
				before := newHost(h.now)
				replace(before)
				before.now = before.now.Add(2 * time.Minute)
				entry, err := before.releases.Entry([]byte(`{"s":["v1","v2"]}`))
				c.Assert(err, qt.IsNil)
				h.register("b", "v2")
				c.Assert(h.releases.Learn(entry), qt.IsNil)
			},
			want: []fleet.Release{"v2"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHost(start)
			test.apply(c, h)
			c.Assert(h.releases.Possible("s"), qt.DeepEquals, test.want)
			c.Check(h.releases.Mixed()["s"], qt.Equals, len(test.want) > 1)
		})
	}
}

// Guards against an entry that is written anew although nothing has changed, or that keeps a
// release without end.
func TestReleasesEntry(t *testing.T) {
	c := qt.New(t)
	h := newHost(time.Unix(1_700_000_000, 0))
	h.register("a", "v1")
	h.register("b", "v2")
	entry, err := h.releases.Entry(nil)
	c.Assert(err, qt.IsNil)
	h.remove("a")
	for _, step := range []struct {
		after time.Duration
		want  string
	}{
		{after: 0, want: `{"s":["v1","v2"]}`},
		{after: 50 * time.Second, want: `{"s":["v1","v2"]}`},
		{after: 20 * time.Second, want: `{"s":["v2"]}`},
		{after: time.Hour, want: `{"s":["v2"]}`},
	} {
		h.now = h.now.Add(step.after)
		entry, err = h.releases.Entry(entry)
		c.Assert(err, qt.IsNil)
		c.Check(string(entry), qt.Equals, step.want)
		c.Check(h.releases.Learn([]byte(`{"s":["v1","v2"]}`)), qt.IsNil) // from a host that has missed it for less long
	}
}

// Guards against streams that begin at a release that has just joined, so that nobody can tell
// which release began the others, and against a service that has no other upstreams.
func TestReleaseIsHeld(t *testing.T) {
	tests := map[string]struct {
		before    string // entry when the release joins
		unsettled bool
		leave     bool // upstreams of the other release do
		back      bool // and come back
		after     time.Duration
		held      []fleet.Release
		possible  []fleet.Release
		entry     string
	}{
		"joins":                       {before: `{"s":["v1"]}`, held: []fleet.Release{"v2"}, possible: []fleet.Release{"v1"}, entry: `{"s":["v1"]}`},
		"known for some time":         {before: `{"s":["v1"]}`, after: time.Second, held: []fleet.Release{"v2"}, possible: []fleet.Release{"v1"}, entry: `{"s":["v1","v2"]}`},
		"published":                   {before: `{"s":["v1","v2"]}`, possible: []fleet.Release{"v1", "v2"}, entry: `{"s":["v1","v2"]}`},
		"nothing is published":        {before: `{}`, possible: []fleet.Release{"v1", "v2"}, entry: `{"s":["v1","v2"]}`},
		"the other one leaves":        {before: `{"s":["v1"]}`, leave: true, held: []fleet.Release{"v2"}, possible: []fleet.Release{"v1"}, entry: `{"s":["v1"]}`},
		"the other one is back":       {before: `{"s":["v1"]}`, leave: true, back: true, after: 400 * time.Millisecond, held: []fleet.Release{"v2"}, possible: []fleet.Release{"v1"}, entry: `{"s":["v1"]}`},
		"the other one has left":      {before: `{"s":["v1"]}`, leave: true, after: 400 * time.Millisecond, possible: []fleet.Release{"v1", "v2"}, entry: `{"s":["v1","v2"]}`},
		"the store has been restored": {before: `{"s":["v1"]}`, unsettled: true, possible: []fleet.Release{"v1", "v2"}, entry: `{"s":["v1","v2"]}`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHost(time.Unix(1_700_000_000, 0))
			h.settled = !test.unsettled
			h.register("a", "v1")
			h.releases.Mixed()
			c.Assert(h.releases.Learn([]byte(test.before)), qt.IsNil)
			h.register("b", "v2")
			c.Check(h.releases.Mixed()["s"], qt.IsTrue, qt.Commentf("streams are recorded"))
			if test.leave {
				h.remove("a")
				h.releases.Mixed()
			}
			if test.back {
				h.register("c", "v1")
				h.releases.Mixed()
			}
			h.now = h.now.Add(test.after)
			c.Check(h.releases.Held("s"), qt.DeepEquals, append([]fleet.Release{}, test.held...))
			c.Check(h.releases.Possible("s"), qt.DeepEquals, test.possible)
			entry, err := h.releases.Entry([]byte(test.before))
			c.Assert(err, qt.IsNil)
			c.Check(string(entry), qt.Equals, test.entry)
		})
	}
}

// Guards against a release that counts as never used because a restored store has lost it.
func TestReleaseStaysOpen(t *testing.T) {
	c := qt.New(t)
	h := newHost(time.Unix(1_700_000_000, 0))
	h.register("a", "v1")
	h.register("b", "v2")
	h.releases.Mixed()
	c.Assert(h.releases.Learn([]byte(`{"s":["v1","v2"]}`)), qt.IsNil)
	c.Assert(h.releases.Learn([]byte(`{"s":["v1"]}`)), qt.IsNil)
	c.Check(h.releases.Held("s"), qt.HasLen, 0)
	c.Check(h.releases.Possible("s"), qt.DeepEquals, []fleet.Release{"v1", "v2"})
}
