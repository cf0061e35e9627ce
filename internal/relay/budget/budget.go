package budget

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// slices is the number of parts of a window that are counted together.
const slices = 20

// Config holds the limits of a Budget.
type Config struct {
	Share     float64 // of the requests
	Allowance float64 // of all hosts, in a window
	Window    time.Duration
	Hosts     func() int // live hosts
}

// Budget counts requests and their repeats by service.
type Budget struct {
	config Config

	mu       sync.Mutex
	services map[ident.ServiceName]*counts
}

// counts are those of the parts of a window, in a ring.
type counts struct {
	part     int64 // number of the latest part
	requests [slices]int
	repeats  [slices]int
}

// New returns a budget without counts.
func New(config Config) *Budget {
	return &Budget{
		config:   config,
		services: make(map[ident.ServiceName]*counts),
	}
}

// Request counts the first call of a request.
func (b *Budget) Request(now time.Time, service ident.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(now, service)
	c.requests[c.part%slices]++
}

// Repeat counts a repeated call, if the budget allows it.
func (b *Budget) Repeat(now time.Time, service ident.ServiceName) bool {
	allowance := b.config.Allowance / float64(max(1, b.config.Hosts()))
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(now, service)
	requests, repeats := 0, 0
	for i := range slices {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	if float64(repeats+1) > b.config.Share*float64(requests)+allowance {
		return false
	}
	c.repeats[c.part%slices]++
	return true
}

// at returns the counts of a service with the parts that are over cleared.
func (b *Budget) at(now time.Time, service ident.ServiceName) *counts {
	c, ok := b.services[service]
	if !ok {
		c = &counts{}
		b.services[service] = c
	}
	part := now.UnixNano() / int64(b.config.Window/slices)
	for ; c.part < part; c.part++ {
		if part-c.part > slices {
			c.part = part - slices
		}
		next := (c.part + 1) % slices
		c.requests[next] = 0
		c.repeats[next] = 0
	}
	return c
}
