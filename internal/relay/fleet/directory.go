package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

// State says whether an upstream accepts new work.
type State uint8

// Release is the version of the software of an upstream.
type Release string

// States of an upstream.
const (
	Ready State = iota + 1
	Draining
	Evacuated // its failure domain is; it gets no calls of any kind
)

// Upstream describes a registered upstream.
type Upstream struct {
	ID       ident.UpstreamID
	Service  ident.ServiceName
	Address  ident.Address
	Domain   ident.FailureDomain
	Region   ident.Region // empty if not known
	Release  Release      // empty if not known
	Slots    int          // number of requests that it runs concurrently
	State    State
	ColdLeft time.Duration // remaining cold-start time, in which it is slow, as of the registration
	// ColdUntil is when the upstream stops being cold; zero if it is not cold.
	ColdUntil time.Time
	Started   ident.Incarnation // start time of its process in Unix milliseconds
}

// Registration is an upstream with the store version of its entry.
type Registration struct {
	Upstream Upstream
	Version  kv.Version
}

// entry is a registration, possibly with an unconfirmed removal.
type entry struct {
	Registration
	removeAt time.Time // when an unconfirmed removal takes effect; zero if there is none
}

// Snapshot is an immutable copy of the registrations of a Directory.
type Snapshot struct {
	ready map[ident.ServiceName][]Upstream // sorted by ID
	all   map[ident.UpstreamID]Upstream
}

// Ready returns the upstreams of a service that accept new work, sorted by ID. The
// caller must not modify the slice.
func (s *Snapshot) Ready(service ident.ServiceName) []Upstream {
	return s.ready[service]
}

// Upstream returns a registered upstream, whatever its state.
func (s *Snapshot) Upstream(id ident.UpstreamID) (Upstream, bool) {
	found, ok := s.all[id]
	return found, ok
}

// All returns every registered upstream by ID. The caller must not modify the map.
func (s *Snapshot) All() map[ident.UpstreamID]Upstream {
	return s.all
}

// Accepts reports whether the upstream is registered with the same incarnation and
// address, and accepts new work.
func (s *Snapshot) Accepts(upstream Upstream) bool {
	current, ok := s.all[upstream.ID]
	return ok && current.State == Ready && current.Started == upstream.Started && current.Address == upstream.Address
}

// drainMarkLife is how long the mark of an upstream that is not registered is kept, in
// case its entry is missing only because the store has been away.
const drainMarkLife = 10 * time.Minute

// drainMark is the observation that an incarnation of an upstream drains, whatever its
// registration says.
type drainMark struct {
	incarnation ident.Incarnation
	marked      time.Time
}

// Directory holds the registered upstreams. It is safe for concurrent use.
type Directory struct {
	mu        sync.Mutex
	entries   map[ident.UpstreamID]*entry
	draining  map[ident.UpstreamID]drainMark
	evacuated map[ident.FailureDomain]time.Time // until when; zero while no end is known
	snapshot  *Snapshot                         // nil after a change
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		entries:   make(map[ident.UpstreamID]*entry),
		draining:  make(map[ident.UpstreamID]drainMark),
		evacuated: make(map[ident.FailureDomain]time.Time),
	}
}

// Evacuate records that operators have evacuated a failure domain: its upstreams accept no
// new work until it is restored. It reports whether that is new.
func (d *Directory) Evacuate(domain ident.FailureDomain) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.evacuated[domain]
	d.evacuated[domain] = time.Time{}
	d.snapshot = nil
	return !known
}

// EndEvacuation records that a failure domain is evacuated no longer. An unconfirmed end
// takes effect at until, unless the domain is evacuated again before; zero means at once. It
// reports whether the domain was evacuated.
func (d *Directory) EndEvacuation(domain ident.FailureDomain, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.evacuated[domain]; !known {
		return false
	}
	if until.IsZero() {
		delete(d.evacuated, domain)
	} else {
		d.evacuated[domain] = until
	}
	d.snapshot = nil
	return true
}

// Evacuated returns the number of failure domains that are evacuated.
func (d *Directory) Evacuated() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.evacuated)
}

