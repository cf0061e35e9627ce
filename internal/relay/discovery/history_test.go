package discovery_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
)

// Guards against a host that sends all entries in place of the few that have changed, because it
// has listed the store (TestLargeTableSpreads), and against one that keeps an entry which has
// been removed.
func TestDeltaAfterListing(t *testing.T) {
	before := []kv.Entry{{Key: "a", Version: 5}, {Key: "b", Version: 7}}
	between := append([]kv.Entry{{Key: "came", Version: 11}}, before...) // and went
	after := []kv.Entry{{Key: "a", Version: 5}, {Key: "c", Version: 12}}
	restored := kv.InEpoch[kv.Cursor](1, 13)
	tests := map[string]struct {
		listings []kv.Cursor // of the sender, after the first one
		entries  []kv.Entry  // of the receiver
		cursor   kv.Cursor   // of the receiver
		full     bool
	}{
		"at the state before":      {listings: []kv.Cursor{13}, entries: before, cursor: 10},
		"in between":               {listings: []kv.Cursor{13}, entries: between, cursor: 11, full: true},
		"before the first listing": {listings: []kv.Cursor{13}, entries: before, cursor: 9, full: true},
		"before two listings":      {listings: []kv.Cursor{13, 20}, entries: before, cursor: 10},
		"between two listings":     {listings: []kv.Cursor{13, 20}, entries: after, cursor: 13},
		"the store was restored":   {listings: []kv.Cursor{restored}, entries: before, cursor: 10, full: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			replica := func() *discovery.Replica {
				return discovery.NewReplica(&orderedSink{}, time.Second, time.Now, func(kv.Key) int { return 0 })
			}
			sender, receiver := replica(), replica()
			sender.ApplyListing(before, 10)
			for _, cursor := range test.listings {
				sender.ApplyListing(after, cursor)
			}
			receiver.ApplyListing(test.entries, test.cursor)
			c.Check(sender.HasHistory(test.cursor), qt.Equals, !test.full)
			delta := sender.Delta(test.cursor)
			c.Check(delta.After == 0, qt.Equals, test.full)
			c.Check(receiver.Apply(delta), qt.IsTrue)
			for _, key := range []kv.Key{"a", "b", "c", "came"} {
				c.Check(receiver.Entry(key).Version, qt.Equals, sender.Entry(key).Version, qt.Commentf("%s", key))
			}
		})
	}
}
