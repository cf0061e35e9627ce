package resumption

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

const (
	// streamLife is how long a stream is remembered that may be taken up. Callers wait for
	// less.
	streamLife = 30 * time.Second
	// maxStreams bounds the streams that a host forwards and remembers, and maxNotes the
	// notes for other hosts.
	maxStreams = 16384
	maxNotes   = 16384
	// maxOrigin is the length of the longest request id that is noted, in bytes. The protocol
	// has shorter ones.
	maxOrigin = 128
	// decisionTimeout bounds the time that a request waits until the release of its stream is
	// known.
	decisionTimeout = time.Second
	// moveTimeout bounds the time that a request waits until the store has the note of its move.
	moveTimeout = time.Second
	// adoptTimeout bounds the time that another host waits until the store has its notes.
	adoptTimeout = 400 * time.Millisecond
)

// ErrUnknown means that the release that began a stream is not known here and now.
const ErrUnknown = errors.ConstError("the release that began the stream is not known")

// ErrUnrecorded means that other hosts would not find the release of a stream if it began now.
const ErrUnrecorded = errors.ConstError("the release that would begin the stream was not recorded in time")

// Stream is known by the request that receives its first event.
type Stream struct {
	Origin  ident.RequestID
	Service ident.ServiceName
}

// Finder looks up streams that began at other hosts.
type Finder interface {
	// Find returns ErrUnknown, possibly annotated, if no host has recorded the stream.
	Find(ctx context.Context, stream Stream) (fleet.Release, error)
}

// known is what a host remembers of a stream that it forwards or has forwarded.
type known struct {
	releases []fleet.Release // that may have begun it
	begun    bool            // releases has the one that has begun it
	moves    int             // see note
	latest   fleet.Release   // of the latest move
	active   int             // runs that have not ended
	until    time.Time       // when it is forgotten; valid while none is active
}

// certainty says how certain it is that a release begins a stream.
type certainty uint8

const (
	// sent means that the request is being sent to an upstream of the release.
	sent certainty = iota + 1
	// moved means that the request goes there and nowhere else until its next move.
	moved
	// begun means that the release has begun the stream.
	begun
)

// note says which release begins a stream, for other hosts.
type note struct {
	Stream
	number    uint64
	release   fleet.Release
	certainty certainty
	move      int  // of the request, counted from 1; 0 unless it has moved
	adopted   bool // of another host
	at        time.Time
}

// Streams remembers the recent streams of a host, and finds those of others. It is safe for
// concurrent use.
type Streams struct {
	releases *Releases
	finder   Finder
	verify   func(ctx context.Context) error
	now      func() time.Time
	urgent   chan struct{} // has an element after a note that other hosts may need soon

	stored   *progress // of the notes that this host has written
	recorded *progress // of those that this host or others have written

	mu      sync.Mutex
	streams map[Stream]*known
	notes   []note // the latest ones, in the order of their numbers
	next    uint64 // number of the next note
	failing bool   // the store has not taken the latest notes
}

// NewStreams returns a Streams without streams. The function verify returns nil once the known
// fleet has all upstreams that may have begun a stream which is taken up before the call. Its
// error wraps discovery.ErrIsolated if nobody could tell.
func NewStreams(releases *Releases, finder Finder, verify func(ctx context.Context) error, now func() time.Time) *Streams {
	return &Streams{
		releases: releases,
		finder:   finder,
		verify:   verify,
		now:      now,
		urgent:   make(chan struct{}, 1),
		streams:  make(map[Stream]*known),
		stored:   newProgress(),
		recorded: newProgress(),
	}
}

// Release returns the release that began a stream, which a caller takes up before the call. It
// returns ErrUnknown, possibly annotated, if there are several that may have.
func (s *Streams) Release(ctx context.Context, stream Stream) (fleet.Release, error) {
	if release, ok := s.own(stream); ok {
		return release, nil
	}
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	release, ok, err := s.only(ctx, stream.Service)
	switch {
	case ok:
		return release, nil
	case errors.Is(err, discovery.ErrIsolated):
		return "", errors.Annotatef(ErrUnknown, "%v", err) // the records cannot be read either
	case len(stream.Origin) > maxOrigin, stream.Origin == "", len(s.releases.Possible(stream.Service)) == 0:
		return "", ErrUnknown
	}
	return s.finder.Find(ctx, stream)
}

