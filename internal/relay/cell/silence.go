package cell

import (
	"time"
)

// silence is a time in which no candidate has responded although jobs were sent. The zero
// silence is none.
type silence struct {
	since time.Time // first loss; zero if there is no silence
	last  time.Time // latest loss
}

// extend records a loss. One long after the previous loss begins a new silence, since
// nothing was sent in between.
func (s *silence) extend(now time.Time) {
	if s.since.IsZero() || now.Sub(s.last) > partitionPeriod {
		s.since = now
	}
	s.last = now
}

// end records that a candidate has responded.
func (s *silence) end() {
	*s = silence{}
}

// length returns the length of the silence so far.
func (s *silence) length(now time.Time) time.Duration {
	if s.since.IsZero() || now.Sub(s.last) > partitionPeriod {
		return 0
	}
	return now.Sub(s.since)
}
