package resumption

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

const (
	// releaseLife is how long a release that has left may still have streams that are taken
	// up. It is longer than callers wait for a stream, since the clocks of hosts differ.
	releaseLife = time.Minute
	// MaxReleasesBytes is the largest entry with the releases in service.
	MaxReleasesBytes = 64 << 10
)

// departures holds the releases of each service that have been in service lately, with the
// Unix time in seconds when they were first missing; 0 while they are in service.
type departures map[ident.ServiceName]map[fleet.Release]int64

// Releases knows which releases of each service are or have lately been in service. It is
// safe for concurrent use.
type Releases struct {
	fleet func() *fleet.Snapshot
	now   func() time.Time

	mu       sync.Mutex
	latest   *fleet.Snapshot // the one that seen includes
	seen     map[ident.ServiceName]map[fleet.Release]time.Time
	recorded departures // as another host has published them
}

// NewReleases returns a Releases that follows a fleet.
func NewReleases(snapshot func() *fleet.Snapshot, now func() time.Time) *Releases {
	return &Releases{
		fleet: snapshot,
		now:   now,
		seen:  make(map[ident.ServiceName]map[fleet.Release]time.Time),
	}
}

// Possible returns the releases that may have begun a stream of the service, in order.
func (r *Releases) Possible(service ident.ServiceName) []fleet.Release {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe()
	return r.possible(service)
}

// Mixed returns the services whose streams may have been begun by several releases.
func (r *Releases) Mixed() map[ident.ServiceName]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe()
	mixed := make(map[ident.ServiceName]bool)
	for service := range r.seen {
		if len(r.possible(service)) > 1 {
			mixed[service] = true
		}
	}
	return mixed
}

// possible implements Possible. The caller holds the mutex.
func (r *Releases) possible(service ident.ServiceName) []fleet.Release {
	possible := slices.Collect(maps.Keys(r.seen[service]))
	for release := range r.recorded[service] {
		if !slices.Contains(possible, release) {
			possible = append(possible, release)
		}
	}
	slices.Sort(possible)
	return possible
}

// observe updates the releases in service and forgets those that have left long ago. The
// caller holds the mutex.
func (r *Releases) observe() {
	now := r.now()
	if r.latest != nil {
		r.see(r.latest, now)
	}
	if latest := r.fleet(); latest != r.latest {
		r.latest = latest
		r.see(latest, now)
	}
	for _, releases := range r.seen {
		for release, last := range releases {
			if now.Sub(last) > releaseLife {
				delete(releases, release)
			}
		}
	}
}

// see records that the releases of a snapshot are in service. The caller holds the mutex.
func (r *Releases) see(snapshot *fleet.Snapshot, now time.Time) {
	for _, upstream := range snapshot.All() {
		releases, ok := r.seen[upstream.Service]
		if !ok {
			releases = make(map[fleet.Release]time.Time)
			r.seen[upstream.Service] = releases
		}
		releases[upstream.Release] = now
	}
}

// Learn replaces the releases that another host has published.
func (r *Releases) Learn(entry []byte) error {
	var recorded departures
	if err := json.Unmarshal(entry, &recorded); err != nil {
		return errors.Annotate(err, "decode releases in service")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded = recorded
	return nil
}

// Entry returns the entry that should replace the present one, which is nil if there is
// none. It is nil while no upstream is known.
func (r *Releases) Entry(present []byte) ([]byte, error) {
	var recorded departures
	if present != nil && json.Unmarshal(present, &recorded) != nil {
		recorded = nil // replaced by what this host knows
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe()
	if len(r.seen) == 0 {
		return present, nil
	}
	entry := make(departures)
	for service, releases := range recorded {
		for release, since := range releases {
			r.keepDeparted(entry, service, release, since)
		}
	}
	for service, releases := range r.seen {
		for release, last := range releases {
			since := int64(0)
			if !r.inService(service, release) {
				since = last.Unix()
			}
			entry.add(service, release, since)
		}
	}
	return json.Marshal(entry)
}

// keepDeparted adds a release of the present entry to the next one, unless it has left long
// ago. The caller holds the mutex.
func (r *Releases) keepDeparted(entry departures, service ident.ServiceName, release fleet.Release, since int64) {
	now := r.now()
	if since == 0 {
		since = now.Unix()
	}
	if now.Sub(time.Unix(since, 0)) <= releaseLife {
		entry.add(service, release, since)
	}
}

// inService reports whether an upstream of the release is registered. The caller holds the
// mutex.
func (r *Releases) inService(service ident.ServiceName, release fleet.Release) bool {
	for _, upstream := range r.latest.All() {
		if upstream.Service == service && upstream.Release == release {
			return true
		}
	}
	return false
}

func (d departures) add(service ident.ServiceName, release fleet.Release, since int64) {
	if d[service] == nil {
		d[service] = make(map[fleet.Release]int64)
	}
	if known, ok := d[service][release]; ok && known != 0 && since != 0 {
		since = min(known, since)
	}
	d[service][release] = since
}
