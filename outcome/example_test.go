package outcome_test

import (
	"fmt"

	"github.com/nutmegshift/nutmegshift/outcome"
)

// Each outcome states whether the request ran.
func Example() {
	for _, result := range []outcome.Outcome{
		outcome.Answered{Status: 200, Body: []byte("entered")},
		outcome.Refused{Reason: outcome.Overload},
		outcome.Failed{Status: 502, Reason: outcome.UpstreamError},
		outcome.Unknown{Reason: outcome.ConnectionLost},
	} {
		switch result := result.(type) {
		case outcome.Answered:
			fmt.Println("complete response:", string(result.Body))
		case outcome.Refused:
			fmt.Println("did not run, may be retried:", result.Reason)
		case outcome.Failed:
			fmt.Println("ran and failed:", result.Reason)
		case outcome.Unknown:
			fmt.Println("may have run, never retried:", result.Reason)
		}
	}
	// Output:
	// complete response: entered
	// did not run, may be retried: overload
	// ran and failed: upstream_error
	// may have run, never retried: connection_lost
}
