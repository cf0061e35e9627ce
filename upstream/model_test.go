package upstream_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// model is a queueing model of one pool: upstreams with a number of slots and a FIFO
// queue, and hosts that send to them.
type model struct {
	domains    []ident.FailureDomain // upstreams and hosts are spread over these
	members    int                   // upstreams
	slots      int                   // of an upstream
	service    time.Duration         // mean service time, exponentially distributed
	hosts      int
	rate       float64       // arrivals per second, at all hosts together
	lag        time.Duration // age of load reports when a response brings them; 0: no reports
	duration   time.Duration
	slow       map[int]float64     // factor of the service time, by index of the upstream
	failed     ident.FailureDomain // refuses connections from failAt on
	failAt     time.Duration
	roundRobin bool          // round robin instead of the table
	crossRTT   time.Duration // round trip to another failure domain
	crossCost  float64
}

type modelEvent struct {
	at  time.Duration
	seq int
	run func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// modelResult holds the results of a model run. Latencies include failed attempts
// and, for requests without a response at the end, the time waited so far.
type modelResult struct {
	p50, p95, p99 time.Duration
	failures      int // number of failed attempts
	crossDomain   float64
	maxLoad       int     // largest number of requests at one upstream
	loadRatio     float64 // largest mean load of an upstream divided by the smallest
}

type server struct {
	running int
	queue   []func()
	reports []upstream.Load // one per tick
	loadSum float64         // of the loads at all ticks
}

func (m model) run(c *qt.C) modelResult {
	random := rand.New(rand.NewPCG(11, 7))
	members := pool(m.members, m.domains...)
	start := time.Unix(1_000_000, 0)
	var now time.Duration
	var events modelQueue
	seq := 0
	after := func(d time.Duration, run func()) {
		seq++
		heap.Push(&events, modelEvent{
			at:  now + d,
			seq: seq,
			run: run,
		})
	}
	fixtures := make([]*fixture, m.hosts)
	for h := range fixtures {
		f := newFixture(ident.HostID(rune('a'+h)), m.domains[h%len(m.domains)], uint64(h))
		f.now = start
		f.offer(members)
		fixtures[h] = f
	}
	servers := make([]server, m.members)
	index := make(map[ident.UpstreamID]int)
	for i, member := range members {
		index[member.Upstream] = i
	}
	var result modelResult
	var latencies []time.Duration
	pending := make(map[int]time.Duration) // arrival times of requests without a response
	attempts, crossDomain := 0, 0
	nextServer := make([]int, m.hosts)

	var startQueued func(i int)
	startQueued = func(i int) {
		s := &servers[i]
		for s.running < m.slots && len(s.queue) > 0 {
			done := s.queue[0]
			s.queue = s.queue[1:]
			s.running++
			d := time.Duration(random.ExpFloat64() * float64(m.service))
			if factor, ok := m.slow[i]; ok {
				d = time.Duration(float64(d) * factor)
			}
			after(d, func() {
				s.running--
				done()
				startQueued(i)
			})
		}
	}
	var send func(h, request int, exclude []ident.UpstreamID)
	send = func(h, request int, exclude []ident.UpstreamID) {
		f := fixtures[h]
		f.now = start.Add(now)
		sent := now
		attempts++
		var lease upstream.Lease
		var i int
		if m.roundRobin {
			i = nextServer[h] % m.members
			nextServer[h]++
		} else {
			q := f.query()
			q.Exclude = exclude
			q.CrossCost = m.crossCost
			var err error
			lease, err = f.table.Choose(f.now, q)
			c.Assert(err, qt.IsNil)
			i = index[lease.Upstream]
		}
		var rtt time.Duration
		if members[i].Domain != m.domains[h%len(m.domains)] {
			crossDomain++
			rtt = m.crossRTT
		}
		end := func(result upstream.Result, load *upstream.Load) {
			f.now = start.Add(now)
			if !m.roundRobin {
				f.table.Done(lease, upstream.Report{
					Latency: now - sent,
					Load:    load,
					Result:  result,
				})
			}
		}
		if members[i].Domain == m.failed && now >= m.failAt {
			result.failures++
			after(rtt+time.Millisecond, func() {
				end(upstream.NotSent{}, nil)
				send(h, request, append(exclude, members[i].Upstream))
			})
			return
		}
		after(rtt/2, func() {
			s := &servers[i]
			s.queue = append(s.queue, func() {
				after(rtt/2, func() {
					var load *upstream.Load
					if old := len(s.reports) - 1 - int(m.lag/tick); m.lag > 0 && old >= 0 {
						load = &s.reports[old]
					}
					end(upstream.Completed{}, load)
					latencies = append(latencies, now-pending[request])
					delete(pending, request)
				})
			})
			result.maxLoad = max(result.maxLoad, s.running+len(s.queue))
			startQueued(i)
		})
	}
	var arrive func()
	arrive = func() {
		seq++
		pending[seq] = now
		send(random.IntN(m.hosts), seq, nil)
		after(time.Duration(random.ExpFloat64()/m.rate*float64(time.Second)), arrive)
	}
	var tickAll func()
	tickAll = func() {
		for i := range servers {
			s := &servers[i]
			s.loadSum += float64(s.running + len(s.queue))
			s.reports = append(s.reports, upstream.Load{
				Running: s.running,
				Queued:  len(s.queue),
				At:      start.Add(now),
			})
		}
		for _, f := range fixtures {
			f.now = start.Add(now)
			f.table.Tick(f.now)
			ejected := 0
			for _, row := range f.table.Snapshot().Rows {
				if row.State == upstream.StateEjected {
					ejected++
				}
			}
			c.Assert(3*ejected <= m.members, qt.IsTrue, qt.Commentf("%d of %d ejected", ejected, m.members))
		}
		after(tick, tickAll)
	}
	after(0, tickAll)
	after(0, arrive)
	for events[0].at < m.duration {
		event := heap.Pop(&events).(modelEvent)
		now = event.at
		event.run()
	}
	for _, arrived := range pending {
		latencies = append(latencies, m.duration-arrived)
	}
	slices.Sort(latencies)
	quantile := func(q float64) time.Duration {
		return latencies[int(q*float64(len(latencies)-1))].Round(100 * time.Microsecond)
	}
	result.p50 = quantile(0.5)
	result.p95 = quantile(0.95)
	result.p99 = quantile(0.99)
	result.crossDomain = float64(crossDomain) / float64(attempts)
	least, most := servers[0].loadSum, servers[0].loadSum
	for _, s := range servers {
		least = min(least, s.loadSum)
		most = max(most, s.loadSum)
	}
	result.loadRatio = most / max(least, 1)
	return result
}

// compare runs the model with round robin and with the table.
func (m model) compare(c *qt.C) (roundRobin, table modelResult) {
	m.roundRobin = true
	roundRobin = m.run(c)
	m.roundRobin = false
	table = m.run(c)
	for name, f := range map[string]modelResult{
		"round robin": roundRobin,
		"table":       table,
	} {
		c.Logf("%-11s p50 %v p95 %v p99 %v, failed attempts %d, cross-domain %.1f%%, largest load %d, mean load ratio %.2f",
			name, f.p50, f.p95, f.p99, f.failures, 100*f.crossDomain, f.maxLoad, f.loadRatio)
	}
	return roundRobin, table
}

func defaultModel() model {
	return model{
		domains:  []ident.FailureDomain{"erie-hall", "huron-hall", "superior-hall"},
		members:  9,
		slots:    8,
		service:  200 * time.Millisecond,
		hosts:    6,
		rate:     0.6 * 9 * 8 / 0.2,
		lag:      500 * time.Millisecond,
		duration: 60 * time.Second,
		crossRTT: 8 * time.Millisecond,
	}
}

// Guards against a straggler that dominates the tail latency of the pool.
func TestModelStraggler(t *testing.T) {
	c := qt.New(t)
	m := defaultModel()
	m.slow = map[int]float64{4: 10}
	roundRobin, table := m.compare(c)
	c.Assert(table.p95 < roundRobin.p95/4, qt.IsTrue)
	c.Assert(table.p95 < 5*m.service, qt.IsTrue)
}

// Guards against herding: hosts that all choose the same upstream because they see
// the same outdated load reports.
func TestModelHerd(t *testing.T) {
	for name, lag := range map[string]time.Duration{
		"no reports":     0,
		"reports 100 ms": 100 * time.Millisecond,
		"reports 500 ms": 500 * time.Millisecond,
		"reports 2 s":    2 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := defaultModel()
			m.domains = m.domains[:1]
			m.rate = 0.85 * 9 * 8 / 0.2
			m.lag = lag
			roundRobin, table := m.compare(c)
			c.Assert(table.p95 <= roundRobin.p95, qt.IsTrue)
			c.Assert(table.maxLoad <= roundRobin.maxLoad+m.slots/2, qt.IsTrue)
		})
	}
}

// Guards against attempts that keep failing after the loss of a failure domain, and
// against cross-domain transfers while all upstreams work.
func TestModelFailedDomain(t *testing.T) {
	c := qt.New(t)
	m := defaultModel()
	m.rate = 0.5 * 9 * 8 / 0.2
	m.crossCost = 0.05
	_, table := m.compare(c)
	c.Assert(table.crossDomain < 0.1, qt.IsTrue)
	m.failed = "huron-hall"
	m.failAt = 20 * time.Second
	roundRobin, table := m.compare(c)
	c.Assert(table.failures < roundRobin.failures/50, qt.IsTrue)
	c.Assert(table.p95 < 5*m.service, qt.IsTrue)
}
