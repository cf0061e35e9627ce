package pipeline_test

import (
	"fmt"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// A budget limits the retries of a stage to a tenth of its first attempts.
func ExampleBudget() {
	now := time.Unix(1_800_000_000, 0)
	budget := pipeline.NewBudget(func() time.Time { return now })
	for range 35 {
		budget.First("rerank") // once for each request, before its first attempt
	}
	retries := 0
	for budget.Take("rerank") { // before each retry or hedged request
		retries++
	}
	fmt.Println("retries:", retries) // 3.5 earned by first attempts and 2 initially
	// Output:
	// retries: 5
}

// Estimates give the median time that the remaining stages of a request take.
func ExampleEstimates() {
	now := time.Unix(1_800_000_000, 0)
	estimates := pipeline.NewEstimates(func() time.Time { return now })
	for range 100 {
		estimates.Record("retrieve", 10*time.Millisecond) // after each completed attempt
		estimates.Record("generate", 200*time.Millisecond)
	}
	remaining := estimates.Remaining([]ident.StageName{"retrieve", "generate", "unknown"})
	fmt.Println("stop the request:", remaining > 150*time.Millisecond)
	fmt.Println("samples:", estimates.Stage("generate").Samples)
	// Output:
	// stop the request: true
	// samples: 100
}
