package discovery

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// maxTombstones bounds the removals that a replica remembers for other hosts.
	maxTombstones = 4096
	// lapseRenewals is the least time without an answer of the store to any host
	// after which entries may have lapsed because their owners did not reach it
	// either, in renewals: an entry lapses when three are missed, and the last one
	// may be as old as a renewal, or a tenth older.
	lapseRenewals = 1.9
	// returnTime is how long the owner of a lapsed entry may take to write it again
	// after the store has been away.
	returnTime = 2200 * time.Millisecond
)

// Sink takes the entries of a Replica. A removal takes effect at until, unless
// the entry comes back before; zero means at once.
type Sink interface {
	Put(entry kv.Entry)
	Removed(key kv.Key, version kv.Version, until time.Time)
}

// Delta is what a replica lacks.
type Delta struct {
	After   kv.Cursor // the replica that it completes; 0 completes any
	Cursor  kv.Cursor // up to where the result is complete
	Age     time.Duration
	Doubt   time.Duration // how long removals are doubtful
	Changes []kv.Change
}

// Replica is a copy of the store's entries.
type Replica struct {
	sink   Sink
	outage time.Duration // without an answer of the store, after which entries may have lapsed
	now    func() time.Time
	known  progress

	mu       sync.Mutex
	entries  map[kv.Key]kv.Entry
	removed  map[kv.Key]kv.Version
	floor    kv.Cursor // removals up to it are forgotten
	doubtful time.Time // until when removals are doubtful
}

// progress is how far a replica is. Its mutex is not held while the sink is called,
// so that what a sink waits for may ask for it.
type progress struct {
	mu        sync.Mutex
	cursor    kv.Cursor
	confirmed time.Time
	answered  time.Time // when the store last answered any host, as far as is known
}

func (p *progress) get() (cursor kv.Cursor, confirmed time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cursor, p.confirmed
}

// confirm notes that the store was not beyond a cursor at a time; it reports false
// if the replica is not there yet.
func (p *progress) confirm(cursor kv.Cursor, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cursor > p.cursor {
		return false
	}
	if at.After(p.confirmed) {
		p.confirmed = at
	}
	if at.After(p.answered) {
		p.answered = at
	}
	return true
}

func (p *progress) lastAnswer() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered
}

// answer notes an answer of the store, and returns how long there had been none;
// 0 if this is the first one.
func (p *progress) answer(at time.Time) (silence time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.answered.IsZero() {
		silence = max(0, at.Sub(p.answered))
	}
	if at.After(p.answered) {
		p.answered = at
	}
	return silence
}

// reach moves the cursor on.
func (p *progress) reach(cursor kv.Cursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cursor = max(p.cursor, cursor)
}

// NewReplica returns an empty replica of a store whose entries are renewed by their
// owners at an interval.
func NewReplica(sink Sink, renewal time.Duration, now func() time.Time) *Replica {
	return &Replica{
		outage:  time.Duration(lapseRenewals * float64(renewal)),
		sink:    sink,
		now:     now,
		entries: make(map[kv.Key]kv.Entry),
		removed: make(map[kv.Key]kv.Version),
	}
}

// Cursor returns up to where the replica is complete; 0 before the first listing.
func (r *Replica) Cursor() kv.Cursor {
	cursor, _ := r.known.get()
	return cursor
}

// Version returns the version of an entry, 0 if there is none.
func (r *Replica) Version(key kv.Key) kv.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[key].Version
}

// Age returns how long ago the replica was known to be the latest.
func (r *Replica) Age() time.Duration {
	const never = time.Hour
	_, confirmed := r.known.get()
	if confirmed.IsZero() {
		return never
	}
	return min(never, max(0, r.now().Sub(confirmed)))
}

// Silence returns for how long the store has answered no host, as far as this one
// knows; 0 before the first answer.
func (r *Replica) Silence() time.Duration {
	answered := r.known.lastAnswer()
	if answered.IsZero() {
		return 0
	}
	return max(0, r.now().Sub(answered))
}

// Confirm notes that the store was not beyond a cursor some time ago. It reports
// whether the replica lacks changes.
func (r *Replica) Confirm(cursor kv.Cursor, age time.Duration) (behind bool) {
	return !r.known.confirm(cursor, r.now().Add(-age))
}

