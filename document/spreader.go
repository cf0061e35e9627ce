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
	// ListInterval is the time between two listings of the store by one host.
	ListInterval = 60 * time.Second
	// A watching host, or one without documents, lists sooner after a failure.
	listRetry = time.Second
	pullPause = 200 * time.Millisecond // between two pulls of a host
	// A document that peers announce but do not hold is left to the next listing.
	wantLimit = 10 * time.Second
)

// Action is what a Spreader wants done; it is one of List, Watch, Unwatch and Pull.
type Action interface{ action() }

// List asks for a listing of the store, reported by Spreader.Listed.
type List struct{}

// Watch asks to hold a watch on the store until Unwatch, which starts at the
// cursor, offers changes to the registry and reports its end by Spreader.WatchEnded.
type Watch struct {
	After kv.Cursor // of the last listing
}

// Unwatch asks to end the watch.
type Unwatch struct{}

// Pull asks a peer for documents, reported by Spreader.Pulled.
type Pull struct {
	Peer  ident.HostID
	Names []ident.ServiceName // empty asks for all
	Known map[ident.ServiceName]ident.Revision
}

func (List) action()    {}
func (Watch) action()   {}
func (Unwatch) action() {}
func (Pull) action()    {}

// Surroundings are what a Spreader has to know about the other hosts.
type Surroundings struct {
	Watcher bool           // this host is a designated watcher of its failure domain
	Peers   []ident.HostID // other live hosts
}

// want is a document that a peer has announced.
type want struct {
	revision ident.Revision
	from     ident.HostID
	until    time.Time
}

// ahead is a peer whose digest differs from the registry's.
type ahead struct {
	theirs, own uint64 // digests at the pull that brought nothing
	pending     bool
}

// Spreader decides how documents reach the registry. It performs no calls.
type Spreader struct {
	registry *Registry

	mu       sync.Mutex
	random   *rand.Rand
	phase    time.Duration
	started  bool
	nextList time.Time
	nextPull time.Time
	listing  bool
	listed   bool // a listing has succeeded and no watch has failed since
	everList bool
	cursor   kv.Cursor
	watching bool
	pulling  bool
	asked    Pull
	wants    map[ident.ServiceName]want
	peers    map[ident.HostID]ahead
}

// NewSpreader returns a spreader that feeds the registry.
func NewSpreader(registry *Registry, random *rand.Rand) *Spreader {
	return &Spreader{
		registry: registry,
		random:   random,
		wants:    make(map[ident.ServiceName]want),
		peers:    make(map[ident.HostID]ahead),
	}
}

// Ready reports whether the host can serve: it holds a document, or the store
// has answered that there is none.
func (s *Spreader) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.everList || s.registry.Digest() != 0
}

// Tick returns the actions due at the time now.
func (s *Spreader) Tick(now time.Time, around Surroundings) []Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.started = true
		s.nextList = now
		s.phase = time.Duration(s.random.Int64N(int64(ListInterval)))
	}
	var actions []Action
	if !s.listing && !now.Before(s.nextList) {
		s.listing = true
		actions = append(actions, List{})
	}
	switch {
	case s.watching && !around.Watcher:
		s.watching = false
		actions = append(actions, Unwatch{})
	case !s.watching && around.Watcher && s.listed:
		s.watching = true
		actions = append(actions, Watch{
			After: s.cursor,
		})
	case !s.watching && around.Watcher && !s.listing:
		s.nextList = earlier(s.nextList, now.Add(s.jitter(listRetry)))
	}
	if pull, ok := s.pull(now, around.Peers); ok {
		actions = append(actions, pull)
	}
	return actions
}

