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
	// openDelay is how long a release is known to the host that publishes it until it is open.
	// All hosts learn of it, and record their streams, in less.
	openDelay = 700 * time.Millisecond
	// unusableTime is how long the published releases of a service have to lack a usable
	// upstream until the others are open: a host that starts learns of upstreams one by one.
	unusableTime = 300 * time.Millisecond
	// MaxReleasesBytes is the largest entry with the releases in service.
	MaxReleasesBytes = 64 << 10
)

// inService holds the releases of each service that are or have lately been in service, in
// order.
type inService map[ident.ServiceName][]fleet.Release

// presence is what a host knows of a release.
type presence struct {
	since   time.Time // when it became known
	opened  bool      // its upstreams may begin streams although it is not published, see Held
	seen    time.Time // latest time when an upstream of the release was registered, or was when the release became known
	dropped bool      // it has been missing for releaseLife
}

// Releases knows which releases of each service are or have lately been in service. It is
// safe for concurrent use.
type Releases struct {
	fleet   func() *fleet.Snapshot
	settled func() bool
	now     func() time.Time

	mu       sync.Mutex
	latest   *fleet.Snapshot // the one that known includes; nil at first
	observed time.Time       // when known was brought up to date
	known    map[ident.ServiceName]map[fleet.Release]presence
	// published has the releases in the latest entry of the store.
	published inService
	// unusable has the services of which no published release has a usable upstream, and since
	// when.
	unusable map[ident.ServiceName]time.Time
}

// NewReleases returns a Releases that follows a fleet. The function settled reports whether
// everything has been written again that the store may have lost when it was restored from a
// backup.
func NewReleases(snapshot func() *fleet.Snapshot, settled func() bool, now func() time.Time) *Releases {
	return &Releases{
		fleet:   snapshot,
		settled: settled,
		now:     now,
		known:   make(map[ident.ServiceName]map[fleet.Release]presence),

		unusable: make(map[ident.ServiceName]time.Time),
	}
}

// Possible returns the releases that may have begun a stream of the service, in order. A
// release that has joined others may not until it is open, see Held.
func (r *Releases) Possible(service ident.ServiceName) []fleet.Release {
	settled := r.settled() // not while the mutex is held
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(settled)
	return slices.DeleteFunc(r.lately(service), func(release fleet.Release) bool { return !r.isOpen(service, release) })
}

// Held returns the releases of a service whose upstreams must not begin streams yet. A release
// that joins others is open once it is in the published entry. Until then, a stream that nobody
// has recorded was begun by another one, also if all hosts that knew it have ended. If none of
// the published releases has a usable upstream, all others are open.
func (r *Releases) Held(service ident.ServiceName) []fleet.Release {
	settled := r.settled() // not while the mutex is held
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(settled)
	return slices.DeleteFunc(r.lately(service), func(release fleet.Release) bool { return r.isOpen(service, release) })
}

// isOpen reports whether upstreams of a release may begin streams. The caller holds the mutex.
func (r *Releases) isOpen(service ident.ServiceName, release fleet.Release) bool {
	published := r.published[service]
	return len(published) == 0 || slices.Contains(published, release) || r.known[service][release].opened
}

// Mixed returns the services that have, or lately had, upstreams of several releases.
func (r *Releases) Mixed() map[ident.ServiceName]bool {
	settled := r.settled() // not while the mutex is held
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(settled)
	mixed := make(map[ident.ServiceName]bool)
	for service := range r.known {
		if len(r.lately(service)) > 1 {
			mixed[service] = true
		}
	}
	return mixed
}

// lately returns the releases that are or have lately been in service, in order. The caller holds
// the mutex.
func (r *Releases) lately(service ident.ServiceName) []fleet.Release {
	var releases []fleet.Release
	for release, p := range r.known[service] {
		if !p.dropped {
			releases = append(releases, release)
		}
	}
	slices.Sort(releases)
	return releases
}

// observe updates the releases in service and drops those that have left long ago. Those that
// become known while the store is not settled are open: the entry may have lost them. The
// caller holds the mutex.
func (r *Releases) observe(settled bool) {
	now := r.now()
	latest := r.fleet()
	if latest == r.latest && len(r.unusable) == 0 && now.Sub(r.observed) < observeInterval {
		return
	}
	if r.latest != nil {
		r.see(r.latest, now, settled)
	}
	if latest != r.latest {
		r.latest = latest
		r.see(latest, now, settled)
	}
	r.openUnpublished(now)
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

// openUnpublished opens the releases of services of which no published one has had a usable
// upstream for unusableTime. The caller holds the mutex.
func (r *Releases) openUnpublished(now time.Time) {
	for service, published := range r.published {
		others := r.latest.Ready(service)
		isPublished := func(u fleet.Upstream) bool { return slices.Contains(published, u.Release) }
		if len(published) == 0 || len(others) == 0 || slices.ContainsFunc(others, isPublished) {
			delete(r.unusable, service)
			continue
		}
		since, ok := r.unusable[service]
		if !ok {
			since = now
			r.unusable[service] = now
		}
		if now.Sub(since) < unusableTime {
			continue
		}
		for _, upstream := range others {
			r.open(service, []fleet.Release{upstream.Release})
		}
	}
}

// open opens releases that are known. They stay open, also if an entry of a restored store lacks
// them. The caller holds the mutex.
func (r *Releases) open(service ident.ServiceName, releases []fleet.Release) {
	for _, release := range releases {
		if p, ok := r.known[service][release]; ok {
			p.opened = true
			r.put(service, release, p)
		}
	}
}

// see records that the releases of a snapshot are in service. The caller holds the mutex.
func (r *Releases) see(snapshot *fleet.Snapshot, now time.Time, settled bool) {
	for _, upstream := range snapshot.All() {
		p, ok := r.known[upstream.Service][upstream.Release]
		if !ok || p.dropped {
			p = presence{
				since:  now,
				opened: !settled,
			}
		}
		p.seen = now
		r.put(upstream.Service, upstream.Release, p)
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

// Knows reports whether a release of a service is or has lately been in service, as far as this
// host has seen before the latest change of the fleet.
func (r *Releases) Knows(service ident.ServiceName, release fleet.Release) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.known[service][release]
	return ok && !p.dropped
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
	r.published = published
	for service, releases := range published {
		r.open(service, releases)
		for _, release := range releases {
			if _, ok := r.known[service][release]; !ok {
				r.put(service, release, presence{
					since:  r.now(),
					opened: true,
					seen:   r.now(),
				})
			}
		}
	}
	return nil
}

// Entry returns the entry that should replace the present one, which is nil if there is
// none. A release that joins others is in it once it has been known for openDelay. A release
// that has left stays in it until this host has missed it for releaseLife; the entry has no
// times, since the clocks of hosts differ. It is nil while no upstream is known.
func (r *Releases) Entry(present []byte) ([]byte, error) {
	settled := r.settled() // not while the mutex is held
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(settled)
	if len(r.known) == 0 {
		return present, nil
	}
	if present != nil {
		_ = r.learn(present) // one that cannot be read is replaced by what this host knows
	}
	entry := make(inService)
	for service := range r.known {
		entry[service] = slices.DeleteFunc(r.lately(service), func(release fleet.Release) bool {
			return !r.isOpen(service, release) && r.now().Sub(r.known[service][release].since) < openDelay
		})
	}
	return json.Marshal(entry)
}
