package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// popularityTime is the time after which a request counts 1/e.
	popularityTime = 10 * time.Second
	// maxParts bounds the parts that are counted.
	maxParts = 4096
	// crowded is the work of so many upstreams, on average, above which the
	// requests that share a part are divided by the part after it.
	crowded = 2.0
)

// work is the decaying sum of what requests asked for.
type work struct {
	amount float64
	at     time.Time
}

func (w *work) decay(now time.Time) {
	w.amount *= math.Exp(-float64(now.Sub(w.at)) / float64(popularityTime))
	w.at = now
}

// Popularity measures the shares of the work that parts of prompts have.
type Popularity struct {
	mu    sync.Mutex
	total work
	parts map[uint64]*work
}

// NewPopularity returns a popularity without requests.
func NewPopularity() *Popularity {
	return &Popularity{
		parts: make(map[uint64]*work),
	}
}

// Count adds a request with a part, and returns the part's share of the work.
func (p *Popularity) Count(now time.Time, part uint64, amount float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total.decay(now)
	p.total.amount += amount
	held, ok := p.parts[part]
	if !ok {
		if len(p.parts) >= maxParts {
			p.forget(now)
		}
		held = &work{
			at: now,
		}
		p.parts[part] = held
	}
	held.decay(now)
	held.amount += amount
	return held.amount / p.total.amount
}

// forget drops the parts that no longer count.
func (p *Popularity) forget(now time.Time) {
	for part, held := range p.parts {
		held.decay(now)
		if held.amount < p.total.amount/maxParts {
			delete(p.parts, part)
		}
	}
}

// Crowded reports whether a part has more of the work than one upstream of
// several should have.
func Crowded(share float64, upstreams int) bool {
	return share*float64(upstreams) > crowded
}
