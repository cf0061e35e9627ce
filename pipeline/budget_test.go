package pipeline_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// Guards against retries that multiply the load of a failing pool, and against a
// budget that permits none at low traffic.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		rate        int // first tries a second
		quiet       int // seconds at this rate without retries
		fail        int // seconds in which every first try fails
		least, most int // retries
	}{
		"high traffic":         {rate: 100, fail: 100, least: 1000, most: 1000 + 20 + 22},
		"after a quiet time":   {rate: 100, quiet: 3600, fail: 10, least: 100, most: 100 + 20 + 2},
		"low traffic":          {rate: 1, fail: 10, least: 2, most: 5},
		"first try fails":      {rate: 1, fail: 1, least: 1, most: 1},
		"failures for an hour": {rate: 1, fail: 3600, least: 360, most: 360 + 722},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1_000_000, 0)
			b := pipeline.NewBudget(func() time.Time { return now })
			retries := 0
			for second := range test.quiet + test.fail {
				for range test.rate {
					now = now.Add(time.Second / time.Duration(test.rate))
					b.First("rerank")
					if second >= test.quiet && b.Take("rerank") {
						retries++
					}
				}
			}
			t.Logf("%d retries for %d failed first tries", retries, test.rate*test.fail)
			c.Assert(retries >= test.least, qt.IsTrue)
			c.Assert(retries <= test.most, qt.IsTrue)
		})
	}
}

// Guards against losing budget to retries that were not sent.
func TestBudgetReturn(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	b := pipeline.NewBudget(func() time.Time { return now })
	for range 100 {
		c.Assert(b.Take("rerank"), qt.IsTrue)
		b.Return("rerank")
	}
}

// Guards against a slow stage that receives the retries earned by all stages.
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
	c.Assert(retries <= 102, qt.IsTrue, qt.Commentf("%d retries for 1000 first tries", retries))
}

func BenchmarkBudget(b *testing.B) {
	budget := pipeline.NewBudget(time.Now)
	for b.Loop() {
		budget.First("rerank")
		budget.Take("rerank")
	}
}
