package discovery

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// maxTombstones bounds the removals that a replica retains for other hosts.
	maxTombstones = 4096
	// expiryRenewals is the shortest outage after which entries may have expired
	// because their owners could not reach the store either, in renewal intervals: an
	// entry expires when three renewals are missed, and the last one may be as old as
	// the interval plus a tenth.
	expiryRenewals = 1.9
	// reregisterTime is how long the owner of an expired entry may take to write it
	// again after an outage of the store.
	reregisterTime = 2200 * time.Millisecond
	// minEarlierValue is the size in bytes from which a value is kept after a later version
	// has replaced it, for hosts that still have it: the later value can be sent to them
	// as a patch.
	minEarlierValue = 8 << 10
	// maxEarlierBytes bounds the values that are kept for this. They are two of the largest,
	// and more than ten of a table of 500 routes.
	maxEarlierBytes = 2 * kv.MaxValueBytes
	// neverConfirmed is the age of a replica that has not been confirmed, and the largest
	// age of one that has.
	neverConfirmed = time.Hour
)

// Sink receives the changes of a Replica, one call at a time, while the Replica is
// locked.
type Sink interface {
	// Put receives a new entry or a new version of an entry.
	Put(entry kv.Entry)
	// Removed receives a removal, which takes effect at until unless the entry is put
	// again before; zero means at once.
	Removed(key kv.Key, version kv.Version, until time.Time)
}

// Delta holds the changes that bring a replica from one cursor to a later one.
type Delta struct {
	After          kv.Cursor     // cursor that the receiving replica must have reached; 0 means that Changes has all entries
	Cursor         kv.Cursor     // cursor up to which the receiving replica is complete afterwards
	Age            time.Duration // age of the sender's last confirmation
	UnconfirmedFor time.Duration // how much longer removals are unconfirmed
	Changes        []kv.Change
	Bytes          int // size of the message that carried the delta to this host
}

// Removals returns the number of changes that are removals.
func (d Delta) Removals() int {
	count := 0
	for _, change := range d.Changes {
		if change.Deleted {
			count++
		}
	}
	return count
}

// Replica is a copy of the store's entries. It is safe for concurrent use; its Sink
// must not call back into it, except for Cursor, Age, SinceLastResponse and Confirm.
type Replica struct {
	sink      Sink
	maxValue  func(key kv.Key) int
	minOutage time.Duration // time without a response of the store after which entries may have expired
	now       func() time.Time
	state     syncState

	mu               sync.Mutex
	entries          map[kv.Key]kv.Entry
	earlier          []kv.Entry // large values that have been replaced, the latest last
	earlierBytes     int        // sum of the sizes of earlier
	tombstones       map[kv.Key]tombstone
	history          history   // which removals tombstones has
	hides            bool      // a restored store had an entry that counts as removed here, and whose removal a listing does not show
	unconfirmedUntil time.Time // removals before it are unconfirmed
}

// tombstone is a removal, with what is needed to recognise the removed entry if the store is
// restored from a backup that still has it.
type tombstone struct {
	version kv.Version // of the removal
	removed kv.Version // of the entry; 0 if it is not known
	digest  uint64     // of the value of the entry
}

// hides reports whether an entry is the removed one or an earlier one. After the store has
// been restored, that is the one with the same value and the same revision.
func (t tombstone) hides(entry kv.Entry) bool {
	if t.version >= entry.Version {
		return true
	}
	return kv.EpochOf(entry.Version) > kv.EpochOf(t.version) &&
		kv.RevisionOf(entry.Version) == kv.RevisionOf(t.removed) &&
		xxhash.Sum64(entry.Value) == t.digest
}

// NewReplica returns an empty Replica of a store whose entries are renewed by their
// owners at the interval renewal. The value of an entry is kept, and passed to the sink
// and to other hosts, only up to the size in bytes that maxValue returns for its key: a
// larger one, which some other writer has left, becomes empty.
func NewReplica(sink Sink, renewal time.Duration, now func() time.Time, maxValue func(key kv.Key) int) *Replica {
	return &Replica{
		minOutage:  time.Duration(expiryRenewals * float64(renewal)),
		sink:       sink,
		maxValue:   maxValue,
		now:        now,
		entries:    make(map[kv.Key]kv.Entry),
		tombstones: make(map[kv.Key]tombstone),
	}
}

// Cursor returns the cursor up to which the replica is complete; 0 before the first
// listing.
func (r *Replica) Cursor() kv.Cursor {
	cursor, _ := r.state.get()
	return cursor
}

// Entry returns the entry with a key. Its version is 0 if there is none.
func (r *Replica) Entry(key kv.Key) kv.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[key]
}

