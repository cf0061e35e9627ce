package resumption

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

const (
	// brokenLife is how long a stream that has broken off is remembered. Callers wait for
	// less.
	brokenLife = 30 * time.Second
	// completeLife is how long a stream is remembered whose last byte has been sent: its
	// caller may not have received all of it.
	completeLife = 5 * time.Second
	// maxStreams bounds the streams that are remembered.
	maxStreams = 16384
)

// ErrUnknown means that the release that began a stream is not known here and now.
const ErrUnknown = errors.ConstError("the release that began the stream is not known")

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

// known is what a host remembers of a stream.
type known struct {
	releases []fleet.Release // that may have begun it
	begun    bool            // releases has the one that has begun it
	active   int             // runs that have not ended
	until    time.Time       // when it is forgotten; valid while none is active
}

// Streams remembers the recent streams of a host, and finds those of others. It is safe for
// concurrent use.
type Streams struct {
	releases *Releases
	finder   Finder
	now      func() time.Time
	urgent   chan struct{} // has an element after a change that other hosts may soon need

	mu      sync.Mutex
	streams map[Stream]*known
	changes uint64 // number of changes of the streams
}

// NewStreams returns a Streams without streams.
func NewStreams(releases *Releases, finder Finder, now func() time.Time) *Streams {
	return &Streams{
		releases: releases,
		finder:   finder,
		now:      now,
		urgent:   make(chan struct{}, 1),
		streams:  make(map[Stream]*known),
	}
}

// Release returns the release that began a stream. It returns ErrUnknown, possibly
// annotated, if there are several that may have.
func (s *Streams) Release(ctx context.Context, stream Stream) (fleet.Release, error) {
	if release, ok := s.own(stream); ok {
		return release, nil
	}
	possible := s.releases.Possible(stream.Service)
	if len(possible) == 1 {
		return possible[0], nil
	}
	if stream.Origin == "" || len(possible) == 0 {
		return "", ErrUnknown
	}
	return s.finder.Find(ctx, stream)
}

func (s *Streams) own(stream Stream) (fleet.Release, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.streams[stream]
	if !ok || len(current.releases) != 1 {
		return "", false
	}
	return current.releases[0], true
}

// Run is the handling of a stream by one request. It is not safe for concurrent use.
type Run struct {
	streams *Streams
	stream  Stream
	known   *known // nil until the request is sent
}

// NewRun returns the handling of a stream by a request that has not been sent.
func (s *Streams) NewRun(stream Stream) *Run {
	return &Run{
		streams: s,
		stream:  stream,
	}
}

// Sent records that an upstream of a release may begin the stream. Hosts record it then, so
// that the record is in the store when the first event arrives.
func (r *Run) Sent(release fleet.Release) { r.streams.sent(r, release) }

// Began records that an upstream of a release has sent an event of the stream.
func (r *Run) Began(release fleet.Release) { r.streams.began(r, release) }

// End records that the request has ended, and whether its caller has been sent the whole
// stream.
func (r *Run) End(complete bool) { r.streams.end(r, complete) }

func (s *Streams) sent(r *Run, release fleet.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.known == nil && !s.attach(r) {
		return
	}
	if r.known.begun || slices.Contains(r.known.releases, release) {
		return
	}
	r.known.releases = append(r.known.releases, release)
	s.changes++
	if len(r.known.releases) > 1 {
		s.hurry() // the record says that another release begins the stream
	}
}

// attach adds a run to its stream. It returns false if there are too many streams: this one
// cannot be taken up at another host. The caller holds the mutex.
func (s *Streams) attach(r *Run) bool {
	current, ok := s.streams[r.stream]
	if !ok {
		if len(s.streams) >= maxStreams {
			return false
		}
		current = &known{}
		s.streams[r.stream] = current
	}
	current.active++
	r.known = current
	return true
}

func (s *Streams) began(r *Run, release fleet.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.known == nil || r.known.begun {
		return
	}
	r.known.begun = true
	if len(r.known.releases) != 1 {
		s.changes++
	}
	r.known.releases = []fleet.Release{release}
}

func (s *Streams) end(r *Run, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.known == nil {
		return
	}
	r.known.active--
	switch {
	case !r.known.begun && r.known.active == 0:
		delete(s.streams, r.stream)
	case complete:
		r.known.until = s.now().Add(completeLife)
	default:
		r.known.until = s.now().Add(brokenLife)
		s.hurry()
	}
	r.known = nil
}

// hurry makes the recorder write soon.
func (s *Streams) hurry() {
	select {
	case s.urgent <- struct{}{}:
	default: // the recorder is about to write
	}
}

// recent returns the streams that may be taken up, and a number that is higher after each
// change of them.
func (s *Streams) recent() (streams map[Stream][]fleet.Release, changes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	streams = make(map[Stream][]fleet.Release, len(s.streams))
	for stream, current := range s.streams {
		if current.active == 0 && now.After(current.until) {
			delete(s.streams, stream)
			continue
		}
		streams[stream] = current.releases
	}
	return streams, s.changes
}
