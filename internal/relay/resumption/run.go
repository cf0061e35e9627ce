package resumption

import (
	"context"
	"slices"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

// Run is the handling of a stream by one request. It is not safe for concurrent use.
type Run struct {
	streams   *Streams
	stream    Stream
	known     *known // nil until an upstream is proposed or the request is sent
	bound     bool   // the request cannot move to another release
	contested bool   // coordinators may have noted several releases
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

// Bind records that the request cannot move to another release: one has begun the stream, or
// nobody may take it up.
func (r *Run) Bind() { r.bound = true }

// Contest records that a coordinator may have noted a release, or may do so yet, which is not
// known here: it has received the request, but not said what it proposes.
func (r *Run) Contest() { r.contested = true }

// Sent records that an upstream of a release may begin the stream, before the request is sent
// there. If other hosts would take another release for the one that began it, Sent waits until
// they find this one. It returns ErrUnrecorded if that takes too long; the stream must not begin
// at the release then.
func (r *Run) Sent(ctx context.Context, release fleet.Release) error {
	number, moves := r.send(release)
	if !moves {
		return nil
	}
	return r.streams.recorded.await(ctx, number, moveTimeout)
}

// send notes that the request is sent to a release. If it moves there, send returns the number
// of the note of the move.
func (r *Run) send(release fleet.Release) (number uint64, moves bool) {
	s := r.streams
	contested := r.contested && len(s.releases.Possible(r.stream.Service)) > 1
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attach(r)
	k := r.known
	isNew := k.add(release)
	if r.isBound() || !k.movesTo(release, contested) {
		if isNew {
			s.note(note{
				Stream:    r.stream,
				release:   release,
				certainty: sent,
			})
		}
		return 0, false
	}
	k.moves++
	k.latest = release
	number = s.note(note{
		Stream:    r.stream,
		release:   release,
		certainty: moved,
		move:      k.moves,
	})
	s.Hurry() // the request waits for it
	return number, true
}

// isBound reports whether the request cannot move, or nobody could find where it has. The caller
// holds the mutex.
func (r *Run) isBound() bool {
	return r.bound || r.known.begun || len(r.stream.Origin) > maxOrigin
}

// movesTo reports whether a note has to say that the request goes to a release, since others
// that may be recorded name another one.
func (k *known) movesTo(release fleet.Release, contested bool) bool {
	if k.moves > 0 {
		return k.latest != release
	}
	return contested || len(k.releases) > 1
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
		s.noteBegun(r.stream, release)
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
		s.noteBegun(r.stream, r.known.releases[0]) // its caller may take it up elsewhere now
	}
	r.known = nil
}

// noteBegun notes that a release has begun a stream. The caller holds the mutex.
func (s *Streams) noteBegun(stream Stream, release fleet.Release) {
	s.note(note{
		Stream:    stream,
		release:   release,
		certainty: begun,
	})
	s.Hurry()
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
