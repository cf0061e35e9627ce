package discovery_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
)

// Guards against a store that is restored from a backup and makes a host forget upstreams
// that still run, or use one again that has left.
func TestRestoredStore(t *testing.T) {
	c := qt.New(t)
	now := start
	sink := newRecorder()
	replica := discovery.NewReplica(sink, renewal, func() time.Time { return now }, anySize)
	entry := func(epoch kv.Epoch, key kv.Key, revision kv.Version) kv.Entry {
		return kv.Entry{
			Key:     key,
			Value:   []byte(key),
			Version: kv.InEpoch(epoch, revision),
		}
	}
	replica.ApplyListing([]kv.Entry{entry(0, "left", 10), entry(0, "running", 11)}, 100)
	replica.ApplyWatch(100, kv.Changes{
		Cursor: 102,
		Changes: []kv.Change{
			{Entry: entry(0, "left", 101), Deleted: true},
			{Entry: entry(0, "started", 102)},
		},
	})
	backup := []kv.Entry{entry(1, "left", 10), entry(1, "running", 11)}
	replica.ApplyListing(backup, kv.InEpoch(1, kv.Cursor(100)))
	c.Check(replica.Cursor(), qt.Equals, kv.InEpoch(1, kv.Cursor(100)))
	c.Check(sink.entries, qt.DeepEquals, map[kv.Key]kv.Version{"running": kv.InEpoch(1, kv.Version(11))})
	c.Check(sink.removals["started"].After(now), qt.IsTrue, qt.Commentf("its registration is about to be written again"))
	replica.ApplyWatch(replica.Cursor(), kv.Changes{
		Cursor: kv.InEpoch(1, kv.Cursor(102)),
		Changes: []kv.Change{
			{Entry: entry(1, "started", 101)},
			{Entry: entry(1, "left", 102)}, // a new process
		},
	})
	c.Check(sink.entries, qt.HasLen, 3)
}
