package organisation

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Errors of Acquire; the request did not start.
const (
	ErrOverload = errors.ConstError("too many requests are waiting")
	ErrDeadline = errors.ConstError("the deadline would pass before the answer")
)

// shareLeast keeps a share of 0 from blocking an organisation for ever.
const shareLeast = 0.001

// Config holds the parameters of a Limiter; a zero number means its default.
type Config struct {
	Now     func() time.Time
	Shares  map[ident.OrganisationID]float64 // organisations not listed have that of ident.OthersID, or 1
	Initial float64                          // concurrency limit at the start, 32
	Least   float64                          // smallest concurrency limit, 4
	Most    float64                          // largest concurrency limit, 4096
	Waiting int                              // most waiting requests, 1024
}

// Limiter admits the requests of one service on one host.
type Limiter struct {
	now     func() time.Time
	waiting int

	mu       sync.Mutex
	shares   map[ident.OrganisationID]float64
	limit    limit
	inFlight float64 // cost
	queues   *queues
	usage    *usage
	remote   *remote
}

// Status is the state of a limiter at one moment.
type Status struct {
	Limit         float64 // cost that may be in flight
	InFlight      float64 // cost in flight
	Waiting       int     // requests
	Organisations int     // with waiting requests
	Service       time.Duration
}

// New returns a limiter without requests.
func New(cfg Config) *Limiter {
	l := &Limiter{
		now:     cfg.Now,
		waiting: cfg.Waiting,
		shares:  cfg.Shares,
		limit: limit{
			value: cfg.Initial,
			least: cfg.Least,
			most:  cfg.Most,
		},
		usage:  newUsage(),
		remote: newRemote(),
	}
	if l.waiting == 0 {
		l.waiting = 1024
	}
	if l.limit.value == 0 {
		l.limit.value = 32
	}
	if l.limit.least == 0 {
		l.limit.least = 4
	}
	if l.limit.most == 0 {
		l.limit.most = 4096
	}
	l.queues = newQueues(l.share)
	return l
}

// SetShares replaces the shares; the limiter keeps the map.
func (l *Limiter) SetShares(shares map[ident.OrganisationID]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares = shares
	l.queues.refresh()
}

// share returns the share of an organisation, corrected for its use at peers.
func (l *Limiter) share(organisation ident.OrganisationID) float64 {
	share := l.configured(organisation)
	if factor, ok := l.remote.factors[organisation]; ok {
		share *= factor
	}
	return share
}

func (l *Limiter) configured(organisation ident.OrganisationID) float64 {
	share, ok := l.shares[organisation]
	if !ok {
		share, ok = l.shares[ident.OthersID]
	}
	if !ok {
		return 1
	}
	return max(shareLeast, share)
}

// Acquire waits until a request may start. Cost is 1 for a usual request. It
// returns ErrOverload, ErrDeadline or the error of the context; after each of
// them the request did not start.
func (l *Limiter) Acquire(ctx context.Context, organisation ident.OrganisationID, cost float64, deadline time.Time) (Permit, error) {
	if cost <= 0 {
		cost = 1
	}
	if err := ctx.Err(); err != nil {
		return Permit{}, errors.Annotate(err, "waiting for admission")
	}
	w, err := l.enter(organisation, cost, deadline)
	if err != nil {
		return Permit{}, errors.Annotatef(err, "admitting a request of %s", organisation)
	}
	if w != nil {
		if err := l.wait(ctx, w); err != nil {
			return Permit{}, errors.Annotatef(err, "admitting a request of %s", organisation)
		}
	}
	return Permit{
		grant: &grant{
			limiter: l,
			cost:    cost,
			start:   l.now(),
		},
	}, nil
}

