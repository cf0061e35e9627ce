package discovery_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
)

// renewal is the interval at which entries are renewed.
const renewal = 1200 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// recorder is a Sink that records the entries and removals that it receives.
type recorder struct {
	entries  map[kv.Key]kv.Version
	sizes    map[kv.Key]int       // of values, in bytes
	removals map[kv.Key]time.Time // when removals take effect
}

func newRecorder() *recorder {
	return &recorder{
		entries:  make(map[kv.Key]kv.Version),
		sizes:    make(map[kv.Key]int),
		removals: make(map[kv.Key]time.Time),
	}
}

func (r *recorder) Put(entry kv.Entry) {
	r.entries[entry.Key] = entry.Version
	r.sizes[entry.Key] = len(entry.Value)
}

func (r *recorder) Removed(key kv.Key, _ kv.Version, until time.Time) {
	delete(r.entries, key)
	r.removals[key] = until
}

// model is a store with its history.
type model struct {
	version kv.Version
	entries map[kv.Key]kv.Entry
	history []kv.Change
}

func (m *model) change(key kv.Key, deleted bool) {
	m.version++
	entry := kv.Entry{
		Key:     key,
		Version: m.version,
	}
	if _, ok := m.entries[key]; deleted && !ok {
		deleted = false
	}
	if deleted {
		delete(m.entries, key)
	} else {
		m.entries[key] = entry
	}
	m.history = append(m.history, kv.Change{
		Entry:   entry,
		Deleted: deleted,
	})
}

func (m *model) list() []kv.Entry {
	var entries []kv.Entry
	for _, entry := range m.entries {
		entries = append(entries, entry)
	}
	return entries
}

// tornListing returns a listing of two pages, with its cursor, that some changes came
// between.
func (m *model) tornListing(change func()) ([]kv.Entry, kv.Cursor) {
	cursor := kv.Cursor(m.version)
	first := m.list()
	change()
	var entries []kv.Entry
	for _, entry := range first {
		if entry.Key < secondPage {
			entries = append(entries, entry)
		}
	}
	for _, entry := range m.list() {
		if entry.Key >= secondPage {
			entries = append(entries, entry)
		}
	}
	return entries, cursor
}

// hasHad reports whether a key had the given version, 0 for none, at the cursor or later.
func (m *model) hasHad(key kv.Key, version kv.Version, cursor kv.Cursor) bool {
	current := kv.Version(0)
	for _, change := range m.history {
		if kv.Cursor(change.Entry.Version) > cursor && current == version {
			return true
		}
		switch {
		case change.Entry.Key != key:
		case change.Deleted:
			current = 0
		default:
			current = change.Entry.Version
		}
	}
	return current == version
}

func (m *model) since(cursor kv.Cursor) kv.Changes {
	changes := kv.Changes{
		Cursor: kv.Cursor(m.version),
	}
	for _, change := range m.history {
		if kv.Cursor(change.Entry.Version) > cursor {
			changes.Changes = append(changes.Changes, change)
		}
	}
	return changes
}

// anySize keeps values of any size.
func anySize(kv.Key) int { return math.MaxInt }

// Guards against an entry of another writer whose size exhausts the memory of hosts, or
// that cannot be sent to them: the others must be followed, and the odd one must not stay
// in force.
func TestOversizedValue(t *testing.T) {
	c := qt.New(t)
	const limit = 100
	bounded := func(kv.Key) int { return limit }
	odd := kv.Entry{
		Key:     "odd",
		Value:   make([]byte, 10<<20),
		Version: 2,
	}
	good := kv.Entry{
		Key:     "good",
		Value:   make([]byte, limit),
		Version: 3,
	}
	now := func() time.Time { return start }
	listed, watched, transferred := newRecorder(), newRecorder(), newRecorder()
	lister := discovery.NewReplica(listed, renewal, now, bounded)
	lister.ApplyListing([]kv.Entry{odd, good}, 3)
	watcher := discovery.NewReplica(watched, renewal, now, bounded)
	watcher.ApplyListing([]kv.Entry{{
		Key:     "odd",
		Value:   []byte("in force"),
		Version: 1,
	}}, 1)
	watcher.ApplyWatch(1, kv.Changes{
		Changes: []kv.Change{{
			Entry: odd,
		}, {
			Entry: good,
		}},
		Cursor: 3,
	})
	receiver := discovery.NewReplica(transferred, renewal, now, bounded)
	c.Assert(receiver.Apply(lister.Delta(0)), qt.IsTrue)
	for name, r := range map[string]*recorder{"listed": listed, "watched": watched, "transferred": transferred} {
		c.Check(r.entries, qt.DeepEquals, map[kv.Key]kv.Version{"odd": 2, "good": 3}, qt.Commentf("%s", name))
		c.Check(r.sizes, qt.DeepEquals, map[kv.Key]int{"odd": 0, "good": limit}, qt.Commentf("%s", name))
	}
	for _, replica := range []*discovery.Replica{lister, watcher, receiver} {
		c.Check(replica.Cursor(), qt.Equals, kv.Cursor(3))
	}
}

