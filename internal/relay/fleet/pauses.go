package fleet

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// pause is the time until which an incarnation of an upstream wants no requests.
type pause struct {
	incarnation ident.Incarnation
	until       time.Time
}

// Pauses records the upstreams that want no requests from this host for some time, because
// they have asked for none or because they state a limit of requests per second. It is safe
// for concurrent use.
type Pauses struct {
	now    func() time.Time
	random func() float64

	mu     sync.Mutex
	byID   map[ident.UpstreamID]pause
	limits map[ident.UpstreamID]rateLimit
}

// NewPauses returns an empty Pauses; random returns numbers in [0, 1).
func NewPauses(now func() time.Time, random func() float64) *Pauses {
	return &Pauses{
		now:    now,
		random: random,
		byID:   make(map[ident.UpstreamID]pause),
		limits: make(map[ident.UpstreamID]rateLimit),
	}
}

// Add records that the upstream wants no requests for some time. A shorter pause does
// not end a longer one; a pause of another incarnation is replaced.
func (p *Pauses) Add(upstream Upstream, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := p.now().Add(length)
	current, ok := p.byID[upstream.ID]
	if ok && current.incarnation == upstream.Started && current.until.After(until) {
		return
	}
	p.byID[upstream.ID] = pause{
		incarnation: upstream.Started,
		until:       until,
	}
}

// Remaining returns how much longer the upstream wants no requests from this host; 0 if it
// accepts them.
func (p *Pauses) Remaining(upstream Upstream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remaining(upstream)
}

// RetryAfter returns after what time the upstream probably accepts a request, of this host
// or of another one; 0 if it accepts one of this host now.
func (p *Pauses) RetryAfter(upstream Upstream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryAfter(upstream)
}

func (p *Pauses) retryAfter(upstream Upstream) time.Duration {
	paused, limited := p.untilPauseEnds(upstream), p.untilLimit(upstream)
	if limited > 0 {
		limited = min(limited, p.limits[upstream.ID].spacing())
	}
	return max(paused, limited)
}

// remaining is Remaining for a caller that holds the mutex.
func (p *Pauses) remaining(upstream Upstream) time.Duration {
	return max(p.untilPauseEnds(upstream), p.untilLimit(upstream))
}

// untilPauseEnds returns the rest of the time for which the upstream has asked for no
// requests. The caller holds the mutex.
func (p *Pauses) untilPauseEnds(upstream Upstream) time.Duration {
	current, ok := p.byID[upstream.ID]
	if !ok || current.incarnation != upstream.Started {
		return 0
	}
	left := current.until.Sub(p.now())
	if left <= 0 {
		delete(p.byID, upstream.ID)
		return 0
	}
	return left
}

// Paused returns which of the upstreams want no requests now. If that holds for all of
// them, it also returns the time until the first one accepts requests again, of this host or
// of another one, else 0.
func (p *Pauses) Paused(upstreams []Upstream) (paused []ident.UpstreamID, shortest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byID)+len(p.limits) == 0 {
		return nil, 0
	}
	for _, upstream := range upstreams {
		left := p.retryAfter(upstream)
		if left == 0 {
			continue
		}
		paused = append(paused, upstream.ID)
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	if len(paused) < len(upstreams) {
		shortest = 0
	}
	return paused, shortest
}

// Count returns the number of upstreams that have asked for no requests now, and forgets
// the pauses that have ended.
func (p *Pauses) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for id, current := range p.byID {
		if !current.until.After(now) {
			delete(p.byID, id)
		}
	}
	return len(p.byID)
}