// List takes a complete listing, whose cursor is that of its first page.
func (r *Replica) List(entries []kv.Entry, cursor kv.Cursor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered()
	r.list(entries, cursor)
	r.advance(cursor, 0)
}

// Watched takes the answer of a watch after the replica's cursor. It does not
// confirm the replica, since a watch may be silent about changes.
func (r *Replica) Watched(after kv.Cursor, changes kv.Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cursor := r.Cursor(); after != cursor || changes.Cursor < cursor {
		return // another answer was faster
	}
	r.answered()
	r.apply(changes.Changes)
	r.known.reach(changes.Cursor)
}

// Answered notes that the store has answered this host. What it has removed before
// is doubtful for a time if it had been away for all hosts.
func (r *Replica) Answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered()
}

func (r *Replica) answered() {
	now := r.now()
	if r.known.answer(now) > r.outage {
		r.doubtful = now.Add(returnTime)
	}
}

func (r *Replica) list(entries []kv.Entry, cursor kv.Cursor) {
	present := make(map[kv.Key]bool, len(entries))
	for _, entry := range entries {
		present[entry.Key] = true
		r.put(entry)
	}
	for key, entry := range r.entries {
		if !present[key] && kv.Cursor(entry.Version) <= cursor {
			r.remove(key, kv.Version(cursor))
		}
	}
}

// Apply takes what another host's replica gave. It reports false if that follows
// a cursor that this replica has not reached; then nothing is taken.
func (r *Replica) Apply(delta Delta) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	cursor := r.Cursor()
	if delta.After > cursor {
		return false
	}
	if delta.Cursor < cursor {
		return true // known already
	}
	if until := r.now().Add(delta.Doubt); delta.Doubt > 0 && until.After(r.doubtful) {
		r.doubtful = until
	}
	if delta.After == 0 {
		var entries []kv.Entry
		for _, change := range delta.Changes {
			if !change.Deleted {
				entries = append(entries, change.Entry)
			}
		}
		r.list(entries, delta.Cursor)
	}
	r.apply(delta.Changes)
	r.advance(delta.Cursor, delta.Age)
	return true
}

func (r *Replica) apply(changes []kv.Change) {
	for _, change := range changes {
		if change.Deleted {
			r.remove(change.Entry.Key, change.Entry.Version)
		} else {
			r.put(change.Entry)
		}
	}
}

// Delta returns what a replica that is complete up to a cursor lacks.
func (r *Replica) Delta(after kv.Cursor) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	delta := Delta{
		After:  after,
		Cursor: r.Cursor(),
		Age:    r.Age(),
		Doubt:  max(0, r.doubtful.Sub(r.now())),
	}
	if after < r.floor {
		// Removals that the other replica lacks are forgotten here, but it can take
		// the entries that exist as a first listing.
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
	for key, version := range r.removed {
		if kv.Cursor(version) > after {
			delta.Changes = append(delta.Changes, kv.Change{
				Entry: kv.Entry{
					Key:     key,
					Version: version,
				},
				Deleted: true,
			})
		}
	}
	return delta
}

func (r *Replica) advance(cursor kv.Cursor, age time.Duration) {
	if cursor >= r.Cursor() {
		r.known.reach(cursor)
		r.known.confirm(cursor, r.now().Add(-age))
	}
}

func (r *Replica) put(entry kv.Entry) {
	if held, ok := r.entries[entry.Key]; ok && held.Version >= entry.Version {
		return
	}
	if gone, ok := r.removed[entry.Key]; ok && gone >= entry.Version {
		return
	}
	delete(r.removed, entry.Key)
	r.entries[entry.Key] = entry
	r.sink.Put(entry)
}

func (r *Replica) remove(key kv.Key, version kv.Version) {
	held, ok := r.entries[key]
	if ok && held.Version > version {
		return
	}
	if len(r.removed) >= maxTombstones {
		clear(r.removed)
		r.floor = r.Cursor()
	}
	r.removed[key] = max(r.removed[key], version)
	if !ok {
		return
	}
	delete(r.entries, key)
	until := r.doubtful
	if !until.After(r.now()) {
		until = time.Time{}
	}
	r.sink.Removed(key, version, until)
}