// enter admits the request, returning no waiter, or queues it.
func (l *Limiter) enter(organisation ident.OrganisationID, cost float64, deadline time.Time) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.correct(now)
	remaining := deadline.Sub(now)
	fits := l.queues.length == 0 && l.fits(cost)
	if remaining <= 0 {
		return nil, ErrDeadline
	}
	// With nothing in flight the estimate may be outdated and would not change.
	if l.inFlight > 0 {
		// The margin for deviations is for requests that wait. Without a wait it
		// would refuse nearly all requests of a service whose usual latency is
		// close to its deadline, and the few others could not correct the estimate.
		needed := l.limit.service
		if !fits {
			needed = l.limit.expected() + l.queues.ahead(organisation, cost)*l.limit.service/l.limit.current()
		}
		if remaining.Seconds() < needed {
			return nil, ErrDeadline
		}
	}
	if fits {
		l.admit(now, organisation, cost)
		return nil, nil
	}
	w := &waiter{
		cost:     cost,
		latest:   deadline.Add(-l.expected()),
		admitted: make(chan struct{}),
	}
	l.queues.push(organisation, w)
	if l.queues.length > l.waiting {
		l.drop(l.queues.longest(), ErrOverload)
		if w.err != nil {
			return nil, w.err
		}
	}
	return w, nil
}

// wait returns nil once the waiter is admitted.
func (l *Limiter) wait(ctx context.Context, w *waiter) error {
	timer := time.NewTimer(w.latest.Sub(l.now()))
	defer timer.Stop()
	reason := error(ErrDeadline)
	select {
	case <-w.admitted:
		return w.err
	case <-timer.C:
	case <-ctx.Done():
		reason = ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.element != nil {
		l.drop(w, reason)
		l.dispatch(l.now())
	}
	// Otherwise it was admitted or dropped at the same moment.
	return w.err
}

func (l *Limiter) expected() time.Duration {
	return time.Duration(l.limit.expected() * float64(time.Second))
}

func (l *Limiter) fits(cost float64) bool {
	return l.inFlight == 0 || l.inFlight+cost <= l.limit.current()
}

func (l *Limiter) admit(now time.Time, organisation ident.OrganisationID, cost float64) {
	l.inFlight += cost
	l.limit.used(l.inFlight)
	l.usage.add(now, organisation, cost)
}

func (l *Limiter) drop(w *waiter, reason error) {
	l.queues.remove(w)
	w.err = reason
	close(w.admitted)
}

// dispatch admits waiting requests while they fit.
func (l *Limiter) dispatch(now time.Time) {
	for w := l.queues.next(); w != nil; w = l.queues.next() {
		if now.After(w.latest) {
			l.drop(w, ErrDeadline)
			continue
		}
		if !l.fits(w.cost) {
			return
		}
		organisation := w.queue.organisation
		l.queues.admit(w)
		l.admit(now, organisation, w.cost)
		close(w.admitted)
	}
}

func (l *Limiter) correct(now time.Time) {
	if len(l.remote.peers) == 0 || now.Sub(l.remote.at) < correctPeriod {
		return
	}
	l.remote.correct(now, l.usage.top(now, countersMax), l.configured)
	l.queues.refresh()
}

// Top returns what this host has admitted, with at most n organisations, for
// gossip.
func (l *Limiter) Top(n int) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage.top(l.now(), n)
}

// Remote records what a peer has admitted. An organisation that uses its share
// elsewhere gets less of it here; no organisation gets more than its share.
func (l *Limiter) Remote(host ident.HostID, usage Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remote.receive(l.now(), host, usage)
}

// Status returns the state for the status page and metrics.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{
		Limit:         l.limit.current(),
		InFlight:      l.inFlight,
		Waiting:       l.queues.length,
		Organisations: len(l.queues.named),
		Service:       l.expected(),
	}
}

// Permit is the right to run one request; it ends with Release.
type Permit struct {
	grant *grant
}

type grant struct {
	limiter  *Limiter
	cost     float64
	start    time.Time
	released bool // guarded by the limiter's mutex
}

// Refused records that an upstream refused the running request because of its
// load. The request goes on, and the limit falls before it ends.
func (p Permit) Refused() {
	if p.grant == nil {
		return
	}
	l := p.grant.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.grant.released {
		l.limit.refuse(l.now())
	}
}

// Release ends the permit. A second call has no effect.
func (p Permit) Release(result Result) {
	if p.grant == nil {
		return
	}
	l := p.grant.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.grant.released {
		return
	}
	p.grant.released = true
	now := l.now()
	switch result.(type) {
	case Completed:
		l.limit.observe(now, now.Sub(p.grant.start))
	case Overloaded:
		l.limit.refuse(now)
	case Abandoned:
	}
	l.inFlight = max(0, l.inFlight-p.grant.cost)
	l.dispatch(now)
}
