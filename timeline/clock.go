package timeline

import (
	"sync"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock: wall-clock microseconds and a
// counter.
type Stamp struct {
	Wall  int64  `json:"wall"`  // microseconds since the Unix epoch
	Count uint32 `json:"count"` // orders stamps with equal Wall
}

// Before reports whether s sorts before o.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Count < o.Count
}

// Clock is a hybrid logical clock, which issues strictly increasing stamps. It is
// safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a Clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{
		now: now,
	}
}

// Now returns a stamp that sorts after all stamps issued or observed before.
func (c *Clock) Now() Stamp {
	wall := c.now().UnixMicro()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.last.Wall {
		c.last = Stamp{
			Wall:  wall,
			Count: 0,
		}
	} else {
		c.last.Count++
	}
	return c.last
}

// Observe advances the clock past a stamp received from another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}
