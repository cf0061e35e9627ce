package resumption

import (
	"slices"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

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

// Sent records that an upstream of a release may begin the stream, so that the record is in
// the store when the first event arrives. The coordinator has recorded it if it has proposed
// the upstream.
func (r *Run) Sent(release fleet.Release, proposed bool) {
	s := r.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.known == nil && !s.attach(r) {
		return
	}
	if r.known.begun || slices.Contains(r.known.releases, release) {
		return
	}
	r.known.releases = append(r.known.releases, release)
	if !proposed {
		s.note(r.stream, release, false)
	}
	if len(r.known.releases) > 1 {
		s.hurry() // what is recorded says that another release begins the stream
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

// Began records that an upstream of a release has sent an event of the stream.
func (r *Run) Began(release fleet.Release) {
	s := r.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.known == nil || r.known.begun {
		return
	}
	if len(r.known.releases) > 1 {
		s.note(r.stream, release, true)
	}
	r.known.begun = true
	r.known.releases = []fleet.Release{release}
}

// End records that the request has ended, and whether its caller has been sent the whole
// stream.
func (r *Run) End(complete bool) {
	s := r.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.known == nil {
		return
	}
	r.known.active--
	r.known.until = s.now().Add(streamLife)
	switch {
	case !r.known.begun && r.known.active == 0:
		delete(s.streams, r.stream)
	case r.known.begun && !complete:
		s.note(r.stream, r.known.releases[0], true) // its caller may take it up elsewhere now
		s.hurry()
	}
	r.known = nil
}
