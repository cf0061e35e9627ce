package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// decayTime is the time after which the work of a request counts 1/e.
	decayTime = 10 * time.Second
	// maxParts bounds the parts that are counted.
	maxParts = 4096
	// hotLoad is the work of a part, as a multiple of the average work of an
	// upstream, above which the requests that share the part are split by the part
	// after it.
	hotLoad = 2.0
)

// work is an exponentially decaying sum of the work of requests.
type work struct {
	amount float64
	at     time.Time // of the last decay
}

func (w *work) decay(now time.Time) {
	w.amount *= math.Exp(-float64(now.Sub(w.at)) / float64(decayTime))
	w.at = now
}

// Popularity measures the share of the total work that each prompt part causes. It is
// safe for concurrent use.
type Popularity struct {
	mu    sync.Mutex
	total work
	parts map[uint64]*work
}

// NewPopularity returns a Popularity without requests.
func NewPopularity() *Popularity {
	return &Popularity{
		parts: make(map[uint64]*work),
	}
}

// Count adds the work of a request with a part, and returns the part's share of the
// total work, from 0 to 1.
func (p *Popularity) Count(now time.Time, part uint64, amount float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total.decay(now)
	p.total.amount += amount
	counted, ok := p.parts[part]
	if !ok {
		if len(p.parts) >= maxParts {
			p.evict(now)
		}
		counted = &work{
			at: now,
		}
		p.parts[part] = counted
	}
	counted.decay(now)
	counted.amount += amount
	return counted.amount / p.total.amount
}

// evict deletes the parts whose share of the work is below 1/maxParts.
func (p *Popularity) evict(now time.Time) {
	for part, counted := range p.parts {
		counted.decay(now)
		if counted.amount < p.total.amount/maxParts {
			delete(p.parts, part)
		}
	}
}

// IsHot reports whether a part with the given share of the work is too much for one
// of the upstreams.
func IsHot(share float64, upstreams int) bool {
	return share*float64(upstreams) > hotLoad
}
