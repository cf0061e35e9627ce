package resumption

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

const (
	// releaseLife is how long a release that has left may still have streams that are taken
	// up. Callers wait for less.
	releaseLife = time.Minute
	// observeInterval is how often an unchanged fleet is looked at.
	observeInterval = time.Second
	// MaxReleasesBytes is the largest entry with the releases in service.
	MaxReleasesBytes = 64 << 10
)

// inService holds the releases of each service that are or have lately been in service, in
// order.
type inService map[ident.ServiceName][]fleet.Release

// presence is what a host knows of a release.
type presence struct {
	seen    time.Time // latest time when an upstream of the release was registered, or was when the release became known
	dropped bool      // it has been missing for releaseLife
}

// Releases knows which releases of each service are or have lately been in service. It is
// safe for concurrent use.
type Releases struct {
	fleet func() *fleet.Snapshot
	now   func() time.Time

	mu       sync.Mutex
	latest   *fleet.Snapshot // the one that known includes; nil at first
	observed time.Time       // when known was brought up to date
	known    map[ident.ServiceName]map[fleet.Release]presence
}

// NewReleases returns a Releases that follows a fleet.
func NewReleases(snapshot func() *fleet.Snapshot, now func() time.Time) *Releases {
	return &Releases{
		fleet: snapshot,
		now:   now,
		known: make(map[ident.ServiceName]map[fleet.Release]presence),
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
	for service := range r.known {
		if len(r.possible(service)) > 1 {
			mixed[service] = true
		}
	}
	return mixed
}

// possible implements Possible. The caller holds the mutex.
func (r *Releases) possible(service ident.ServiceName) []fleet.Release {
	var possible []fleet.Release
	for release, p := range r.known[service] {
		if !p.dropped {
			possible = append(possible, release)
		}
	}
	slices.Sort(possible)
	return possible
}

// observe updates the releases in service and drops those that have left long ago. The
// caller holds the mutex.
func (r *Releases) observe() {
	now := r.now()
	latest := r.fleet()
	if latest == r.latest && now.Sub(r.observed) < observeInterval {
		return
	}
	if r.latest != nil {
		r.see(r.latest, now)
	}
	if latest != r.latest {
		r.latest = latest
		r.see(latest, now)
	}
	r.observed = now
	for _, releases := range r.known {
		for release, p := range releases {
			if now.Sub(p.seen) > releaseLife {
				p.dropped = true
				releases[release] = p
			}
		}
	}
}

// see records that the releases of a snapshot are in service. The caller holds the mutex.
func (r *Releases) see(snapshot *fleet.Snapshot, now time.Time) {
	for _, upstream := range snapshot.All() {
		r.put(upstream.Service, upstream.Release, presence{
			seen: now,
		})
	}
}

func (r *Releases) put(service ident.ServiceName, release fleet.Release, p presence) {
	releases, ok := r.known[service]
	if !ok {
		releases = make(map[fleet.Release]presence)
		r.known[service] = releases
	}
	releases[release] = p
}

// Learn adds the releases that another host has published.
func (r *Releases) Learn(entry []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.learn(entry)
}

// learn implements Learn. Releases that this host has seen or missed itself are not added:
// it knows better when they left. The caller holds the mutex.
func (r *Releases) learn(entry []byte) error {
	var published inService
	if err := json.Unmarshal(entry, &published); err != nil {
		return errors.Annotate(err, "decode releases in service")
	}
	for service, releases := range published {
		for _, release := range releases {
			if _, ok := r.known[service][release]; !ok {
				r.put(service, release, presence{
					seen: r.now(),
				})
			}
		}
	}
	return nil
}

// Entry returns the entry that should replace the present one, which is nil if there is
// none. A release that has left stays in it until this host has missed it for releaseLife;
// the entry has no times, since the clocks of hosts differ. It is nil while no upstream is
// known.
func (r *Releases) Entry(present []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe()
	if len(r.known) == 0 {
		return present, nil
	}
	if present != nil {
		_ = r.learn(present) // one that cannot be read is replaced by what this host knows
	}
	entry := make(inService)
	for service := range r.known {
		entry[service] = r.possible(service)
	}
	return json.Marshal(entry)
}
