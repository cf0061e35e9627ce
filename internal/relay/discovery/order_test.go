package discovery_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
)

// orderedSink records the versions that it receives, in order.
type orderedSink struct {
	versions []kv.Version
}

func (s *orderedSink) Put(entry kv.Entry) { s.versions = append(s.versions, entry.Version) }

func (s *orderedSink) Removed(kv.Key, kv.Version, time.Time) {}

// Guards against a routing table that is in force before an entry that was written earlier
// and restricts it, such as that keys are required: requests without a valid key were served
// in between.
func TestEntriesAreAppliedInOrder(t *testing.T) {
	entries := []kv.Entry{
		{Key: "table", Version: 9},
		{Key: "organised", Version: 8},
		{Key: "upstreams/a", Version: 3},
	}
	var changes []kv.Change
	for _, entry := range entries {
		changes = append(changes, kv.Change{
			Entry: entry,
		})
	}
	tests := map[string]func(r *discovery.Replica){
		"listing":       func(r *discovery.Replica) { r.ApplyListing(entries, 9) },
		"stale listing": func(r *discovery.Replica) { r.ApplyStaleListing(entries, 9) },
		"transfer": func(r *discovery.Replica) {
			r.Apply(discovery.Delta{
				Cursor:  9,
				Changes: changes,
			})
		},
	}
	for name, apply := range tests {
		t.Run(name, func(t *testing.T) {
			sink := &orderedSink{}
			apply(discovery.NewReplica(sink, renewal, time.Now, func(kv.Key) int { return 0 }))
			qt.Assert(t, sink.versions, qt.DeepEquals, []kv.Version{3, 8, 9})
		})
	}
}
