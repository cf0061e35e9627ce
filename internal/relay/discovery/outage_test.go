package discovery_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
)

// tickInterval is the time between two looks at whether a host runs.
const tickInterval = 500 * time.Millisecond

// Guards against dropping a live upstream because its entry expired while the store
// was unavailable, and against unconfirmed removals while the store is available, also at a host
// that has stood still (review/15).
func TestRemovalsAreUnconfirmedAfterOutage(t *testing.T) {
	tests := map[string]struct {
		confirmed   time.Duration // by another host; time since the first listing
		polled      time.Duration // when the store responded to a poll of this host; 0 for never
		removed     time.Duration // when this host learns of the removal
		unconfirmed time.Duration // how long the removal is unconfirmed

		runs  bool             // this host is seen running, but for still
		still [2]time.Duration // when it stands still
	}{
		"store was always available":                          {confirmed: 9 * time.Second, removed: 10 * time.Second},
		"store was unavailable for all hosts":                 {confirmed: 3 * time.Second, removed: 10 * time.Second, unconfirmed: 2200 * time.Millisecond},
		"store was unavailable for this host only":            {confirmed: 9500 * time.Millisecond, removed: 10 * time.Second},
		"silence that is too short for an outage":             {confirmed: 0, removed: 2200 * time.Millisecond},
		"poll without outage, then the grace period of peers": {confirmed: 0, polled: 2200 * time.Millisecond, removed: 2600 * time.Millisecond},
		"poll after an outage":                                {confirmed: 0, polled: 3 * time.Second, removed: 3400 * time.Millisecond, unconfirmed: 1800 * time.Millisecond},

		"poll after a standstill":                {runs: true, still: [2]time.Duration{time.Second, 4 * time.Second}, polled: 4 * time.Second, removed: 4100 * time.Millisecond},
		"poll some time after a standstill":      {runs: true, still: [2]time.Duration{time.Second, 4 * time.Second}, polled: 4700 * time.Millisecond, removed: 4700 * time.Millisecond},
		"poll after a standstill and an outage":  {runs: true, still: [2]time.Duration{3 * time.Second, 6 * time.Second}, polled: 6 * time.Second, removed: 6 * time.Second, unconfirmed: 2200 * time.Millisecond},
		"poll after an outage of a running host": {runs: true, polled: 4 * time.Second, removed: 4 * time.Second, unconfirmed: 2200 * time.Millisecond},
		"standstill before an outage":            {runs: true, still: [2]time.Duration{time.Second, 4 * time.Second}, confirmed: 4500 * time.Millisecond, polled: 8 * time.Second, removed: 8 * time.Second, unconfirmed: 2200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := start
			v := newRecorder()
			replica := discovery.NewReplica(v, renewal, func() time.Time { return now }, anySize)
			replica.ApplyListing([]kv.Entry{{
				Key:     "servers/a",
				Version: 1,
			}}, 1)
			run := func(from, to time.Duration) {
				for at := from; test.runs && at < to; at += tickInterval {
					if at > test.still[0] && at < test.still[1] {
						continue
					}
					now = start.Add(at)
					replica.Tick()
				}
			}
			run(0, test.confirmed)
			now = start.Add(test.confirmed)
			c.Assert(replica.Confirm(1, 0), qt.IsFalse)
			run(test.confirmed, test.polled)
			if test.polled > 0 {
				now = start.Add(test.polled)
				replica.RecordResponse()
			}
			now = start.Add(test.removed)
			replica.ApplyWatch(1, removal("servers/a", 2))
			until, removed := v.removals["servers/a"]
			c.Assert(removed, qt.IsTrue)
			if test.unconfirmed == 0 {
				c.Assert(until.IsZero(), qt.IsTrue)
				return
			}
			c.Assert(until, qt.Equals, now.Add(test.unconfirmed))
			// The removal is unconfirmed on another host that receives it from this one, too.
			otherSink := newRecorder()
			other := discovery.NewReplica(otherSink, renewal, func() time.Time { return now }, anySize)
			other.ApplyListing([]kv.Entry{{
				Key:     "servers/a",
				Version: 1,
			}}, 1)
			c.Assert(other.Apply(replica.Delta(1)), qt.IsTrue)
			c.Assert(otherSink.removals["servers/a"], qt.Equals, until)
		})
	}
}
