package fleet

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Rate is a number of requests per second.
type Rate float64

const (
	// limitShare is the part of a stated limit that the hosts use. They do not know when the
	// others send, so the rest is for moments when several do at once.
	limitShare = 0.7
	// minRate is the lowest limit that is kept: an upstream with a lower one still gets a
	// request from time to time, whose response shows whether it states the limit any more.
	minRate = Rate(0.01)
	// limitLife is how long a limit is remembered that no response has stated again.
	limitLife = time.Hour
)

// rateLimit is the limit that an incarnation of an upstream has stated.
type rateLimit struct {
	incarnation ident.Incarnation
	rate        Rate
	next        time.Time // when this host may send the next request
	stated      time.Time // when a response has stated the limit last
}

// spacing returns the time between two requests of all hosts together.
func (l rateLimit) spacing() time.Duration {
	return time.Duration(float64(time.Second) / (limitShare * float64(l.rate)))
}

// SetLimit records that the upstream accepts no more than rate requests per second from all
// senders, which are this number of hosts, together. It reports whether that is new.
func (p *Pauses) SetLimit(upstream Upstream, rate Rate, senders int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	rate = max(rate, minRate)
	current, known := p.limits[upstream.ID]
	known = known && current.incarnation == upstream.Started
	if !known {
		p.forgetLimits(now)
	}
	limit := rateLimit{
		incarnation: upstream.Started,
		rate:        rate,
		next:        current.next,
		stated:      now,
	}
	interval := limit.spacing() * time.Duration(max(1, senders))
	if !known {
		// All hosts learn of the limit at about the same time.
		limit.next = now.Add(time.Duration(p.random() * float64(interval)))
	} else if soonest := now.Add(interval); limit.next.After(soonest) {
		limit.next = soonest // the limit has risen
	}
	p.limits[upstream.ID] = limit
	return !known || current.rate != rate
}

// ClearLimit records that the upstream states no limit any more. It reports whether it had
// stated one.
func (p *Pauses) ClearLimit(upstream Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.limits[upstream.ID]
	if !ok || current.incarnation != upstream.Started {
		return false
	}
	delete(p.limits, upstream.ID)
	return true
}

// Limited returns the number of upstreams with a limit.
func (p *Pauses) Limited() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.limits)
}

// Admit returns how much longer the upstream wants no requests from this host. If that is 0,
// it counts a request of this host, which is one of a number of senders.
func (p *Pauses) Admit(upstream Upstream, senders int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if left := p.remaining(upstream); left > 0 {
		return left
	}
	if limit, ok := p.limits[upstream.ID]; ok && limit.incarnation == upstream.Started {
		limit.next = p.now().Add(limit.spacing() * time.Duration(max(1, senders)))
		p.limits[upstream.ID] = limit
	}
	return 0
}

// untilLimit returns the time until this host may send the upstream a request by its limit.
// The caller holds the mutex.
func (p *Pauses) untilLimit(upstream Upstream) time.Duration {
	limit, ok := p.limits[upstream.ID]
	if !ok || limit.incarnation != upstream.Started {
		return 0
	}
	return max(0, limit.next.Sub(p.now()))
}

// forgetLimits forgets the limits that have not been stated for limitLife. The caller holds
// the mutex.
func (p *Pauses) forgetLimits(now time.Time) {
	for id, limit := range p.limits {
		if now.Sub(limit.stated) > limitLife {
			delete(p.limits, id)
		}
	}
}
