package measure

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/entry"
	"github.com/nutmegshift/nutmegshift/organisation"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// baselineAttempts is the maximum number of attempts that the baseline makes at
// one stage.
const baselineAttempts = 3

// roundRobin selects the upstreams of a pool in turn and ignores the results of
// attempts.
type roundRobin struct {
	domain ident.FailureDomain

	mu        sync.Mutex
	pools     map[document.PoolRef][]upstream.Member
	nextIndex map[document.PoolRef]int
}

var _ pipeline.Selector = (*roundRobin)(nil)

func newRoundRobin(domain ident.FailureDomain, members []upstream.Member) *roundRobin {
	s := &roundRobin{
		domain:    domain,
		pools:     make(map[document.PoolRef][]upstream.Member),
		nextIndex: make(map[document.PoolRef]int),
	}
	for _, m := range members {
		s.pools[m.Pool] = append(s.pools[m.Pool], m)
	}
	return s
}

// Choose implements pipeline.Selector. The length of query.Exclude is the number
// of attempts so far, because each attempt adds its upstream.
func (s *roundRobin) Choose(_ time.Time, query upstream.Query) (upstream.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := s.pools[query.Pool]
	if len(members) == 0 || len(query.Exclude) >= baselineAttempts {
		return upstream.Lease{}, upstream.ErrNoUpstream
	}
	m := members[s.nextIndex[query.Pool]%len(members)]
	s.nextIndex[query.Pool]++
	return upstream.Lease{
		Pool:        m.Pool,
		Upstream:    m.Upstream,
		Incarnation: m.Incarnation,
		Address:     m.Address,
		Domain:      m.Domain,
		Cross:       m.Domain != s.domain,
	}, nil
}

// Done implements pipeline.Selector.
func (s *roundRobin) Done(upstream.Lease, upstream.Report) {}

// baselineLimits returns limits that admit every request and permit every retry,
// whatever the results.
func baselineLimits() entry.Limits {
	start := time.Now()
	var mu sync.Mutex
	refill := start
	return entry.Limits{
		// With a constant clock the limiter measures no latency, so it neither
		// lowers its limit nor rejects a request because of its deadline.
		Limiter: organisation.New(organisation.Config{
			Now:     func() time.Time { return start },
			Initial: 1 << 20,
			Least:   1 << 20,
			Most:    1 << 20,
		}),
		// The clock advances an hour at each use, which refills the budget's floor.
		Budget: pipeline.NewBudget(func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			refill = refill.Add(time.Hour)
			return refill
		}),
	}
}

// badGatewayTransport reports a lost connection as status 502, so that the
// attempt is retried without quarantine.
type badGatewayTransport struct {
	pipeline.Transport
}

// Call implements pipeline.Transport.
func (t badGatewayTransport) Call(ctx context.Context, to ident.Address, c pipeline.Call) (pipeline.Reply, error) {
	reply, err := t.Transport.Call(ctx, to, c)
	return reply, lostAsBadGateway(err)
}

// Generate implements pipeline.Transport.
func (t badGatewayTransport) Generate(ctx context.Context, to ident.Address, g pipeline.Generation) (pipeline.Tokens, error) {
	tokens, err := t.Transport.Generate(ctx, to, g)
	if err != nil {
		return nil, lostAsBadGateway(err)
	}
	return badGatewayTokens{
		Tokens: tokens,
	}, nil
}

type badGatewayTokens struct {
	pipeline.Tokens
}

// Next implements pipeline.Tokens.
func (t badGatewayTokens) Next() (pipeline.Token, error) {
	token, err := t.Tokens.Next()
	return token, lostAsBadGateway(err)
}

func lostAsBadGateway(err error) error {
	if errors.Is(err, pipeline.ErrLost) {
		return pipeline.StatusError{
			Status: http.StatusBadGateway,
		}
	}
	return err
}
