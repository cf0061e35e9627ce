package pipeline_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// near returns a function that reports whether a duration is within 10% of want.
func near(want time.Duration) func(time.Duration) bool {
	return func(got time.Duration) bool {
		return got > want*9/10 && got < want*11/10
	}
}

// Guards against estimates that are wrong, that do not follow a change of the
// durations, or that are lost while there is no traffic.
func TestEstimates(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000_000, 0)
	e := pipeline.NewEstimates(func() time.Time { return now })
	record := func(d, base time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			e.Record("rerank", base/2+time.Duration(random.Float64()*float64(base)))
		}
	}
	c.Assert(e.Stage("rerank"), qt.Equals, pipeline.Estimate{})
	record(time.Minute, 200*time.Millisecond)
	c.Assert(e.Stage("rerank").Median, qt.Satisfies, near(200*time.Millisecond))
	c.Assert(e.Stage("rerank").High, qt.Satisfies, near(290*time.Millisecond))
	now = now.Add(time.Hour)
	c.Assert(e.Stage("rerank").Median, qt.Satisfies, near(200*time.Millisecond))
	record(time.Minute, 2*time.Second)
	c.Assert(e.Stage("rerank").Median, qt.Satisfies, near(2*time.Second))
	c.Assert(e.Remaining([]ident.StageName{"rerank", "unknown", "rerank"}), qt.Satisfies, near(4*time.Second))
}

// Guards against the loss of durations outside the range of the histogram.
func TestEstimateExtremes(t *testing.T) {
	tests := map[string]struct{ record, want time.Duration }{
		"negative": {record: -time.Second, want: 100 * time.Microsecond},
		"zero":     {record: 0, want: 100 * time.Microsecond},
		"an hour":  {record: time.Hour, want: 2 * time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := pipeline.NewEstimates(time.Now)
			e.Record("encode", test.record)
			c.Assert(e.Stage("encode").Median, qt.Satisfies, near(test.want))
		})
	}
}

// Guards against memory that grows with every new stage name: only the 64 stages
// recorded last are kept.
func TestEstimatesAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	e := pipeline.NewEstimates(func() time.Time { return now })
	known := 0
	name := func(i int) ident.StageName { return ident.StageName(fmt.Sprint(i)) }
	for i := range 1000 {
		now = now.Add(time.Second)
		e.Record(name(i), time.Second)
	}
	for i := range 1000 {
		if e.Stage(name(i)).Samples > 0 {
			known++
		}
	}
	c.Assert(known, qt.Equals, 64)
	c.Assert(e.Stage(name(999)).Samples, qt.Equals, int64(1))
}

func BenchmarkEstimatesRecord(b *testing.B) {
	e := pipeline.NewEstimates(time.Now)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		e.Record("generate", time.Duration(i%5000)*time.Millisecond)
	}
}

func BenchmarkEstimatesRemaining(b *testing.B) {
	e := pipeline.NewEstimates(time.Now)
	stages := []ident.StageName{"encode", "retrieve", "rerank", "generate"}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		e.Record(stages[i%4], time.Duration(i%5000)*time.Millisecond)
		e.Remaining(stages)
	}
}
