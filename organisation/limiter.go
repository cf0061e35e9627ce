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

// minShare ensures that an organisation with a share of 0 is served eventually.
const minShare = 0.001

// Config holds the parameters of a Limiter. Zero Initial, Least, Most and Waiting
// mean the default given below; Now is required.
type Config struct {
	Now     func() time.Time
	Shares  map[ident.OrganisationID]float64 // weights; an organisation not listed has the share of ident.OthersID, or 1 without it
	Initial float64                          // initial concurrency limit; default 32
	Least   float64                          // lower bound of the concurrency limit; default 4
	Most    float64                          // upper bound of the concurrency limit; default 4096
	Waiting int                              // maximum number of waiting requests; default 1024
}

// Limiter admits the requests of one service on one host. It is safe for
// concurrent use.
type Limiter struct {
	now        func() time.Time
	maxWaiting int

	mu       sync.Mutex
	shares   map[ident.OrganisationID]float64
	limit    limit
	inFlight float64 // cost
	queues   *queues
	usage    *usage
	remote   *remote
}

// Status is a snapshot of the state of a Limiter.
type Status struct {
	Limit         float64       // cost that may be in flight
	InFlight      float64       // cost in flight
	Waiting       int           // number of waiting requests
	Organisations int           // number of organisations with waiting requests
	Service       time.Duration // expected service time of a request
}

