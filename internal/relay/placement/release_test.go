package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
)

// Guards against an upstream that fetches the cached prompt of another release of its
// software, and against a stream that is placed at another release.
func TestReleasesDoNotMix(t *testing.T) {
	tests := map[string]struct {
		second fleet.Release // of the upstream without the prompt
		cache  ident.UpstreamID
	}{
		"same release":    {second: "v1", cache: "a"},
		"another release": {second: "v2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := fleet.New()
			for id, release := range map[ident.UpstreamID]fleet.Release{"a": "v1", "b": test.second} {
				d.Put(fleet.Registration{
					Upstream: fleet.Upstream{
						ID:      id,
						Service: "s",
						Release: release,
						State:   fleet.Ready,
						Started: ident.Incarnation(start.Add(-time.Hour).UnixMilli()),
					},
					Version: 1,
				})
			}
			chooser := placement.New(func() time.Time { return start }, func() float64 { return 0 })
			query := placement.Query{
				Service: "s",
				Prompt:  prompt("own", part("shared", 5000)),
			}
			query.Exclude = map[ident.UpstreamID]bool{"b": true}
			read, ok := chooser.Choose(query, d.Snapshot())
			c.Assert(ok, qt.IsTrue)
			chooser.MarkPromptRead(read)

			query.Exclude = map[ident.UpstreamID]bool{"a": true}
			chosen, ok := chooser.Choose(query, d.Snapshot())
			c.Assert(ok, qt.IsTrue)
			c.Check(chosen.Cache.ID, qt.Equals, test.cache)
			proposed, ok := chooser.PlaceAt(query, "b", "a", d.Snapshot())
			c.Assert(ok, qt.IsTrue)
			c.Check(proposed.Cache.ID, qt.Equals, test.cache)

			query.Release = "v1"
			_, ok = chooser.PlaceAt(query, "b", "", d.Snapshot())
			c.Check(ok, qt.Equals, test.second == "v1")
			_, ok = chooser.Choose(query, d.Snapshot())
			c.Check(ok, qt.Equals, test.second == "v1")
		})
	}
}
