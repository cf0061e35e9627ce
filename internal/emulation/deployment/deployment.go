package deployment

import (
	"math"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

// Decider selects the processes that make a decision about requests.
type Decider string

// The deciders.
const (
	ByCoordinator Decider = "coordinator" // one coordinator decides for all hosts
	ByHost        Decider = "host"        // each host decides about its own requests
)

// Affinity selects the rule by which prompts are placed at engines.
type Affinity string

// The rules of placement.
const (
	Bounded  Affinity = "bounded" // the engine of the largest shared part, unless it has much more work than others
	Strict   Affinity = "strict"  // always the engine of the largest shared part
	Balanced Affinity = "none"    // the engine with the least work
)

// Admission selects the rule by which requests are refused on arrival.
type Admission string

// The rules of admission.
const (
	ByDelay Admission = "delay" // refuse requests whose stages would be delayed too much
	All     Admission = "none"  // refuse only requests that cannot meet their deadline
)

// Policy holds the policies of the hosts.
type Policy struct {
	Batching   Decider       `ini:"batching"`  // plans the batches of stages
	Placement  Decider       `ini:"placement"` // chooses the engines
	Affinity   Affinity      `ini:"affinity"`
	Admission  Admission     `ini:"admission"`
	Usual      float64       `ini:"usual"`  // batch.Policy.Usual: share of the average slack by which stages may be delayed
	Low        float64       `ini:"low"`    // batch.Policy.Low: the same for less urgent requests
	RetryAfter time.Duration `ini:"return"` // after which refused callers retry; 0 derives it from the delay of the stages
}

// Pool is a service whose upstreams run stages.
type Pool struct {
	Name      string        `ini:"-"`
	Count     int           `ini:"count"`  // upstreams
	Slots     int           `ini:"slots"`  // calls that an upstream runs at once
	Queue     int           `ini:"queue"`  // calls that wait at an upstream
	Items     int           `ini:"items"`  // maximum in a call
	CallTime  time.Duration `ini:"call"`   // fixed time of a call
	ItemTime  time.Duration `ini:"item"`   // added for each item
	Capacity  int64         `ini:"room"`   // bytes of results that an upstream holds
	Retention time.Duration `ini:"retain"` // after which results expire
}

// Limits returns the limits of the pool as the scheduler gets them.
func (p Pool) Limits() routes.Batch {
	return routes.Batch{
		Slots:     p.Slots,
		Queue:     p.Queue,
		Items:     p.Items,
		CallTime:  p.CallTime,
		ItemTime:  p.ItemTime,
		Capacity:  p.Capacity,
		Retention: p.Retention,
	}
}

// Distribution is a log-normal distribution: its mean, the standard deviation of the
// logarithm, and optionally a maximum. A mean alone stands for a constant.
type Distribution []float64

// Draw returns a value of the distribution for a value of the standard normal
// distribution.
func (d Distribution) Draw(normal float64) float64 {
	if len(d) == 1 {
		return d[0]
	}
	value := d[0] * math.Exp(d[1]*normal-d[1]*d[1]/2)
	if len(d) > 2 {
		value = min(value, d[2])
	}
	return value
}

// Engines is a service of model engines, as package engine emulates them.
type Engines struct {
	Name            string        `ini:"-"`
	Count           int           `ini:"count"`
	MaxRunning      int           `ini:"batch"`   // requests in the batch
	MaxWaiting      int           `ini:"queue"`   // requests in the queue
	Memory          int           `ini:"memory"`  // tokens in the KV cache
	StepTime        time.Duration `ini:"step"`    // duration of an empty step
	DecodeTime      time.Duration `ini:"slot"`    // added to a step by each request that generates a token
	ContextTime     time.Duration `ini:"context"` // added to a step by 1,000 tokens in the context of running requests
	ReadRate        float64       `ini:"rate"`    // prompt tokens that are read per millisecond
	PairTime        time.Duration `ini:"pairs"`   // attention time for a million pairs of a token that is read and an earlier one
	FirstEventDelay time.Duration `ini:"first"`   // between the first token and its event
	ChunkTokens     int           `ini:"chunk"`   // maximum of prompt tokens that are read in a step
	EventTokens     int           `ini:"stride"`  // tokens in an event after the first one
	TimeFactors     []float64     `ini:"speeds"`  // multiply the duration of each step; assigned to the engines in rotation
}

// Stage is a stage of a kind of request.
type Stage struct {
	Pool       string       `ini:"pool"`
	After      []int        `ini:"after"`  // numbers of the stages whose results it needs
	Pieces     Distribution `ini:"pieces"` // items of a request
	Share      float64      `ini:"share"`  // of the requests that have the stage
	Bytes      int64        `ini:"bytes"`  // size of a result
	WorkFactor float64      `ini:"work"`   // multiplies Pool.ItemTime
}

// Kind is a kind of request.
type Kind struct {
	Name           string        `ini:"-"`
	Engines        string        `ini:"engines"`
	Rank           int           `ini:"rank"`
	Rate           float64       `ini:"rate"`      // arrivals per second
	Objective      time.Duration `ini:"objective"` // maximum time to the first event of a response on time
	Deadline       time.Duration `ini:"deadline"`  // after which the caller cancels the request
	MaxPause       time.Duration `ini:"pause"`     // maximum between two events of a response on time
	Worth          float64       `ini:"worth"`     // of a response on time
	LateWorth      float64       `ini:"late"`      // of a late response
	Retries        int           `ini:"retries"`   // maximum, by the caller
	Resumes        bool          `ini:"resumes"`   // an interrupted stream resumes at another engine
	Input          Distribution  `ini:"input"`     // tokens of the part of the prompt that is not shared
	Events         Distribution  `ini:"events"`    // events of a response
	Shared         []int         `ini:"shared"`    // tokens of each shared part of the prompt, in order
	SharedVariants []int         `ini:"things"`    // number of variants of each shared part
	Stages         []Stage       `ini:"-"`
}

// Burst multiplies the rate of a kind between two times of the run.
type Burst struct {
	Kind   string        `ini:"kind"` // empty means all kinds
	From   time.Duration `ini:"from"`
	To     time.Duration `ini:"to"`
	Factor float64       `ini:"factor"`
}

// Fault makes the first upstreams of a service slow or unavailable between two times of
// the run.
type Fault struct {
	Service    string        `ini:"service"`
	Count      int           `ini:"count"` // affected upstreams
	From       time.Duration `ini:"from"`
	To         time.Duration `ini:"to"`
	TimeFactor float64       `ini:"slow"` // multiplies the time of their work; 0 makes them unavailable
}

// Freeze suspends the first hosts between two times of the run: what happens at them is
// delayed until the end.
type Freeze struct {
	Hosts int           `ini:"hosts"` // suspended hosts
	From  time.Duration `ini:"from"`
	To    time.Duration `ini:"to"`
}

// Takeover replaces all coordinators by new ones, which do not know the state of the
// upstreams.
type Takeover struct {
	At time.Duration `ini:"at"`
}

// Deployment describes a run: the hosts, upstreams and requests, and what happens to
// them. Times of the run count from its start.
type Deployment struct {
	Name          string        `ini:"-"`
	Hosts         int           `ini:"hosts"`
	Domains       int           `ini:"domains"`
	Length        time.Duration `ini:"length"`  // time during which requests arrive
	DomainLatency time.Duration `ini:"way"`     // one way between failure domains
	CallerLatency time.Duration `ini:"callers"` // one way between callers and hosts
	LossRate      float64       `ini:"loss"`    // share of packets that are lost
	MaxEventDelay time.Duration `ini:"delay"`   // from host to caller; a response with a slower event is late
	Policy        Policy        `ini:"-"`
	Pools         []Pool        `ini:"-"`
	Engines       []Engines     `ini:"-"`
	Kinds         []Kind        `ini:"-"`
	Bursts        []Burst       `ini:"-"`
	Faults        []Fault       `ini:"-"`
	Freezes       []Freeze      `ini:"-"`
	Takeovers     []Takeover    `ini:"-"`
}