// New returns a Limiter with the parameters of cfg.
func New(cfg Config) *Limiter {
	l := &Limiter{
		now:        cfg.Now,
		maxWaiting: cfg.Waiting,
		shares:     cfg.Shares,
		limit: limit{
			value: cfg.Initial,
			least: cfg.Least,
			most:  cfg.Most,
		},
		usage:  newUsage(),
		remote: newRemote(),
	}
	if l.maxWaiting == 0 {
		l.maxWaiting = 1024
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

// SetShares replaces the shares. The limiter retains the map; the caller must not
// modify it afterwards.
func (l *Limiter) SetShares(shares map[ident.OrganisationID]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares = shares
	l.queues.refreshShares()
}

// share returns the share of an organisation, corrected for its usage at peers.
func (l *Limiter) share(organisation ident.OrganisationID) float64 {
	share := l.configuredShare(organisation)
	if factor, ok := l.remote.factors[organisation]; ok {
		share *= factor
	}
	return share
}

func (l *Limiter) configuredShare(organisation ident.OrganisationID) float64 {
	share, ok := l.shares[organisation]
	if !ok {
		share, ok = l.shares[ident.OthersID]
	}
	if !ok {
		return 1
	}
	return max(minShare, share)
}

// Acquire waits until a request of the given cost may start; a cost of 0 or less
// counts as 1. The caller must Release the permit. Errors are ErrOverload,
// ErrDeadline or the error of the context, possibly annotated; after any of them
// the request did not start.
func (l *Limiter) Acquire(ctx context.Context, organisation ident.OrganisationID, cost float64, deadline time.Time) (Permit, error) {
	if cost <= 0 {
		cost = 1
	}
	if err := ctx.Err(); err != nil {
		return Permit{}, errors.Annotate(err, "waiting for admission")
	}
	w, err := l.admitOrEnqueue(organisation, cost, deadline)
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

// admitOrEnqueue admits the request and returns a nil waiter, or queues it and
// returns its waiter.
func (l *Limiter) admitOrEnqueue(organisation ident.OrganisationID, cost float64, deadline time.Time) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.correctShares(now)
	remaining := deadline.Sub(now)
	fits := l.queues.length == 0 && l.fits(cost)
	if remaining <= 0 {
		return nil, ErrDeadline
	}
	// Without requests in flight the estimated service time is not checked: it may
	// be outdated, and only a completed request can correct it.
	if l.inFlight > 0 {
		// The margin for deviations applies only to requests that must wait.
		// Applied to all, it would refuse nearly all requests of a service whose
		// usual latency is close to its deadline, and the few admitted ones could
		// not correct the estimate.
		needed := l.limit.serviceTime
		if !fits {
			needed = l.limit.expectedServiceTime() + l.queues.costAhead(organisation, cost)*l.limit.serviceTime/l.limit.current()
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
		cost:        cost,
		latestStart: deadline.Add(-l.expectedServiceTime()),
		decided:     make(chan struct{}),
	}
	l.queues.push(organisation, w)
	if l.queues.length > l.maxWaiting {
		l.drop(l.queues.lastOfLongest(), ErrOverload)
		if w.err != nil {
			return nil, w.err
		}
	}
	return w, nil
}

// wait blocks until the waiter is admitted, and returns nil, or is dropped, and
// returns the reason.
func (l *Limiter) wait(ctx context.Context, w *waiter) error {
	timer := time.NewTimer(w.latestStart.Sub(l.now()))
	defer timer.Stop()
	reason := error(ErrDeadline)
	select {
	case <-w.decided:
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
	// Otherwise it was admitted or dropped concurrently.
	return w.err
}

func (l *Limiter) expectedServiceTime() time.Duration {
	return time.Duration(l.limit.expectedServiceTime() * float64(time.Second))
}

func (l *Limiter) fits(cost float64) bool {
	return l.inFlight == 0 || l.inFlight+cost <= l.limit.current()
}

func (l *Limiter) admit(now time.Time, organisation ident.OrganisationID, cost float64) {
	l.inFlight += cost
	l.limit.observeInFlight(l.inFlight)
	l.usage.add(now, organisation, cost)
}

func (l *Limiter) drop(w *waiter, reason error) {
	l.queues.remove(w)
	w.err = reason
	close(w.decided)
}

// dispatch admits waiting requests while they fit.
func (l *Limiter) dispatch(now time.Time) {
	for w := l.queues.next(); w != nil; w = l.queues.next() {
		if now.After(w.latestStart) {
			l.drop(w, ErrDeadline)
			continue
		}
		if !l.fits(w.cost) {
			return
		}
		organisation := w.queue.organisation
		l.queues.admit(w)
		l.admit(now, organisation, w.cost)
		close(w.decided)
	}
}

func (l *Limiter) correctShares(now time.Time) {
	if len(l.remote.peers) == 0 || now.Sub(l.remote.correctedAt) < correctionInterval {
		return
	}
	l.remote.correct(now, l.usage.top(now, maxCounters), l.configuredShare)
	l.queues.refreshShares()
}

// Top returns the admission rates of this host, in total and of at most n
// organisations, for gossip.
func (l *Limiter) Top(n int) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage.top(l.now(), n)
}

// Remote records the admission rates that a peer has gossiped. They lower the
// share here of an organisation that uses its share at peers, and never raise a
// share.
func (l *Limiter) Remote(host ident.HostID, usage Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remote.receive(l.now(), host, usage)
}

// Status returns a snapshot of the state, for the status page and metrics.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{
		Limit:         l.limit.current(),
		InFlight:      l.inFlight,
		Waiting:       l.queues.length,
		Organisations: len(l.queues.byOrganisation),
		Service:       l.expectedServiceTime(),
	}
}

// Permit allows one request to run, until Release is called. It is safe for
// concurrent use.
type Permit struct {
	grant *grant
}

type grant struct {
	limiter  *Limiter
	cost     float64
	start    time.Time
	released bool // guarded by the limiter's mutex
}

// Refused records that an upstream refused the running request because of
// overload, so that the limit can fall before the request ends. The permit stays
// valid. After Release it has no effect.
func (p Permit) Refused() {
	if p.grant == nil {
		return
	}
	l := p.grant.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.grant.released {
		l.limit.observeRefusal(l.now())
	}
}

// Release returns the capacity that the request held, and adjusts the limit by
// its result. Further calls have no effect.
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
		l.limit.observeLatency(now, now.Sub(p.grant.start))
	case Overloaded:
		l.limit.observeRefusal(now)
	case Abandoned:
	}
	l.inFlight = max(0, l.inFlight-p.grant.cost)
	l.dispatch(now)
}
