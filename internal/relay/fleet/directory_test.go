package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/kv"
)

var start = time.Unix(1_700_000_000, 0)

func registration(id ident.UpstreamID, version kv.Version, state fleet.State) fleet.Registration {
	return fleet.Registration{
		Upstream: fleet.Upstream{
			ID:      id,
			Service: "s",
			Address: "10.0.0.1:80",
			State:   state,
			Started: 1,
		},
		Version: version,
	}
}

func ready(d *fleet.Directory) []ident.UpstreamID {
	var ids []ident.UpstreamID
	for _, upstream := range d.Snapshot().Ready("s") {
		ids = append(ids, upstream.ID)
	}
	return ids
}

// Guards against new work for an upstream that is draining or removed, and against
// updates that arrive out of order.
func TestDirectory(t *testing.T) {
	const none = time.Duration(0)
	tests := map[string]struct {
		apply func(d *fleet.Directory)
		at    time.Duration // when the snapshot is taken
		want  []ident.UpstreamID
	}{
		"registered": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("b", 2, fleet.Ready))
				d.Put(registration("a", 1, fleet.Ready))
			},
			want: []ident.UpstreamID{"a", "b"},
		},
		"draining": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.Put(registration("a", 2, fleet.Draining))
			},
		},
		"older registration after draining": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 2, fleet.Draining))
				d.Put(registration("a", 1, fleet.Ready))
			},
		},
		"removed": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.Remove("a", 2, time.Time{})
			},
		},
		"older removal": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 3, fleet.Ready))
				d.Remove("a", 2, time.Time{})
			},
			want: []ident.UpstreamID{"a"},
		},
		"unconfirmed removal, before it takes effect": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.Remove("a", 2, start.Add(2*time.Second))
			},
			at:   time.Second,
			want: []ident.UpstreamID{"a"},
		},
		"unconfirmed removal, after it takes effect": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.Remove("a", 2, start.Add(2*time.Second))
			},
			at: 2 * time.Second,
		},
		"registered again after an unconfirmed removal": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.Remove("a", 2, start.Add(2*time.Second))
				d.Put(registration("a", 3, fleet.Ready))
			},
			at:   3 * time.Second,
			want: []ident.UpstreamID{"a"},
		},
		"confirmed removal after an unconfirmed one": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.Remove("a", 2, start.Add(2*time.Second))
				d.Remove("a", 3, time.Time{})
			},
			at: none,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := fleet.New()
			test.apply(d)
			d.Tick(start.Add(test.at))
			qt.Assert(t, ready(d), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a snapshot that changes while a caller uses it.
func TestSnapshotIsImmutable(t *testing.T) {
	c := qt.New(t)
	d := fleet.New()
	d.Put(registration("a", 1, fleet.Ready))
	before := d.Snapshot()
	d.Put(registration("b", 2, fleet.Ready))
	d.Remove("a", 3, time.Time{})
	c.Assert(before.Ready("s"), qt.HasLen, 1)
	c.Assert(before.Ready("s")[0].ID, qt.Equals, ident.UpstreamID("a"))
	c.Assert(ready(d), qt.DeepEquals, []ident.UpstreamID{"b"})
}

// Guards against forwarding a request to an upstream that has been restarted since it
// was chosen.
func TestAccepts(t *testing.T) {
	c := qt.New(t)
	d := fleet.New()
	first := registration("a", 1, fleet.Ready)
	d.Put(first)
	c.Check(d.Snapshot().Accepts(first.Upstream), qt.IsTrue)
	restarted := registration("a", 2, fleet.Ready)
	restarted.Upstream.Started = 2
	d.Put(restarted)
	c.Check(d.Snapshot().Accepts(first.Upstream), qt.IsFalse)
	c.Check(d.Snapshot().Accepts(restarted.Upstream), qt.IsTrue)
}

// Guards against requests to an upstream that has stated that it drains, although its
// registration does not say so, and against a mark that outlives the restart of the
// upstream.
func TestMarkDraining(t *testing.T) {
	restarted := func(version kv.Version) fleet.Registration {
		r := registration("a", version, fleet.Ready)
		r.Upstream.Started = 2
		return r
	}
	tests := map[string]struct {
		apply func(d *fleet.Directory)
		at    time.Duration
		want  []ident.UpstreamID
	}{
		"marked": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.MarkDraining("a", 1, start)
			},
		},
		"registers again as ready": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.MarkDraining("a", 1, start)
				d.Put(registration("a", 2, fleet.Ready))
			},
			at: time.Hour,
		},
		"marked before it is known": {
			apply: func(d *fleet.Directory) {
				d.MarkDraining("a", 1, start)
				d.Put(registration("a", 1, fleet.Ready))
			},
		},
		"entry lapses and comes back": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.MarkDraining("a", 1, start)
				d.Remove("a", 2, time.Time{})
				d.Tick(start.Add(time.Minute))
				d.Put(registration("a", 3, fleet.Ready))
			},
		},
		"restarted": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.MarkDraining("a", 1, start)
				d.Put(restarted(2))
			},
			want: []ident.UpstreamID{"a"},
		},
		"late news of the process before": {
			apply: func(d *fleet.Directory) {
				d.Put(restarted(2))
				d.MarkDraining("a", 1, start)
			},
			want: []ident.UpstreamID{"a"},
		},
		"registration is older than the mark": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.MarkDraining("a", 2, start)
			},
		},
		"another": {
			apply: func(d *fleet.Directory) {
				d.Put(registration("a", 1, fleet.Ready))
				d.MarkDraining("b", 1, start)
			},
			want: []ident.UpstreamID{"a"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := fleet.New()
			test.apply(d)
			d.Tick(start.Add(test.at))
			qt.Assert(t, ready(d), qt.DeepEquals, test.want)
		})
	}
}
