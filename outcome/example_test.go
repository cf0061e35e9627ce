package outcome_test

import (
	"fmt"

	"github.com/nutmegshift/nutmegshift/outcome"
)

// A caller is told whether its request ran, for each end of a request.
func Example() {
	for _, ended := range []outcome.Outcome{
		outcome.Answered{Status: 200, Body: []byte("entered")},
		outcome.Refused{Reason: outcome.Overload},
		outcome.Failed{Status: 502, Reason: outcome.UpstreamError},
		outcome.Unknown{Reason: outcome.ConnectionLost},
	} {
		switch ended := ended.(type) {
		case outcome.Answered:
			fmt.Println("complete answer:", string(ended.Body))
		case outcome.Refused:
			fmt.Println("did not run, may be repeated:", ended.Reason)
		case outcome.Failed:
			fmt.Println("ran and failed:", ended.Reason)
		case outcome.Unknown:
			fmt.Println("may have run, never repeated:", ended.Reason)
		}
	}
	// Output:
	// complete answer: entered
	// did not run, may be repeated: overload
	// ran and failed: upstream_error
	// may have run, never repeated: connection_lost
}
