package deployment

import (
	"math"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

// Decider says who decides about the requests.
type Decider string

// The ways to batch.
const (
	ByCoordinator Decider = "coordinator" // one host for all
	ByHost        Decider = "host"        // each host for its own requests
)

// Affinity says which upstream a prompt is sent to.
type Affinity string

// The ways to place prompts.
const (
	Bounded  Affinity = "bounded" // that of its largest shared part, unless that has much more work
	Strict   Affinity = "strict"  // always that of its largest shared part
	Balanced Affinity = "none"    // the one with the least work
)

// Admission says which requests are refused at once.
type Admission string

// The ways to admit.
const (
	ByDelay Admission = "delay" // those whose stages would be delayed too much
	All     Admission = "none"  // none that can meet its deadline
)

// Policy is what the hosts decide by.
type Policy struct {
	Batching  Decider       `ini:"batching"`  // of the stages of requests
	Placement Decider       `ini:"placement"` // at engines
	Affinity  Affinity      `ini:"affinity"`
	Admission Admission     `ini:"admission"`
	Usual     float64       `ini:"usual"`  // share of the usual slack by which stages may be delayed
	Low       float64       `ini:"low"`    // the same for less urgent requests
	Return    time.Duration `ini:"return"` // when refused callers may come back; 0 is by the delay
}

// Pool is a service that runs stages.
type Pool struct {
	Name   string        `ini:"-"`
	Count  int           `ini:"count"` // upstreams
	Slots  int           `ini:"slots"`
	Queue  int           `ini:"queue"`
	Items  int           `ini:"items"` // most in a call
	Call   time.Duration `ini:"call"`
	Item   time.Duration `ini:"item"`
	Room   int64         `ini:"room"` // bytes
	Retain time.Duration `ini:"retain"`
}

// Limits returns what the scheduler knows of the pool.
func (p Pool) Limits() routes.Batch {
	return routes.Batch{
		Slots:     p.Slots,
		Queue:     p.Queue,
		Items:     p.Items,
		CallTime:  p.Call,
		ItemTime:  p.Item,
		Capacity:  p.Room,
		Retention: p.Retain,
	}
}

// Amount is a random number: its mean, the standard deviation of its logarithm and
// its largest value. With a mean alone it is always the same.
type Amount []float64

// Draw returns a value; normal is a number with the standard normal distribution.
func (a Amount) Draw(normal float64) float64 {
	if len(a) == 1 {
		return a[0]
	}
	value := a[0] * math.Exp(a[1]*normal-a[1]*a[1]/2)
	if len(a) > 2 {
		value = min(value, a[2])
	}
	return value
}

// Engines is a service of model engines.
type Engines struct {
	Name    string        `ini:"-"`
	Count   int           `ini:"count"`
	Batch   int           `ini:"batch"`
	Queue   int           `ini:"queue"`
	Memory  int           `ini:"memory"`  // tokens
	Step    time.Duration `ini:"step"`    // without requests
	Slot    time.Duration `ini:"slot"`    // that each request adds to a step
	Context time.Duration `ini:"context"` // that 1,000 tokens in memory add to a step
	Rate    float64       `ini:"rate"`    // prompt tokens that are read in a millisecond
	Pairs   time.Duration `ini:"pairs"`   // for a million pairs of a token and one before it
	First   time.Duration `ini:"first"`   // before the first token
	Chunk   int           `ini:"chunk"`   // most prompt tokens that are read in a step
	Stride  int           `ini:"stride"`  // tokens of an event
	Speeds  []float64     `ini:"speeds"`  // time of a step, as a multiple, by turns
}

// Stage is a stage of a kind of request.
type Stage struct {
	Pool   string  `ini:"pool"`
	After  []int   `ini:"after"`
	Pieces Amount  `ini:"pieces"`
	Share  float64 `ini:"share"` // of the requests that have the stage at all
	Bytes  int64   `ini:"bytes"` // of a result
	Work   float64 `ini:"work"`  // time of a piece, as a share of the pool's
}

// Kind is a kind of request.
type Kind struct {
	Name      string        `ini:"-"`
	Engines   string        `ini:"engines"`
	Rank      int           `ini:"rank"`
	Rate      float64       `ini:"rate"` // requests a second
	Objective time.Duration `ini:"objective"`
	Deadline  time.Duration `ini:"deadline"`
	Pause     time.Duration `ini:"pause"` // longest between events of an answer that is on time
	Worth     float64       `ini:"worth"`
	Late      float64       `ini:"late"`    // worth of a late answer
	Retries   int           `ini:"retries"` // by callers
	Resumes   bool          `ini:"resumes"` // a stream that breaks off goes on at another engine
	Input     Amount        `ini:"input"`   // tokens of the request itself
	Events    Amount        `ini:"events"`
	Shared    []int         `ini:"shared"` // tokens of the shared parts, in order
	Things    []int         `ini:"things"` // how many different ones there are of each
	Stages    []Stage       `ini:"-"`
}

// Burst multiplies the arrivals of a kind for a time.
type Burst struct {
	Kind   string        `ini:"kind"` // empty is all kinds
	From   time.Duration `ini:"from"`
	To     time.Duration `ini:"to"`
	Factor float64       `ini:"factor"`
}

// Fault makes some upstreams of a service slow, or loses them, for a time.
type Fault struct {
	Service string        `ini:"service"`
	Count   int           `ini:"count"` // the first ones
	From    time.Duration `ini:"from"`
	To      time.Duration `ini:"to"`
	Slow    float64       `ini:"slow"` // time of their work, as a multiple; 0 is none at all
}

// Freeze makes some hosts stand still for a time.
type Freeze struct {
	Hosts int           `ini:"hosts"` // the first ones
	From  time.Duration `ini:"from"`
	To    time.Duration `ini:"to"`
}

// Takeover replaces all coordinators by ones that know nothing.
type Takeover struct {
	At time.Duration `ini:"at"`
}

// Deployment is what a run plays.
type Deployment struct {
	Name      string        `ini:"-"`
	Hosts     int           `ini:"hosts"`
	Domains   int           `ini:"domains"`
	Length    time.Duration `ini:"length"`  // in which requests arrive
	Way       time.Duration `ini:"way"`     // one way between failure domains
	Callers   time.Duration `ini:"callers"` // one way between callers and hosts
	Loss      float64       `ini:"loss"`    // share of packets that are lost
	Delay     time.Duration `ini:"delay"`   // of an event on its way, by which a stream is late
	Policy    Policy        `ini:"-"`
	Pools     []Pool        `ini:"-"`
	Engines   []Engines     `ini:"-"`
	Kinds     []Kind        `ini:"-"`
	Bursts    []Burst       `ini:"-"`
	Faults    []Fault       `ini:"-"`
	Freezes   []Freeze      `ini:"-"`
	Takeovers []Takeover    `ini:"-"`
}
