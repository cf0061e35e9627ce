package document

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// ListInterval is the average time between two listings of the store by one
	// host.
	ListInterval = 60 * time.Second
	// listRetryInterval replaces ListInterval after a failure on a designated
	// watcher that has no watch, and on a host without documents.
	listRetryInterval = time.Second
	pullInterval      = 200 * time.Millisecond // from the end of a pull to the next pull
	// announcementTimeout is the time after which a host stops pulling a document
	// that peers announce but do not hold; the next listing then finds it.
	announcementTimeout = 10 * time.Second
)

// Action is an action that a Spreader requests: List, Watch, Unwatch or Pull.
type Action interface{ action() }

// List requests a listing of the store. Its result is reported to Spreader.Listed.
type List struct{}

// Watch requests a watch on the store that offers changes to the registry until
// Unwatch. If the watch fails, it ends and is reported to Spreader.WatchEnded.
type Watch struct {
	After kv.Cursor // cursor of the last listing, where the watch starts
}

// Unwatch requests the end of the watch.
type Unwatch struct{}

// Pull requests documents from a peer. Its result is reported to Spreader.Pulled.
type Pull struct {
	Peer  ident.HostID
	Names []ident.ServiceName                  // empty for all documents
	Known map[ident.ServiceName]ident.Revision // revisions in the registry; the peer sends only higher ones
}

func (List) action()    {}
func (Watch) action()   {}
func (Unwatch) action() {}
func (Pull) action()    {}

// Surroundings is what a Spreader needs to know about its host and the other hosts.
type Surroundings struct {
	Watcher bool           // this host is a designated watcher of its failure domain
	Peers   []ident.HostID // other live hosts
}

// announcement is a revision that a peer has announced and the registry lacks.
type announcement struct {
	revision ident.Revision
	peer     ident.HostID
	expires  time.Time
}

// digestMismatch is the state of a peer whose digest differs from the registry's.
type digestMismatch struct {
	// digest is the one that the peer last reported, and ownDigest the registry's
	// when the last pull from the peer ended.
	digest, ownDigest uint64
	pullDue           bool
}

// Spreader decides when a host lists or watches the store and pulls documents from
// peers, so that the registry receives every change. It performs no calls itself,
// and is safe for concurrent use.
type Spreader struct {
	registry *Registry

	mu            sync.Mutex
	random        *rand.Rand
	listPhase     time.Duration // time from the first successful listing to the next
	started       bool
	nextList      time.Time
	nextPull      time.Time
	listing       bool
	cursorValid   bool // a listing has succeeded and no watch has failed since
	everListed    bool // a listing has succeeded
	cursor        kv.Cursor
	watching      bool
	pulling       bool
	lastPull      Pull // active pull, or the last one if pulling is false
	announcements map[ident.ServiceName]announcement
	mismatches    map[ident.HostID]digestMismatch
}

// NewSpreader returns a spreader that offers the documents it receives to the
// registry.
func NewSpreader(registry *Registry, random *rand.Rand) *Spreader {
	return &Spreader{
		registry:      registry,
		random:        random,
		announcements: make(map[ident.ServiceName]announcement),
		mismatches:    make(map[ident.HostID]digestMismatch),
	}
}

// Ready reports whether the host can serve: the registry has a document, or a
// listing has succeeded, even if the store has no documents.
func (s *Spreader) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.everListed || s.registry.Digest() != 0
}

// Tick returns the actions due at the time now. The caller performs each of them.
func (s *Spreader) Tick(now time.Time, surroundings Surroundings) []Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.started = true
		s.nextList = now
		s.listPhase = time.Duration(s.random.Int64N(int64(ListInterval)))
	}
	var actions []Action
	if !s.listing && !now.Before(s.nextList) {
		s.listing = true
		actions = append(actions, List{})
	}
	switch {
	case s.watching && !surroundings.Watcher:
		s.watching = false
		actions = append(actions, Unwatch{})
	case !s.watching && surroundings.Watcher && s.cursorValid:
		s.watching = true
		actions = append(actions, Watch{
			After: s.cursor,
		})
	case !s.watching && surroundings.Watcher && !s.listing:
		s.nextList = earlier(s.nextList, now.Add(s.jitter(listRetryInterval)))
	}
	if pull, ok := s.choosePull(now, surroundings.Peers); ok {
		actions = append(actions, pull)
	}
	return actions
}