// Value returns the value that an entry has, or had until recently, in a version. It
// reports false if that is not known any more; small values are not kept.
func (r *Replica) Value(key kv.Key, version kv.Version) (value []byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, ok := r.entries[key]; ok && current.Version == version {
		return current.Value, true
	}
	for _, entry := range r.earlier {
		if entry.Key == key && entry.Version == version {
			return entry.Value, true
		}
	}
	return nil, false
}

// Age returns the time since the replica was last confirmed, at most one hour; one
// hour if it never was.
func (r *Replica) Age() time.Duration {
	_, confirmed := r.state.get()
	if confirmed.IsZero() {
		return neverConfirmed
	}
	return min(neverConfirmed, max(0, r.now().Sub(confirmed)))
}

// Confirmed reports whether the replica was ever confirmed.
func (r *Replica) Confirmed() bool {
	_, confirmed := r.state.get()
	return !confirmed.IsZero()
}

// SinceLastResponse returns the time since the store last responded to any host, as
// far as known here, or since the first failed call of this host; 0 before both.
func (r *Replica) SinceLastResponse() time.Duration {
	responded := r.state.lastResponse()
	if responded.IsZero() {
		return 0
	}
	return max(0, r.now().Sub(responded))
}

// Confirm records that the latest cursor of the store was cursor some time (age) ago; from
// neverConfirmed on, nobody knows when. It reports whether the replica lacks changes up to
// it, in which case it is not confirmed.
func (r *Replica) Confirm(cursor kv.Cursor, age time.Duration) (incomplete bool) {
	if age >= neverConfirmed {
		return !r.state.has(cursor)
	}
	return !r.state.confirm(cursor, r.now().Add(-age))
}

// ApplyListing applies a complete listing, whose cursor is that of its first page, and
// confirms the replica. A listing from before the cursor of the replica changes nothing.
func (r *Replica) ApplyListing(entries []kv.Entry, cursor kv.Cursor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordResponseLocked()
	r.applyListing(entries, cursor)
	r.advance(cursor, 0)
}

// ApplyStaleListing applies a complete listing that may be out of date, to a replica that
// is still empty. It does not confirm the replica.
func (r *Replica) ApplyStaleListing(entries []kv.Entry, cursor kv.Cursor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Cursor() != 0 {
		return
	}
	r.applyListing(entries, cursor)
	r.state.advanceTo(cursor, r.now())
}

// ApplyWatch applies the response of a watch that started after the given cursor, if
// that still is the replica's. It does not confirm the replica, since a watch may omit
// changes.
func (r *Replica) ApplyWatch(after kv.Cursor, changes kv.Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cursor := r.Cursor(); after != cursor || changes.Cursor < cursor {
		return // another response or transfer has been applied meanwhile
	}
	r.recordResponseLocked()
	r.applyChanges(changes.Changes)
	r.state.advanceTo(changes.Cursor, r.now())
}

// Tick records that this host runs. It has to be called at intervals of half of minStandstill: a
// host that stood still has had no response of the store for that time, which says nothing about
// the store.
func (r *Replica) Tick() { r.state.tick(r.now()) }

// RecordFailure records that a call of this host to the store has failed. If no host is
// known to have had a response before, an outage of the store has begun.
func (r *Replica) RecordFailure() {
	r.state.recordFailure(r.now())
}

// RecordResponse records that the store has responded to this host. If it had responded
// to no host for so long, while this one ran, that entries may have expired, removals are
// unconfirmed for some time.
func (r *Replica) RecordResponse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordResponseLocked()
}

func (r *Replica) recordResponseLocked() {
	now := r.now()
	if r.state.recordResponse(now) > r.minOutage {
		r.unconfirmedUntil = now.Add(reregisterTime)
	}
}

func (r *Replica) applyListing(entries []kv.Entry, cursor kv.Cursor) {
	if cursor < r.Cursor() {
		return // it may have entries whose removal is known here
	}
	if r.Cursor() != 0 && kv.EpochOf(cursor) > kv.EpochOf(r.Cursor()) {
		// The store has been restored from a backup: what was written since is about to be
		// written again.
		r.unconfirmedUntil = r.now().Add(reregisterTime)
	}
	if r.hides {
		r.history.forget(cursor)
	} else {
		r.history.skip(r.Cursor(), cursor)
	}
	present := make(map[kv.Key]bool, len(entries))
	for _, entry := range slices.SortedFunc(slices.Values(entries), byVersion) {
		present[entry.Key] = true
		r.put(entry)
	}
	for key, entry := range r.entries {
		if !present[key] && kv.Cursor(entry.Version) <= cursor {
			r.remove(key, kv.Version(cursor))
		}
	}
}

// byVersion orders entries as they were written: a routing table must not be in force before
// what was published earlier and restricts it.
func byVersion(a, b kv.Entry) int { return cmp.Compare(a.Version, b.Version) }