// secondPage is the first key of the second page of a listing.
const secondPage = "k3"

// Guards against replicas that differ from the store although their cursors mark them
// as complete, after any mix of listings, watches and transfers between hosts,
// including repeated and reordered ones.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		const keys = 5
		store := &model{
			entries: make(map[kv.Key]kv.Entry),
		}
		now := start
		var recorders []*recorder
		var replicas []*discovery.Replica
		for range hosts {
			v := newRecorder()
			recorders = append(recorders, v)
			replicas = append(replicas, discovery.NewReplica(v, renewal, func() time.Time { return now }, anySize))
		}
		change := func() {
			key := kv.Key(fmt.Sprintf("k%d", rapid.IntRange(0, keys-1).Draw(t, "key")))
			store.change(key, rapid.Bool().Draw(t, "deleted"))
		}
		var delayed []discovery.Delta
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			now = now.Add(100 * time.Millisecond)
			h := rapid.IntRange(0, hosts-1).Draw(t, "host")
			other := rapid.IntRange(0, hosts-1).Draw(t, "other")
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				change()
			case 2:
				replicas[h].ApplyListing(store.list(), kv.Cursor(store.version))
			case 3:
				if cursor := replicas[h].Cursor(); cursor > 0 {
					replicas[h].ApplyWatch(cursor, store.since(cursor))
				}
			case 4:
				delta := replicas[other].Delta(replicas[h].Cursor())
				delayed = append(delayed, delta)
				replicas[h].Apply(delta)
			case 5:
				if len(delayed) > 0 {
					replicas[h].Apply(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "delayed")])
				}
			case 6: // the host starts again, and takes what a stale listing has
				recorders[h] = newRecorder()
				replicas[h] = discovery.NewReplica(recorders[h], renewal, func() time.Time { return now }, anySize)
				replicas[h].ApplyStaleListing(store.list(), kv.Cursor(store.version))
			case 7:
				entries, cursor := store.tornListing(change)
				replicas[h].ApplyListing(entries, cursor)
			case 8:
				replicas[h].DropRemovals()
			}
			for h, replica := range replicas {
				for k := range keys {
					key := kv.Key(fmt.Sprintf("k%d", k))
					if version := recorders[h].entries[key]; replica.Cursor() > 0 && !store.hasHad(key, version, replica.Cursor()) {
						t.Fatalf("host %d has version %d of %q, which the store did not have at %d or later", h, version, key, replica.Cursor())
					}
				}
			}
		}
		for h, replica := range replicas {
			replica.ApplyListing(store.list(), kv.Cursor(store.version))
			for _, other := range replicas {
				other.Apply(replica.Delta(other.Cursor()))
			}
			if len(recorders[h].entries) != len(store.entries) {
				t.Fatalf("host %d holds %v, the store %v", h, recorders[h].entries, store.entries)
			}
		}
		for h, v := range recorders {
			for key, entry := range store.entries {
				if v.entries[key] != entry.Version {
					t.Fatalf("host %d holds %v, the store %v", h, v.entries, store.entries)
				}
			}
			if len(v.entries) != len(store.entries) {
				t.Fatalf("host %d holds %v, the store %v", h, v.entries, store.entries)
			}
		}
	})
}

