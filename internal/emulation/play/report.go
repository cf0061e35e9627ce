package play

import (
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/emulation/engine"
)

// Result counts the outcomes of the requests of a kind. Each request counts once, with
// all its attempts.
type Result struct {
	Kind            string
	Requests        int
	OnTime          int
	Late            int
	Refused         int             // refused at the last attempt
	Failed          int             // aborted, or not complete by the deadline
	EarnedWorth     float64         // of the responses
	MaxWorth        float64         // if all responses were on time
	FirstEventTimes []time.Duration // times to the first event
	Pauses          []time.Duration // longest pause between two events of each complete response
}

// WorthShare returns the share of MaxWorth that was earned; 0 if there were no requests.
func (r Result) WorthShare() float64 {
	if r.MaxWorth == 0 {
		return 0
	}
	return r.EarnedWorth / r.MaxWorth
}

// FirstEventTime returns the q-quantile of the times to the first event; 0 if there are
// none.
func (r Result) FirstEventTime(q float64) time.Duration { return quantile(r.FirstEventTimes, q) }

// Pause returns the q-quantile of the longest pauses of complete responses; 0 if there
// are none.
func (r Result) Pause(q float64) time.Duration { return quantile(r.Pauses, q) }

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (r *Result) add(other Result) {
	r.Requests += other.Requests
	r.OnTime += other.OnTime
	r.Late += other.Late
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.EarnedWorth += other.EarnedWorth
	r.MaxWorth += other.MaxWorth
	r.FirstEventTimes = append(r.FirstEventTimes, other.FirstEventTimes...)
	r.Pauses = append(r.Pauses, other.Pauses...)
}

// Second holds the counters of a second of a run.
type Second struct {
	Result          // of the requests that arrived in the second
	Waiting  int    // requests whose stages were not finished at its end
	Running  int    // requests at model engines at its end
	Refusals [2]int // refused attempts in the second: first attempts, and retries
}

// Report is the report of a run.
type Report struct {
	Kinds           []Result // in the order of the deployment
	Seconds         []Second
	Calls           int           // to upstreams of stages
	Items           int           // in these calls
	FullCalls       int           // calls that a full upstream refused
	StageTime       time.Duration // processing time of calls to upstreams of stages
	WastedStageTime time.Duration // of StageTime, for requests without a complete response
	Engines         engine.Counts // sum over all engines
}

// Total returns the sum of the results of all kinds, with the kind "all".
func (r Report) Total() Result {
	total := Result{
		Kind: "all",
	}
	for _, k := range r.Kinds {
		total.add(k)
	}
	return total
}

// Kind returns the result of a kind; it is zero if the kind is unknown.
func (r Report) Kind(name string) Result {
	for _, k := range r.Kinds {
		if k.Kind == name {
			return k
		}
	}
	return Result{}
}