// Apply applies the delta of another host's replica. It reports false, and applies
// nothing, if delta.After is beyond the cursor of this replica.
func (r *Replica) Apply(delta Delta) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	cursor := r.Cursor()
	if delta.After > cursor {
		return false
	}
	if delta.Cursor < cursor {
		return true // this replica is further on
	}
	if until := r.now().Add(delta.UnconfirmedFor); delta.UnconfirmedFor > 0 && until.After(r.unconfirmedUntil) {
		r.unconfirmedUntil = until
	}
	if delta.After == 0 {
		var entries []kv.Entry
		for _, change := range delta.Changes {
			if !change.Deleted {
				entries = append(entries, change.Entry)
			}
		}
		r.applyListing(entries, delta.Cursor)
	}
	r.applyChanges(slices.SortedFunc(slices.Values(delta.Changes), func(a, b kv.Change) int {
		return byVersion(a.Entry, b.Entry)
	}))
	r.advance(delta.Cursor, delta.Age)
	return true
}

func (r *Replica) applyChanges(changes []kv.Change) {
	for _, change := range changes {
		if change.Deleted {
			r.remove(change.Entry.Key, change.Entry.Version)
		} else {
			r.put(change.Entry)
		}
	}
}

// HasHistory reports whether this replica knows of all removals after a cursor.
func (r *Replica) HasHistory(after kv.Cursor) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.covers(after)
}

// Delta returns the changes that a replica complete up to the cursor after lacks. If
// this replica does not know of all removals since then, it returns all entries instead,
// with After 0.
func (r *Replica) Delta(after kv.Cursor) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	delta := Delta{
		After:          after,
		Cursor:         r.Cursor(),
		Age:            r.Age(),
		UnconfirmedFor: max(0, r.unconfirmedUntil.Sub(r.now())),
	}
	if !r.history.covers(after) {
		// The other replica may need removals that are not known here, but it can apply
		// all existing entries as a listing.
		after = 0
		delta.After = 0
	}
	for _, entry := range r.entries {
		if kv.Cursor(entry.Version) > after {
			delta.Changes = append(delta.Changes, kv.Change{
				Entry: entry,
			})
		}
	}
	for key, removal := range r.tombstones {
		if kv.Cursor(removal.version) > after {
			delta.Changes = append(delta.Changes, kv.Change{
				Entry: kv.Entry{
					Key:     key,
					Version: removal.version,
				},
				Deleted: true,
			})
		}
	}
	return delta
}

func (r *Replica) advance(cursor kv.Cursor, age time.Duration) {
	if cursor >= r.Cursor() {
		r.state.advanceTo(cursor, r.now())
		r.Confirm(cursor, age)
	}
}

func (r *Replica) put(entry kv.Entry) {
	current, ok := r.entries[entry.Key]
	if ok && current.Version >= entry.Version {
		return
	}
	if removal, ok := r.tombstones[entry.Key]; ok && removal.hides(entry) {
		r.hides = r.hides || kv.EpochOf(entry.Version) > kv.EpochOf(removal.version)
		return
	}
	if len(entry.Value) > r.maxValue(entry.Key) {
		entry.Value = nil
	}
	delete(r.tombstones, entry.Key)
	r.entries[entry.Key] = entry
	r.keepEarlier(current)
	r.sink.Put(entry)
}

// keepEarlier keeps an entry that has been replaced, if it is large, in place of the
// oldest ones.
func (r *Replica) keepEarlier(entry kv.Entry) {
	if len(entry.Value) < minEarlierValue {
		return
	}
	r.earlier = append(r.earlier, entry)
	r.earlierBytes += len(entry.Value)
	for r.earlierBytes > maxEarlierBytes {
		r.earlierBytes -= len(r.earlier[0].Value)
		r.earlier = slices.Delete(r.earlier, 0, 1)
	}
}

func (r *Replica) remove(key kv.Key, version kv.Version) {
	current, ok := r.entries[key]
	if ok && current.Version > version {
		return
	}
	if len(r.tombstones) >= maxTombstones {
		r.dropTombstones()
	}
	removal := r.tombstones[key]
	removal.version = max(removal.version, version)
	if ok {
		removal.removed = current.Version
		removal.digest = xxhash.Sum64(current.Value)
	}
	r.tombstones[key] = removal
	if !ok {
		return
	}
	delete(r.entries, key)
	until := r.unconfirmedUntil
	if !until.After(r.now()) {
		until = time.Time{}
	}
	r.sink.Removed(key, version, until)
}

// dropTombstones makes room for other tombstones. Those of the changes that are being
// applied are beyond the cursor.
func (r *Replica) dropTombstones() {
	for _, removal := range r.tombstones {
		r.history.forget(kv.Cursor(removal.version))
	}
	clear(r.tombstones)
}
