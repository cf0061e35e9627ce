package hedge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// quantile is the part of the recent responses, in percent, that were faster than the
	// delay of a hedge.
	quantile = 95
	// minSamples is the number of recent responses below which nothing is hedged: fewer do
	// not show the quantile.
	minSamples = 20
	// minDelay keeps requests to very fast upstreams from being hedged for a pause of this
	// host.
	minDelay = 10 * time.Millisecond
	// burst is the number of hedges that may be saved up while there are none.
	burst = 5
	// maxLatency is the longest latency that is told from longer ones.
	maxLatency = time.Minute
	// windows is the number of parts into which the recent past is divided, and
	// windowLength the length of one.
	windows      = 3
	windowLength = 10 * time.Second
	digits       = 2 // significant digits of latencies
	// delayAge is how long a delay is used before it is computed again.
	delayAge = time.Second
)

// Config holds the dependencies and the limit of a Policy.
type Config struct {
	Share float64 // hedges as a share of the requests; 0 means none
	Now   func() time.Time
}

// Policy decides when requests are hedged; it is safe for concurrent use.
type Policy struct {
	config Config

	mu       sync.Mutex
	services map[ident.ServiceName]*service
}

// service is what is known about a service.
type service struct {
	latencies *hdrhistogram.WindowedHistogram // in microseconds
	windowEnd time.Time
	tokens    float64       // hedges that may be sent now
	delay     time.Duration // 0 if too few responses are known
	delayEnd  time.Time     // when the delay is computed again
}

// New returns a policy that has seen no requests.
func New(config Config) *Policy {
	return &Policy{
		config:   config,
		services: make(map[ident.ServiceName]*service),
	}
}

// Delay counts a request that may be hedged, and returns how long to wait for its response
// before the hedge. It returns false if the request should not be hedged.
func (p *Policy) Delay(name ident.ServiceName) (time.Duration, bool) {
	if p.config.Share <= 0 {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	s.tokens = min(s.tokens+p.config.Share, burst)
	if now := p.config.Now(); !now.Before(s.delayEnd) {
		s.updateDelay()
		s.delayEnd = now.Add(delayAge)
	}
	return s.delay, s.delay > 0
}

// updateDelay computes the delay from the recent responses.
func (s *service) updateDelay() {
	recent := s.latencies.Merge()
	if recent.TotalCount() < minSamples {
		s.delay = 0
		return
	}
	s.delay = max(time.Duration(recent.ValueAtQuantile(quantile))*time.Microsecond, minDelay)
}

// Allow reports whether a hedge may be sent now, and counts it if so.
func (p *Policy) Allow(name ident.ServiceName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Observe records the latency of a response.
func (p *Policy) Observe(name ident.ServiceName, latency time.Duration) {
	if p.config.Share <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	latency = min(max(latency, time.Microsecond), maxLatency)
	_ = p.service(name).latencies.Current.RecordValue(latency.Microseconds()) // fails only for values out of range
}

// service returns the state of a service, with the windows of the present time. The caller
// holds the mutex.
func (p *Policy) service(name ident.ServiceName) *service {
	now := p.config.Now()
	s, ok := p.services[name]
	if !ok {
		s = &service{
			latencies: hdrhistogram.NewWindowed(windows, 1, maxLatency.Microseconds(), digits),
			windowEnd: now.Add(windowLength),
		}
		p.services[name] = s
	}
	for range windows {
		if now.Before(s.windowEnd) {
			return s
		}
		s.latencies.Rotate()
		s.windowEnd = s.windowEnd.Add(windowLength)
	}
	if !now.Before(s.windowEnd) {
		s.windowEnd = now.Add(windowLength)
	}
	return s
}