// Listed reports the end of a listing; on success the cursor is where a watch continues.
func (s *Spreader) Listed(now time.Time, loaded Loaded, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listing = false
	if err != nil {
		if !s.everList && s.registry.Digest() == 0 {
			s.nextList = now.Add(s.jitter(listRetry))
			return
		}
		s.nextList = now.Add(s.jitter(ListInterval))
		return
	}
	for _, v := range loaded.Documents {
		s.registry.Offer(v)
	}
	if !s.everList {
		// The first listing is at the start; the later ones keep a random phase,
		// so that hosts that start together do not list together.
		s.nextList = now.Add(s.phase)
	} else {
		s.nextList = now.Add(s.jitter(ListInterval))
	}
	s.everList = true
	s.listed = true
	s.cursor = loaded.Cursor
}

// WatchEnded reports a watch that failed; it starts again from a new listing.
func (s *Spreader) WatchEnded(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = false
	s.listed = false
	s.nextList = earlier(s.nextList, now.Add(s.jitter(listRetry)))
}

// Announced reports that a peer has heard of a revision.
func (s *Spreader) Announced(now time.Time, peer ident.HostID, name ident.ServiceName, revision ident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.registry.Snapshot().Revision(name) || revision < s.wants[name].revision {
		return
	}
	s.wants[name] = want{
		revision: revision,
		from:     peer,
		until:    now.Add(wantLimit),
	}
}

// Digest reports the digest of a peer's documents.
func (s *Spreader) Digest(peer ident.HostID, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.registry.Digest()
	known := s.peers[peer]
	if digest == own || digest == 0 {
		delete(s.peers, peer)
		return
	}
	known.pending = known.theirs != digest || known.own != own
	known.theirs = digest
	s.peers[peer] = known
}

// Pulled reports the end of a pull with the documents that the peer returned.
func (s *Spreader) Pulled(now time.Time, documents []Versioned, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulling = false
	s.nextPull = now.Add(pullPause)
	accepted := 0
	for _, v := range documents {
		if s.registry.Offer(v) {
			accepted++
		}
	}
	if known, ok := s.peers[s.asked.Peer]; ok {
		known.pending = accepted > 0 || err != nil
		known.own = s.registry.Digest()
		if err != nil {
			known.own = 0 // the next digest makes the pull due again
		}
		s.peers[s.asked.Peer] = known
	}
	for name, wanted := range s.wants {
		if wanted.from == s.asked.Peer {
			wanted.from = "" // ask another peer next
			s.wants[name] = wanted
		}
	}
}

func (s *Spreader) pull(now time.Time, peers []ident.HostID) (Pull, bool) {
	set := s.registry.Snapshot()
	for name, wanted := range s.wants {
		if wanted.revision <= set.Revision(name) || now.After(wanted.until) {
			delete(s.wants, name)
		}
	}
	for peer := range s.peers {
		if !slices.Contains(peers, peer) {
			delete(s.peers, peer)
		}
	}
	if s.pulling || now.Before(s.nextPull) || len(peers) == 0 {
		return Pull{}, false
	}
	pull := Pull{
		Known: make(map[ident.ServiceName]ident.Revision),
	}
	switch {
	case len(s.wants) > 0:
		pull.Names = slices.Sorted(maps.Keys(s.wants))
		pull.Peer = s.wants[pull.Names[0]].from
		if !slices.Contains(peers, pull.Peer) {
			pull.Peer = peers[s.random.IntN(len(peers))]
		}
	case set.Digest() == 0 && !s.everList:
		pull.Peer = peers[s.random.IntN(len(peers))]
	default:
		var pending []ident.HostID
		for _, peer := range slices.Sorted(maps.Keys(s.peers)) {
			if s.peers[peer].pending {
				pending = append(pending, peer)
			}
		}
		if len(pending) == 0 {
			return Pull{}, false
		}
		pull.Peer = pending[s.random.IntN(len(pending))]
	}
	for _, name := range set.Names() {
		pull.Known[name] = set.Revision(name)
	}
	s.pulling = true
	s.asked = pull
	return pull, true
}

// jitter returns a duration within a tenth of the given one.
func (s *Spreader) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(s.random.Int64N(int64(d)/5))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
