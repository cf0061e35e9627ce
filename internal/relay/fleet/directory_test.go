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

func listed(id ident.UpstreamID, version kv.Version, state fleet.State) fleet.Listed {
	return fleet.Listed{
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

// Guards against new work for an upstream that is leaving or gone, and against
// news that arrives out of order.
func TestDirectory(t *testing.T) {
	const none = time.Duration(0)
	tests := map[string]struct {
		do   func(d *fleet.Directory)
		at   time.Duration // of the reading
		want []ident.UpstreamID
	}{
		"registered": {
			do: func(d *fleet.Directory) {
				d.Put(listed("b", 2, fleet.Ready))
				d.Put(listed("a", 1, fleet.Ready))
			},
			want: []ident.UpstreamID{"a", "b"},
		},
		"draining": {
			do: func(d *fleet.Directory) {
				d.Put(listed("a", 1, fleet.Ready))
				d.Put(listed("a", 2, fleet.Draining))
			},
		},
		"older news after draining": {
			do: func(d *fleet.Directory) {
				d.Put(listed("a", 2, fleet.Draining))
				d.Put(listed("a", 1, fleet.Ready))
			},
		},
		"removed": {
			do: func(d *fleet.Directory) {
				d.Put(listed("a", 1, fleet.Ready))
				d.Remove("a", 2, time.Time{})
			},
		},
		"older removal": {
			do: func(d *fleet.Directory) {
				d.Put(listed("a", 3, fleet.Ready))
				d.Remove("a", 2, time.Time{})
			},
			want: []ident.UpstreamID{"a"},
		},
		"doubtful removal, before its time": {
			do: func(d *fleet.Directory) {
				d.Put(listed("a", 1, fleet.Ready))
				d.Remove("a", 2, start.Add(2*time.Second))
			},
			at:   time.Second,
			want: []ident.UpstreamID{"a"},
		},
		"doubtful removal, after its time": {
			do: func(d *fleet.Directory) {
				d.Put(listed("a", 1, fleet.Ready))
				d.Remove("a", 2, start.Add(2*time.Second))
			},
			at: 2 * time.Second,
		},
		"back after a doubtful removal": {
			do: func(d *fleet.Directory) {
				d.Put(listed("a", 1, fleet.Ready))
				d.Remove("a", 2, start.Add(2*time.Second))
				d.Put(listed("a", 3, fleet.Ready))
			},
			at:   3 * time.Second,
			want: []ident.UpstreamID{"a"},
		},
		"doubt ends with a certain removal": {
			do: func(d *fleet.Directory) {
				d.Put(listed("a", 1, fleet.Ready))
				d.Remove("a", 2, start.Add(2*time.Second))
				d.Remove("a", 3, time.Time{})
			},
			at: none,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := fleet.New()
			test.do(d)
			d.Tick(start.Add(test.at))
			qt.Assert(t, ready(d), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a snapshot that changes under its reader.
func TestSnapshotIsImmutable(t *testing.T) {
	c := qt.New(t)
	d := fleet.New()
	d.Put(listed("a", 1, fleet.Ready))
	held := d.Snapshot()
	d.Put(listed("b", 2, fleet.Ready))
	d.Remove("a", 3, time.Time{})
	c.Assert(held.Ready("s"), qt.HasLen, 1)
	c.Assert(held.Ready("s")[0].ID, qt.Equals, ident.UpstreamID("a"))
	c.Assert(ready(d), qt.DeepEquals, []ident.UpstreamID{"b"})
}

// Guards against a request that is sent on to an upstream that has started again.
func TestAccepts(t *testing.T) {
	c := qt.New(t)
	d := fleet.New()
	first := listed("a", 1, fleet.Ready)
	d.Put(first)
	c.Check(d.Snapshot().Accepts(first.Upstream), qt.IsTrue)
	again := listed("a", 2, fleet.Ready)
	again.Upstream.Started = 2
	d.Put(again)
	c.Check(d.Snapshot().Accepts(first.Upstream), qt.IsFalse)
	c.Check(d.Snapshot().Accepts(again.Upstream), qt.IsTrue)
}
