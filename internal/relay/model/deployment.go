package model

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

// Pool is a service that runs stages.
type Pool struct {
	Service   ident.ServiceName
	Upstreams int
	Limits    routes.Batch
}

// Stage is a stage of a kind of request.
type Stage struct {
	Service ident.ServiceName
	After   []int
	Pieces  float64 // mean number of pieces
	Fixed   bool    // every request has exactly that number
	Share   float64 // of the requests that have the stage at all; 0 is all of them
	Bytes   int64
	Work    float64 // time of an item, as a share of the service's; 0 is 1
}

// Kind is a kind of request.
type Kind struct {
	Name      string
	Rank      batch.Rank
	Rate      float64 // requests a second
	Objective time.Duration
	Deadline  time.Duration
	Generate  time.Duration // mean time from the last stage to the first event
	Worth     float64       // of an answer that is on time
	Late      float64       // of a late answer
	Stages    []Stage
}

// Burst multiplies the arrivals of a kind for a time.
type Burst struct {
	Kind   string // empty: all kinds
	From   time.Duration
	To     time.Duration
	Factor float64
}

// Fault makes some upstreams of a service slow, or loses them, for a time.
type Fault struct {
	Service   ident.ServiceName
	Upstreams int // the first ones
	From      time.Duration
	To        time.Duration
	Slow      float64 // time of a call, as a multiple; 0 is an upstream that does not answer
}

// Freeze makes a share of the hosts that forward requests stand still for a time:
// they send nothing to the model engines meanwhile.
type Freeze struct {
	Share float64 // of the requests
	From  time.Duration
	To    time.Duration
}

// Deployment is what a run plays.
type Deployment struct {
	Domains      int
	Pools        []Pool
	Kinds        []Kind
	Bursts       []Burst
	Faults       []Fault
	Freezes      []Freeze
	Takeovers    []time.Duration // when all coordinators are replaced by ones that know nothing
	Length       time.Duration
	Coordinators int // that batch against each other; 0 is 1
}

// Result is what a run gave for one kind.
type Result struct {
	Kind    string
	Asked   int
	OnTime  int
	Late    int
	Refused int // at once
	Failed  int // after it was accepted
	Earned  float64
	Owed    float64
}

// Share returns the part of the worth that was earned.
func (r Result) Share() float64 {
	if r.Owed == 0 {
		return 0
	}
	return r.Earned / r.Owed
}

// Report is what a run gave.
type Report struct {
	Kinds    []Result // in the order of the deployment
	Calls    int
	Items    int
	Rejected int           // calls that found their upstream full
	Busy     time.Duration // of all upstreams
	Wasted   time.Duration // of items whose results were not used
}

// Total adds the kinds up.
func (r Report) Total() Result {
	total := Result{
		Kind: "all",
	}
	for _, k := range r.Kinds {
		total.Asked += k.Asked
		total.OnTime += k.OnTime
		total.Late += k.Late
		total.Refused += k.Refused
		total.Failed += k.Failed
		total.Earned += k.Earned
		total.Owed += k.Owed
	}
	return total
}

// Kind returns the result of a kind.
func (r Report) Kind(name string) Result {
	for _, k := range r.Kinds {
		if k.Kind == name {
			return k
		}
	}
	return Result{}
}