// only returns the release that has begun all streams of a service, if there is only one that
// may have. What this host knows may be old, so that is verified.
func (s *Streams) only(ctx context.Context, service ident.ServiceName) (release fleet.Release, ok bool, err error) {
	if len(s.releases.Possible(service)) != 1 {
		return "", false, nil
	}
	if err := s.verify(ctx); err != nil {
		return "", false, err
	}
	possible := s.releases.Possible(service)
	if len(possible) != 1 {
		return "", false, nil
	}
	return possible[0], true, nil
}

// Held returns the releases of a service whose upstreams must not begin streams yet.
func (s *Streams) Held(service ident.ServiceName) []fleet.Release { return s.releases.Held(service) }

// Refresh brings the known fleet up to date: the coordinator that notes where a stream begins
// may know upstreams that this host does not. It returns an error if that is not possible.
func (s *Streams) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	return s.verify(ctx)
}

func (s *Streams) own(stream Stream) (fleet.Release, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.streams[stream]
	if !ok || !current.begun {
		return "", false
	}
	return current.releases[0], true
}

// Propose notes that a coordinator has proposed an upstream of a release to the host that
// forwards the stream. One coordinator notes the streams of many hosts.
func (s *Streams) Propose(stream Stream, release fleet.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(note{
		Stream:    stream,
		release:   release,
		certainty: sent,
	})
}

// note adds a note and returns its number. The caller holds the mutex.
func (s *Streams) note(n note) uint64 {
	n.number = s.next
	if len(n.Origin) > maxOrigin {
		return n.number // it cannot be taken up at another host
	}
	now := s.now()
	old := 0
	for old < len(s.notes) && now.Sub(s.notes[old].at) > streamLife {
		old++
	}
	if old == 0 && len(s.notes) == maxNotes {
		old = 1
	}
	n.at = now
	s.notes = append(s.notes[old:], n)
	s.next++
	return n.number
}

// notesFrom returns the recent notes from a number on that are needed, and the number of the next
// note.
func (s *Streams) notesFrom(number uint64, needed func(n note) bool) (notes []note, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next - uint64(len(s.notes))
	skip := min(max(number, first)-first, uint64(len(s.notes)))
	for _, n := range s.notes[skip:] {
		if needed(n) {
			notes = append(notes, n)
		}
	}
	return notes, s.next
}

// Adopt notes the streams in the record of a host that cannot write it, and waits until the store
// has them. It returns a NotValid error for a damaged record, and ErrUnrecorded if the store does
// not take the notes of this host either.
func (s *Streams) Adopt(ctx context.Context, record []byte) error {
	var notes []note
	if err := eachNote(record, func(n note) { notes = append(notes, n) }); err != nil {
		return errors.NewNotValid(err, "")
	}
	if len(notes) == 0 || len(notes) > recordNotes {
		return errors.NotValidf("record with %d notes", len(notes))
	}
	number, err := s.adopt(notes)
	if err != nil {
		return err
	}
	s.Hurry()
	return s.stored.await(ctx, number, adoptTimeout)
}

// adopt adds notes of another host, and returns the number of the last one.
func (s *Streams) adopt(notes []note) (number uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return 0, ErrUnrecorded
	}
	for _, n := range notes {
		n.adopted = true
		number = s.note(n)
	}
	return number, nil
}

// setStored records that this host has written all notes before a number.
func (s *Streams) setStored(next uint64) {
	s.setFailing(false)
	s.stored.advance(next)
	s.recorded.advance(next)
}

// setFailing records whether the store has taken the latest notes.
func (s *Streams) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

// Hurry makes the recorder write soon.
func (s *Streams) Hurry() {
	select {
	case s.urgent <- struct{}{}:
	default: // the recorder is about to write
	}
}

// Sweep forgets streams that can no longer be taken up.
func (s *Streams) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for stream, current := range s.streams {
		if current.active == 0 && now.After(current.until) {
			delete(s.streams, stream)
		}
	}
}
