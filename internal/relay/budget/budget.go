package budget

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// intervals is the number of intervals of a window that are counted separately.
const intervals = 20

// Config holds the limits of a Budget.
type Config struct {
	Share     float64       // retries allowed per request
	Allowance float64       // retries of all hosts together in a window, in addition to the share
	Window    time.Duration // period over which requests and retries are counted
	Hosts     func() int    // returns the number of live hosts
}

// Budget counts requests and retries by service and decides whether a retry is
// allowed. It is safe for concurrent use.
type Budget struct {
	config Config

	mu       sync.Mutex
	services map[ident.ServiceName]*counts
}

// counts is a ring of the counts of the intervals of one window.
type counts struct {
	interval int64 // number of the latest interval since the epoch
	requests [intervals]int
	retries  [intervals]int
}

// New returns a budget without counts.
func New(config Config) *Budget {
	return &Budget{
		config:   config,
		services: make(map[ident.ServiceName]*counts),
	}
}

// CountRequest counts a request at its first call.
func (b *Budget) CountRequest(now time.Time, service ident.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(now, service)
	c.requests[c.interval%intervals]++
}

// AllowRetry reports whether a request to the service may be retried, and counts the
// retry if so.
func (b *Budget) AllowRetry(now time.Time, service ident.ServiceName) bool {
	allowance := b.config.Allowance / float64(max(1, b.config.Hosts()))
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(now, service)
	requests, retries := 0, 0
	for i := range intervals {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	if float64(retries+1) > b.config.Share*float64(requests)+allowance {
		return false
	}
	c.retries[c.interval%intervals]++
	return true
}

// advance returns the counts of a service after it has cleared the intervals that
// have left the window. The caller holds the mutex.
func (b *Budget) advance(now time.Time, service ident.ServiceName) *counts {
	c, ok := b.services[service]
	if !ok {
		c = &counts{}
		b.services[service] = c
	}
	interval := now.UnixNano() / int64(b.config.Window/intervals)
	for ; c.interval < interval; c.interval++ {
		if interval-c.interval > intervals {
			c.interval = interval - intervals
		}
		next := (c.interval + 1) % intervals
		c.requests[next] = 0
		c.retries[next] = 0
	}
	return c
}