// Guards against a host that keeps a removed entry for good, since it has taken later
// changes from a host that does not know of the removal but passes them on as complete.
func TestTransferHasAllRemovals(t *testing.T) {
	const count = 5000 // more than the removals that a replica retains
	var entries []kv.Entry
	var removals []kv.Change
	for i := range kv.Version(count) {
		entry := kv.Entry{
			Key:     kv.Key(fmt.Sprintf("servers/%d", i)),
			Version: 1 + i,
		}
		entries = append(entries, entry)
		entry.Version += count
		removals = append(removals, kv.Change{
			Entry:   entry,
			Deleted: true,
		})
	}
	watched := kv.Changes{
		Changes: removals,
		Cursor:  2 * count,
	}
	tests := map[string]func(from *discovery.Replica){
		"started from a listing": func(from *discovery.Replica) {
			from.ApplyListing(nil, 2*count)
		},
		"started from a stale listing": func(from *discovery.Replica) {
			from.ApplyStaleListing(nil, 2*count)
		},
		"listed again after the store had dropped its history": func(from *discovery.Replica) {
			from.ApplyListing(entries[:1], 1)
			from.ApplyListing(nil, 2*count)
		},
		"started from another host that had listed": func(from *discovery.Replica) {
			listed := newReplica()
			listed.ApplyListing(nil, 2*count)
			from.Apply(listed.Delta(0))
		},
		"joined a host that had listed": func(from *discovery.Replica) {
			from.ApplyListing(entries[:1], 1)
			listed := newReplica()
			listed.ApplyListing(nil, 2*count)
			from.Apply(listed.Delta(1))
		},
		"saw more removals than it retains": func(from *discovery.Replica) {
			from.ApplyListing(entries, count)
			from.ApplyWatch(count, watched)
		},
		"took more removals than it retains": func(from *discovery.Replica) {
			from.ApplyListing(entries, count)
			from.Apply(discovery.Delta{
				After:   count,
				Cursor:  2 * count,
				Changes: removals,
			})
		},
		"saw more removals than it retains and then an old listing": func(from *discovery.Replica) {
			from.ApplyListing(entries, count)
			from.ApplyWatch(count, watched)
			from.ApplyListing(entries, count)
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			from := newReplica()
			prepare(from)
			c.Assert(from.Cursor(), qt.Equals, kv.Cursor(2*count))
			receiver := newRecorder()
			to := discovery.NewReplica(receiver, renewal, func() time.Time { return start }, anySize)
			to.ApplyListing(entries, count)
			c.Assert(to.Apply(from.Delta(count)), qt.IsTrue)
			c.Check(to.Cursor(), qt.Equals, kv.Cursor(2*count))
			c.Check(len(receiver.entries), qt.Equals, 0)
		})
	}
}

// removal returns the removal of an entry at a version, which is also its cursor.
func removal(key kv.Key, version kv.Version) kv.Changes {
	return kv.Changes{
		Cursor: kv.Cursor(version),
		Changes: []kv.Change{{
			Entry: kv.Entry{
				Key:     key,
				Version: version,
			},
			Deleted: true,
		}},
	}
}

// newReplica returns an empty replica whose clock stands still.
func newReplica() *discovery.Replica {
	return discovery.NewReplica(newRecorder(), renewal, func() time.Time { return start }, anySize)
}

// Guards against holding back the removal of an upstream because a host that has just
// started counts the time before as an outage of the store, and tells others of it.
func TestStartIsNoOutage(t *testing.T) {
	const outage = 10 * time.Second
	entries := []kv.Entry{{
		Key:     "servers/a",
		Version: 1,
	}}
	tests := map[string]struct {
		prepare     func(replica *discovery.Replica, advance func(time.Duration))
		unconfirmed bool
	}{
		"knows no other host": {
			prepare: func(*discovery.Replica, func(time.Duration)) {},
		},
		"hears of a host that has just started": {
			prepare: func(replica *discovery.Replica, _ func(time.Duration)) {
				replica.Confirm(newReplica().Cursor(), newReplica().Age())
			},
		},
		"hears of a host that has only a stale listing": {
			prepare: func(replica *discovery.Replica, _ func(time.Duration)) {
				other := newReplica()
				other.ApplyStaleListing(entries, 1)
				replica.Confirm(other.Cursor(), other.Age())
			},
		},
		"has the entries of a host that has only a stale listing": {
			prepare: func(replica *discovery.Replica, _ func(time.Duration)) {
				other := newReplica()
				other.ApplyStaleListing(entries, 1)
				replica.Apply(other.Delta(0))
			},
		},
		"waits for other hosts before its first call": {
			prepare: func(_ *discovery.Replica, advance func(time.Duration)) {
				advance(outage)
			},
		},
		"has called the store in vain since the start": {
			prepare: func(replica *discovery.Replica, advance func(time.Duration)) {
				replica.RecordFailure()
				advance(outage)
				replica.RecordFailure()
			},
			unconfirmed: true,
		},
		"hears of a host to which the store does not respond": {
			prepare: func(replica *discovery.Replica, advance func(time.Duration)) {
				other := newReplica()
				other.ApplyListing(entries, 1)
				replica.Apply(other.Delta(0))
				advance(outage)
			},
			unconfirmed: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := start
			v := newRecorder()
			replica := discovery.NewReplica(v, renewal, func() time.Time { return now }, anySize)
			test.prepare(replica, func(by time.Duration) { now = now.Add(by) })
			replica.ApplyListing(entries, 1)
			c.Check(replica.Delta(1).UnconfirmedFor > 0, qt.Equals, test.unconfirmed)
			replica.ApplyWatch(1, removal("servers/a", 2))
			until, removed := v.removals["servers/a"]
			c.Assert(removed, qt.IsTrue)
			c.Check(until.IsZero(), qt.Equals, !test.unconfirmed)
		})
	}
}

