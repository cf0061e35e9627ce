package resumption

import (
	"slices"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

// Run is the handling of a stream by one request. It is not safe for concurrent use.
type Run struct {
	streams *Streams
	stream  Stream
	known   *known // nil until an upstream is proposed or the request is sent
}

// NewRun returns the handling of a stream by a request that has not been sent.
func (s *Streams) NewRun(stream Stream) *Run {
	return &Run{
		streams: s,
		stream:  stream,
	}
}

// Proposed records that a coordinator has proposed, and noted, an upstream of a release;
// empty if the release is not known here.
func (r *Run) Proposed(release fleet.Release) {
	s := r.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attach(r)
	r.known.add(release)
}

// Sent records that an upstream of a release may begin the stream, so that the record is in
// the store when the first event arrives.
func (r *Run) Sent(release fleet.Release) {
	s := r.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attach(r)
	if !r.known.add(release) {
		return
	}
	s.note(r.stream, release, false)
	if len(r.known.releases) > 1 {
		s.Hurry() // what is recorded says that another release begins the stream
	}
}

// First returns the release that was proposed, or to which the request was sent, first. A
// retry there leaves no doubt about the release of the stream. It is empty if there is none.
func (r *Run) First() fleet.Release {
	r.streams.mu.Lock()
	defer r.streams.mu.Unlock()
	if r.known == nil || len(r.known.releases) == 0 {
		return ""
	}
	return r.known.releases[0]
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
		s.Hurry()
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
		s.Hurry()
	}
	r.known = nil
}

// attach adds a run to its stream. If there are too many streams, this one is known to the
// run only. The caller holds the mutex.
func (s *Streams) attach(r *Run) {
	if r.known != nil {
		return
	}
	current, ok := s.streams[r.stream]
	if !ok {
		current = &known{}
		if len(s.streams) < maxStreams {
			s.streams[r.stream] = current
		}
	}
	current.active++
	r.known = current
}

// add adds a release that may begin the stream. It reports false if that is known, or if the
// stream has begun.
func (k *known) add(release fleet.Release) bool {
	if k.begun || slices.Contains(k.releases, release) {
		return false
	}
	k.releases = append(k.releases, release)
	return true
}
