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

// baselineAttempts bounds the attempts of the baseline at one stage.
const baselineAttempts = 3

// roundRobin takes the upstreams of a pool in turn and learns nothing.
type roundRobin struct {
	domain ident.FailureDomain

	mu    sync.Mutex
	pools map[document.PoolRef][]upstream.Member
	next  map[document.PoolRef]int
}

var _ pipeline.Selector = (*roundRobin)(nil)

func newRoundRobin(domain ident.FailureDomain, members []upstream.Member) *roundRobin {
	s := &roundRobin{
		domain: domain,
		pools:  make(map[document.PoolRef][]upstream.Member),
		next:   make(map[document.PoolRef]int),
	}
	for _, m := range members {
		s.pools[m.Pool] = append(s.pools[m.Pool], m)
	}
	return s
}

// Choose implements pipeline.Selector. The query excludes one upstream for each
// attempt so far.
func (s *roundRobin) Choose(_ time.Time, query upstream.Query) (upstream.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := s.pools[query.Pool]
	if len(members) == 0 || len(query.Exclude) >= baselineAttempts {
		return upstream.Lease{}, upstream.ErrNoUpstream
	}
	m := members[s.next[query.Pool]%len(members)]
	s.next[query.Pool]++
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

// baselineLimits admit every request, pay for every retry and learn nothing.
func baselineLimits() entry.Limits {
	start := time.Now()
	var mu sync.Mutex
	refill := start
	return entry.Limits{
		// With a clock that stands still the limiter measures no latency, so it
		// neither lowers its limit nor refuses a request for its deadline.
		Limiter: organisation.New(organisation.Config{
			Now:     func() time.Time { return start },
			Initial: 1 << 20,
			Least:   1 << 20,
			Most:    1 << 20,
		}),
		// An hour between two uses refills the budget's floor.
		Budget: pipeline.NewBudget(func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			refill = refill.Add(time.Hour)
			return refill
		}),
	}
}

// plainFailures turns lost connections into error statuses, which are retried
// without quarantine.
type plainFailures struct {
	pipeline.Transport
}

// Call implements pipeline.Transport.
func (t plainFailures) Call(ctx context.Context, to ident.Address, c pipeline.Call) (pipeline.Reply, error) {
	reply, err := t.Transport.Call(ctx, to, c)
	return reply, plainFailure(err)
}

// Generate implements pipeline.Transport.
func (t plainFailures) Generate(ctx context.Context, to ident.Address, g pipeline.Generation) (pipeline.Tokens, error) {
	tokens, err := t.Transport.Generate(ctx, to, g)
	if err != nil {
		return nil, plainFailure(err)
	}
	return plainTokens{
		Tokens: tokens,
	}, nil
}

type plainTokens struct {
	pipeline.Tokens
}

// Next implements pipeline.Tokens.
func (t plainTokens) Next() (pipeline.Token, error) {
	token, err := t.Tokens.Next()
	return token, plainFailure(err)
}

func plainFailure(err error) error {
	if errors.Is(err, pipeline.ErrLost) {
		return pipeline.StatusError{
			Status: http.StatusBadGateway,
		}
	}
	return err
}
