package pipeline_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// Guards against retries that multiply the load on a failing pool, and against a
// budget that permits no retries at low traffic.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		rate                   int // first attempts per second
		healthy                int // seconds without failures, before those of fail
		fail                   int // seconds in which every first attempt fails
		minRetries, maxRetries int
	}{
		"high traffic":                   {rate: 100, fail: 100, minRetries: 1000, maxRetries: 1000 + 20 + 22},
		"after an hour without failures": {rate: 100, healthy: 3600, fail: 10, minRetries: 100, maxRetries: 100 + 20 + 2},
		"low traffic":                    {rate: 1, fail: 10, minRetries: 2, maxRetries: 5},
		"single failure":                 {rate: 1, fail: 1, minRetries: 1, maxRetries: 1},
		"failures for an hour":           {rate: 1, fail: 3600, minRetries: 360, maxRetries: 360 + 722},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1_000_000, 0)
			b := pipeline.NewBudget(func() time.Time { return now })
			retries := 0
			for second := range test.healthy + test.fail {
				for range test.rate {
					now = now.Add(time.Second / time.Duration(test.rate))
					b.First("rerank")
					if second >= test.healthy && b.Take("rerank") {
						retries++
					}
				}
			}
			t.Logf("%d retries for %d failed first attempts", retries, test.rate*test.fail)
			c.Assert(retries >= test.minRetries, qt.IsTrue)
			c.Assert(retries <= test.maxRetries, qt.IsTrue)
		})
	}
}

// Guards against a budget that is used up by retries that were not sent.
func TestBudgetReturn(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	b := pipeline.NewBudget(func() time.Time { return now })
	for range 100 {
		c.Assert(b.Take("rerank"), qt.IsTrue)
		b.Return("rerank")
	}
}

// Guards against a budget shared by all stages, of which a slow stage would take the
// retries that the other stages earned.
func TestBudgetOfStage(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	b := pipeline.NewBudget(func() time.Time { return now })
	retries := 0
	for range 1000 {
		for _, stage := range []ident.StageName{"encode", "retrieve", "rerank"} {
			b.First(stage)
		}
		if b.Take("rerank") {
			retries++
		}
	}
	c.Assert(retries >= 100, qt.IsTrue)
	c.Assert(retries <= 102, qt.IsTrue, qt.Commentf("%d retries for 1000 first attempts", retries))
}

func BenchmarkBudget(b *testing.B) {
	budget := pipeline.NewBudget(time.Now)
	for b.Loop() {
		budget.First("rerank")
		budget.Take("rerank")
	}
}