// Listed records the result of a listing. On success it offers the documents to
// the registry, and the next watch starts at the cursor.
func (s *Spreader) Listed(now time.Time, loaded Loaded, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listing = false
	if err != nil {
		if !s.everListed && s.registry.Digest() == 0 {
			s.nextList = now.Add(s.jitter(listRetryInterval))
			return
		}
		s.nextList = now.Add(s.jitter(ListInterval))
		return
	}
	for _, v := range loaded.Documents {
		s.registry.Offer(v)
	}
	if !s.everListed {
		// Hosts list at start. A random time until the second listing prevents hosts
		// that start together from listing together later.
		s.nextList = now.Add(s.listPhase)
	} else {
		s.nextList = now.Add(s.jitter(ListInterval))
	}
	s.everListed = true
	s.cursorValid = true
	s.cursor = loaded.Cursor
}

// WatchEnded records that the watch failed. It is started again after a new listing.
func (s *Spreader) WatchEnded(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = false
	s.cursorValid = false
	s.nextList = earlier(s.nextList, now.Add(s.jitter(listRetryInterval)))
}

// Announced records that a peer has announced a revision. The peer may not hold the
// document itself.
func (s *Spreader) Announced(now time.Time, peer ident.HostID, name ident.ServiceName, revision ident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.registry.Snapshot().Revision(name) || revision < s.announcements[name].revision {
		return
	}
	s.announcements[name] = announcement{
		revision: revision,
		peer:     peer,
		expires:  now.Add(announcementTimeout),
	}
}

// Digest records the digest that a peer reports of its documents, as Set.Digest
// returns it. If it differs from the registry's, documents are pulled from the peer
// unless an earlier pull has shown that it has no newer ones.
func (s *Spreader) Digest(peer ident.HostID, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.registry.Digest()
	mismatch := s.mismatches[peer]
	if digest == own || digest == 0 {
		delete(s.mismatches, peer)
		return
	}
	mismatch.pullDue = mismatch.digest != digest || mismatch.ownDigest != own
	mismatch.digest = digest
	s.mismatches[peer] = mismatch
}

// Pulled records the result of a pull and offers the documents that the peer
// returned to the registry.
func (s *Spreader) Pulled(now time.Time, documents []Versioned, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulling = false
	s.nextPull = now.Add(pullInterval)
	accepted := 0
	for _, v := range documents {
		if s.registry.Offer(v) {
			accepted++
		}
	}
	if mismatch, ok := s.mismatches[s.lastPull.Peer]; ok {
		mismatch.pullDue = accepted > 0 || err != nil
		mismatch.ownDigest = s.registry.Digest()
		if err != nil {
			mismatch.ownDigest = 0 // the next digest makes the pull due again
		}
		s.mismatches[s.lastPull.Peer] = mismatch
	}
	for name, announced := range s.announcements {
		if announced.peer == s.lastPull.Peer {
			announced.peer = "" // the next pull asks a random peer
			s.announcements[name] = announced
		}
	}
}

// choosePull returns the pull due at the time now, if any. Announced revisions come
// first, then documents for a host that has none, then peers with another digest.
func (s *Spreader) choosePull(now time.Time, peers []ident.HostID) (Pull, bool) {
	set := s.registry.Snapshot()
	for name, announced := range s.announcements {
		if announced.revision <= set.Revision(name) || now.After(announced.expires) {
			delete(s.announcements, name)
		}
	}
	for peer := range s.mismatches {
		if !slices.Contains(peers, peer) {
			delete(s.mismatches, peer)
		}
	}
	if s.pulling || now.Before(s.nextPull) || len(peers) == 0 {
		return Pull{}, false
	}
	pull := Pull{
		Known: make(map[ident.ServiceName]ident.Revision),
	}
	switch {
	case len(s.announcements) > 0:
		pull.Names = slices.Sorted(maps.Keys(s.announcements))
		pull.Peer = s.announcements[pull.Names[0]].peer
		if !slices.Contains(peers, pull.Peer) {
			pull.Peer = peers[s.random.IntN(len(peers))]
		}
	case set.Digest() == 0 && !s.everListed:
		pull.Peer = peers[s.random.IntN(len(peers))]
	default:
		var due []ident.HostID
		for _, peer := range slices.Sorted(maps.Keys(s.mismatches)) {
			if s.mismatches[peer].pullDue {
				due = append(due, peer)
			}
		}
		if len(due) == 0 {
			return Pull{}, false
		}
		pull.Peer = due[s.random.IntN(len(due))]
	}
	for _, name := range set.Names() {
		pull.Known[name] = set.Revision(name)
	}
	s.pulling = true
	s.lastPull = pull
	return pull, true
}

// jitter returns a random duration within 10% of d.
func (s *Spreader) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(s.random.Int64N(int64(d)/5))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
