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

// The states of a registration.
const (
	Ready State = iota + 1
	Draining
)

// Upstream is a registered upstream.
type Upstream struct {
	ID       ident.UpstreamID
	Service  ident.ServiceName
	Address  ident.Address
	Domain   ident.FailureDomain
	Release  string // version of its software
	Slots    int    // requests that run at the same time
	State    State
	ColdLeft time.Duration     // how much longer it is slow after its start, at the time of registration
	Started  ident.Incarnation // Unix milliseconds
}

// Listed is an upstream with the version of its registration.
type Listed struct {
	Upstream Upstream
	Version  kv.Version
}

// row is a registration, or what is left of a removed one.
type row struct {
	Listed
	missing time.Time // when the removal takes effect; zero unless it is doubtful
}

// Snapshot is an immutable reading of a Directory.
type Snapshot struct {
	ready map[ident.ServiceName][]Upstream // in order of id
	all   map[ident.UpstreamID]Upstream
}

// Ready returns the upstreams of a service that accept new work, in order of
// id; the caller must not change it.
func (s *Snapshot) Ready(service ident.ServiceName) []Upstream {
	return s.ready[service]
}

// Upstream returns a registered upstream, whatever its state.
func (s *Snapshot) Upstream(id ident.UpstreamID) (Upstream, bool) {
	found, ok := s.all[id]
	return found, ok
}

// All returns every registered upstream by id; the caller must not change it.
func (s *Snapshot) All() map[ident.UpstreamID]Upstream {
	return s.all
}

// Accepts reports whether the upstream is registered under the same
// incarnation and accepts new work.
func (s *Snapshot) Accepts(upstream Upstream) bool {
	held, ok := s.all[upstream.ID]
	return ok && held.State == Ready && held.Started == upstream.Started && held.Address == upstream.Address
}

// Directory holds the registered upstreams.
type Directory struct {
	mu   sync.Mutex
	rows map[ident.UpstreamID]*row
	view *Snapshot // nil after a change
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		rows: make(map[ident.UpstreamID]*row),
	}
}

// Put takes a registration and reports whether it changed anything.
func (d *Directory) Put(listed Listed) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.put(listed)
}

// Remove takes a removal. A doubtful one takes effect at until, unless the
// upstream registers again before; zero means at once.
func (d *Directory) Remove(id ident.UpstreamID, version kv.Version, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, ok := d.rows[id]
	if !ok || held.Version > version {
		return
	}
	held.Version = version
	d.remove(held, until)
}

// Tick completes the doubtful removals that are due at now.
func (d *Directory) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, held := range d.rows {
		if !held.missing.IsZero() && !now.Before(held.missing) {
			delete(d.rows, id)
			d.view = nil
		}
	}
}

// Snapshot returns the current registrations.
func (d *Directory) Snapshot() *Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == nil {
		d.view = d.build()
	}
	return d.view
}

func (d *Directory) put(listed Listed) bool {
	held, ok := d.rows[listed.Upstream.ID]
	switch {
	case !ok:
		d.rows[listed.Upstream.ID] = &row{
			Listed: listed,
		}
	case held.Version > listed.Version:
		return false
	case held.Version == listed.Version && held.missing.IsZero():
		return false
	default:
		held.Listed = listed
		held.missing = time.Time{}
	}
	d.view = nil
	return true
}

func (d *Directory) remove(held *row, until time.Time) {
	if until.IsZero() {
		delete(d.rows, held.Upstream.ID)
		d.view = nil
		return
	}
	if held.missing.IsZero() || until.Before(held.missing) {
		held.missing = until
	}
}

func (d *Directory) build() *Snapshot {
	view := &Snapshot{
		ready: make(map[ident.ServiceName][]Upstream),
		all:   make(map[ident.UpstreamID]Upstream, len(d.rows)),
	}
	for id, held := range d.rows {
		view.all[id] = held.Upstream
		if held.Upstream.State == Ready {
			service := held.Upstream.Service
			view.ready[service] = append(view.ready[service], held.Upstream)
		}
	}
	for _, list := range view.ready {
		slices.SortFunc(list, func(a, b Upstream) int {
			return cmp.Compare(a.ID, b.ID)
		})
	}
	return view
}