// Guards against a replica that counts as confirmed although no host has read the
// store, so that a stale routing table stays in force.
func TestConfirm(t *testing.T) {
	c := qt.New(t)
	now := start
	replica := discovery.NewReplica(newRecorder(), renewal, func() time.Time { return now }, anySize)
	c.Check(replica.Age() >= time.Hour, qt.IsTrue, qt.Commentf("never confirmed"))
	replica.ApplyListing(nil, 5)
	c.Check(replica.Age(), qt.Equals, time.Duration(0))

	now = now.Add(3 * time.Second)
	c.Check(replica.Confirm(5, time.Second), qt.IsFalse)
	c.Check(replica.Age(), qt.Equals, time.Second)
	c.Check(replica.Confirm(5, 2*time.Second), qt.IsFalse)
	c.Check(replica.Age(), qt.Equals, time.Second, qt.Commentf("an older confirmation changes nothing"))
	c.Check(replica.Confirm(6, 0), qt.IsTrue, qt.Commentf("changes are missing"))
	c.Check(replica.Age(), qt.Equals, time.Second)
	c.Check(replica.Confirm(4, 500*time.Millisecond), qt.IsFalse)
	c.Check(replica.Age(), qt.Equals, 500*time.Millisecond, qt.Commentf("the replica has all changes that the store had then"))
	now = now.Add(500 * time.Millisecond)

	replica.ApplyWatch(5, kv.Changes{
		Cursor: 6,
	})
	c.Check(replica.Age(), qt.Equals, time.Second, qt.Commentf("a watch confirms nothing"))
	c.Check(replica.Confirm(6, 0), qt.IsFalse)
	c.Check(replica.Age(), qt.Equals, time.Duration(0))
}

// Guards against applying a delta that leaves a gap after the replica's cursor.
func TestApplyWithGap(t *testing.T) {
	c := qt.New(t)
	replica := discovery.NewReplica(newRecorder(), renewal, func() time.Time { return start }, anySize)
	replica.ApplyListing(nil, 5)
	c.Check(replica.Apply(discovery.Delta{
		After:  7,
		Cursor: 9,
	}), qt.IsFalse)
	c.Check(replica.Cursor(), qt.Equals, kv.Cursor(5))
}

// blockingSink is a Sink that calls wait before it records an entry.
type blockingSink struct {
	*recorder
	wait func()
}

func (s blockingSink) Put(entry kv.Entry) {
	s.wait()
	s.recorder.Put(entry)
}

// Guards against a deadlock: a sink waits for a lock under which the gossip reads the
// cursor and age of the replica.
func TestSinkMayWait(t *testing.T) {
	c := qt.New(t)
	var replica *discovery.Replica
	unblocked := false
	sink := blockingSink{
		recorder: newRecorder(),
		wait: func() {
			done := make(chan struct{})
			go func() {
				replica.Cursor()
				replica.Age()
				replica.Confirm(1, 0)
				close(done)
			}()
			select {
			case <-done:
				unblocked = true
			case <-time.After(time.Second):
			}
		},
	}
	replica = discovery.NewReplica(sink, renewal, func() time.Time { return start }, anySize)
	replica.ApplyListing([]kv.Entry{{
		Key:     "a",
		Version: 1,
	}}, 1)
	c.Check(unblocked, qt.IsTrue)
	c.Check(replica.Cursor(), qt.Equals, kv.Cursor(1))
}
