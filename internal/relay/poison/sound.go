package poison

import "time"

const (
	// soundPeriod is how long a fingerprint counts as sound. It is longer than the time
	// in which a host usually serves the next request with a part that many requests
	// share, so that such a part is not blamed when many upstreams crash together.
	soundPeriod = 30 * time.Second
	// maxSound bounds the fingerprints of each generation. Beyond, the older one is dropped
	// sooner, and a part that is served seldom may be blamed until it is served again.
	maxSound = 8192
)

// soundTimes holds when fingerprints were last known to be sound, in two generations: the
// older one is dropped when the younger one is full or older than soundPeriod.
type soundTimes struct {
	young, old map[Fingerprint]time.Time
	youngSince time.Time
}

// add records that a fingerprint is sound.
func (s *soundTimes) add(now time.Time, f Fingerprint) {
	if s.young == nil || len(s.young) >= maxSound || now.Sub(s.youngSince) >= soundPeriod {
		s.old, s.young = s.young, make(map[Fingerprint]time.Time)
		s.youngSince = now
	}
	s.young[f] = now
}

// knownSince reports whether a fingerprint has been sound at the given time or later. The
// time must not be earlier than soundPeriod ago.
func (s *soundTimes) knownSince(f Fingerprint, since time.Time) bool {
	last, ok := s.young[f]
	if !ok {
		last, ok = s.old[f]
	}
	return ok && !last.Before(since)
}
