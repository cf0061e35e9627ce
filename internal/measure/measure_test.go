package measure

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// Guards against a baseline that reacts to failures in its selection or makes more
// than baselineAttempts attempts.
func TestRoundRobin(t *testing.T) {
	c := qt.New(t)
	pool := document.PoolRef{
		Service: "nutmeg-pool",
		Pool:    "engines",
	}
	var members []upstream.Member
	for _, name := range []ident.UpstreamID{"e0", "e1"} {
		members = append(members, upstream.Member{
			Pool:     pool,
			Upstream: name,
			Domain:   ident.FailureDomain("of " + name),
		})
	}
	s := newRoundRobin("of e0", members)
	query := upstream.Query{
		Pool: pool,
	}
	for i := range 6 {
		lease, err := s.Choose(time.Now(), query)
		c.Assert(err, qt.IsNil)
		c.Assert(lease.Upstream, qt.Equals, members[i%2].Upstream)
		c.Assert(lease.Cross, qt.Equals, i%2 == 1)
		s.Done(lease, upstream.Report{
			Result: upstream.Lost{},
		})
	}
	query.Exclude = []ident.UpstreamID{"e0", "e1", "e0"}
	_, err := s.Choose(time.Now(), query)
	c.Assert(errors.Is(err, upstream.ErrNoUpstream), qt.IsTrue)
}

// Guards against a baseline that rejects requests or exhausts its retry budget.
func TestBaselineLimits(t *testing.T) {
	c := qt.New(t)
	limits := baselineLimits()
	for range 5000 {
		_, err := limits.Limiter.Acquire(context.Background(), "one", 1, time.Now().Add(time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(limits.Budget.Take("rerank"), qt.IsTrue)
	}
	c.Assert(limits.Estimates.Remaining([]ident.StageName{"rerank"}), qt.Equals, time.Duration(0))
}

// Guards against a baseline in which lost connections lead to quarantine.
func TestLostAsBadGateway(t *testing.T) {
	c := qt.New(t)
	var status pipeline.StatusError
	c.Assert(errors.As(lostAsBadGateway(fmt.Errorf("call: %w", pipeline.ErrLost)), &status), qt.IsTrue)
	c.Assert(lostAsBadGateway(pipeline.ErrNotSent), qt.Equals, error(pipeline.ErrNotSent))
	c.Assert(lostAsBadGateway(nil), qt.IsNil)
}

// Guards against faults that match no upstream or start after the end of the run,
// and against scenarios without variants, without capacity or with long runs.
func TestScenarios(t *testing.T) {
	for name, d := range Deployments() {
		for _, s := range Scenarios() {
			t.Run(name+" "+s.Name, func(t *testing.T) {
				c := qt.New(t)
				settings, err := s.upstreams(d, 90)
				c.Assert(err, qt.IsNil)
				c.Assert(capacity(settings) > 0, qt.IsTrue)
				c.Assert(len(s.variants(d)) >= 2, qt.IsTrue)
				c.Assert(time.Duration(len(s.variants(d)))*s.duration <= 20*time.Second, qt.IsTrue)
				if s.faults == nil {
					return
				}
				for _, f := range s.faults(d.Deployment) {
					c.Assert(f.at < s.duration, qt.IsTrue)
					c.Assert(countMatches(f, settings) > 0, qt.IsTrue)
				}
			})
		}
	}
}

func countMatches(f faultInjection, settings []standin.Upstream) int {
	n := 0
	for i, u := range settings {
		if f.matches(i, u) {
			n++
		}
	}
	return n
}