// MarkDraining records that an incarnation of an upstream drains. The mark holds until
// the upstream registers with a later one. It reports false if this was known, or a later
// incarnation is.
func (d *Directory) MarkDraining(id ident.UpstreamID, incarnation ident.Incarnation, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if current, ok := d.entries[id]; ok && current.Upstream.Started > incarnation {
		return false
	}
	if known, ok := d.draining[id]; ok && known.incarnation >= incarnation {
		return false
	}
	d.draining[id] = drainMark{
		incarnation: incarnation,
		marked:      now,
	}
	d.snapshot = nil
	return true
}

// MarkedDraining returns the number of registered upstreams that are marked as draining.
func (d *Directory) MarkedDraining() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for id := range d.draining {
		if current, ok := d.entries[id]; ok && d.isMarked(current.Upstream) {
			count++
		}
	}
	return count
}

// isMarked reports whether the upstream is marked as draining. The caller holds the
// mutex.
func (d *Directory) isMarked(upstream Upstream) bool {
	mark, ok := d.draining[upstream.ID]
	return ok && mark.incarnation >= upstream.Started
}

// Put adds or replaces a registration, unless it is older than the present one. It
// reports whether it changed anything.
func (d *Directory) Put(registration Registration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.put(registration)
}

// Remove removes the registration of an upstream, unless it is newer than version. An
// unconfirmed removal takes effect at until, unless the upstream registers again
// before; zero means at once.
func (d *Directory) Remove(id ident.UpstreamID, version kv.Version, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current, ok := d.entries[id]
	if !ok || current.Version > version {
		return
	}
	current.Version = version
	d.remove(current, until)
}

// Tick completes the unconfirmed removals and ends of evacuations that take effect by now,
// and drops marks of upstreams that have not been registered for long.
func (d *Directory) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, current := range d.entries {
		if !current.removeAt.IsZero() && !now.Before(current.removeAt) {
			delete(d.entries, id)
			d.snapshot = nil
		}
	}
	for domain, until := range d.evacuated {
		if !until.IsZero() && !now.Before(until) {
			delete(d.evacuated, domain)
			d.snapshot = nil
		}
	}
	for id, mark := range d.draining {
		current, ok := d.entries[id]
		switch {
		case ok && current.Upstream.Started > mark.incarnation:
			delete(d.draining, id)
		case !ok && now.Sub(mark.marked) > drainMarkLife:
			delete(d.draining, id)
		}
	}
}

// Snapshot returns the current registrations, including those with an unconfirmed
// removal that has not taken effect.
func (d *Directory) Snapshot() *Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.snapshot == nil {
		d.snapshot = d.build()
	}
	return d.snapshot
}

func (d *Directory) put(registration Registration) bool {
	current, ok := d.entries[registration.Upstream.ID]
	switch {
	case !ok:
		d.entries[registration.Upstream.ID] = &entry{
			Registration: registration,
		}
	case current.Version > registration.Version:
		return false
	case current.Version == registration.Version && current.removeAt.IsZero():
		return false
	default:
		current.Registration = registration
		current.removeAt = time.Time{}
	}
	d.snapshot = nil
	return true
}

func (d *Directory) remove(current *entry, until time.Time) {
	if until.IsZero() {
		delete(d.entries, current.Upstream.ID)
		d.snapshot = nil
		return
	}
	if current.removeAt.IsZero() || until.Before(current.removeAt) {
		current.removeAt = until
	}
}

func (d *Directory) build() *Snapshot {
	snapshot := &Snapshot{
		ready: make(map[ident.ServiceName][]Upstream),
		all:   make(map[ident.UpstreamID]Upstream, len(d.entries)),
	}
	for id, current := range d.entries {
		upstream := current.Upstream
		_, evacuated := d.evacuated[upstream.Domain]
		switch {
		case evacuated:
			upstream.State = Evacuated
		case d.isMarked(upstream):
			upstream.State = Draining
		}
		snapshot.all[id] = upstream
		if upstream.State == Ready {
			snapshot.ready[upstream.Service] = append(snapshot.ready[upstream.Service], upstream)
		}
	}
	for _, list := range snapshot.ready {
		slices.SortFunc(list, func(a, b Upstream) int {
			return cmp.Compare(a.ID, b.ID)
		})
	}
	return snapshot
}
