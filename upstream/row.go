package upstream

import (
	"math"
	"time"
)

const (
	slowStart       = 10 * time.Second
	slowStartFloor  = 0.1
	latencyGain     = 0.2  // weight of a new sample in the latency estimate
	historySize     = 32   // ticks for which own in-flight counts are kept
	reportDecayMin  = 0.05 // seconds
	reportDecayMax  = 2.0  // seconds
	reportExpiry    = 10 * time.Second
	overloadHold    = 200 * time.Millisecond
	overloadHoldMax = 2 * time.Second
	// errorFactor multiplies the expected completion for each consecutive error.
	errorFactor = 4
	errorsMax   = 5
)

// row is one incarnation of one upstream in one pool.
type row struct {
	pool   *pool
	member Member
	hash   uint64
	state  State
	inUse  bool      // in the subset of this host
	place  int       // index of its failure domain in pool.domains
	local  bool      // in the failure domain of this host
	merge  uint64    // the last host list reading with the row
	listed time.Time // when that was
	ended  time.Time // when it became gone or leaving
	starts time.Time // begin of slow start; zero if there is none

	inFlight int
	history  [historySize]int32 // inFlight at the ticks of Table.ticks

	reported bool
	report   Load
	others   float64 // load of other hosts at the report's time
	own      float64 // in flight of this host at the report's time
	base     float64 // load of other hosts with nothing of this host in flight

	latency  float64 // seconds; 0 if not measured
	samples  int     // since the latency estimate was reset
	measured time.Time
	cut      float64 // seconds of the attempts cut off since the last answer

	errors   int // consecutive
	failedAt time.Time
	refuses  bool // the last failure was a connect

	overloads int // consecutive
	held      time.Time

	ejections int // consecutive
	ejected   time.Time
	retrial   time.Time // earliest trial
	trial     bool      // a trial is in flight

	cache cache
}

// open reports whether the row may receive work that is not a trial.
func (r *row) open() bool {
	return r.inUse && (r.state == StateLive || r.state == StateStarting)
}

// counted reports whether the row counts towards the size of its pool when the
// number of ejected rows is limited.
func (r *row) counted() bool {
	return r.inUse && (r.open() || r.state == StateEjected)
}

// suspect reports whether the row fails in succession.
func (r *row) suspect() bool { return r.errors >= ejectErrors }

func (r *row) weight(now time.Time) float64 {
	if r.state != StateStarting {
		return 1
	}
	return min(1, max(slowStartFloor, float64(now.Sub(r.starts))/float64(slowStart)))
}

// completion returns the expected completion time of one more attempt, in seconds.
func (r *row) completion(now time.Time) float64 {
	latency := r.latency
	if latency == 0 {
		latency = r.pool.median
	}
	load := float64(r.inFlight) + r.foreign()
	expected := latency * (load + 1) / (r.pool.load + 1) / r.weight(now)
	if r.errors > 0 {
		expected *= math.Pow(errorFactor, float64(min(r.errors, errorsMax)))
	}
	return expected
}

func (r *row) observe(now time.Time, latency time.Duration) {
	seconds := max(latency.Seconds(), 1e-6)
	r.samples++
	// The first samples count equally.
	r.latency += max(latencyGain, 1/float64(r.samples)) * (seconds - r.latency)
	r.measured = now
}

// list records that the host list has the row or a predecessor of it.
func (r *row) list(merge uint64, now time.Time) {
	r.merge = merge
	r.listed = now
}

func (r *row) fail(now time.Time) {
	r.errors++
	r.failedAt = now
}

func (r *row) end(now time.Time, state State) {
	r.state = state
	r.ended = now
	r.trial = false
}

// begin puts the row into slow start with nothing known of its latency.
func (r *row) begin(now time.Time) {
	r.state = StateStarting
	r.starts = now
	r.latency = 0
	r.samples = 0
	r.cut = 0
	r.errors = 0
}

// decay corrects the load of other hosts for the age of the report.
//
// Other hosts see the same reports and choose alike, so their load is taken to
// have changed since the report as this host's own has, times the pool's ratio
// of the two. Without this, hosts follow each other: in TestModelHerd with reports
// 500 ms old, the 95th percentile was 1.1 s instead of 0.62 s. An old report tends to the prior, the load expected without any
// report: towards 0, a row without news would look idle and attract the work of
// every host.
func (r *row) decay(now time.Time, prior float64) {
	trust := 0.0
	if r.reported {
		age := now.Sub(r.report.At)
		r.reported = age <= reportExpiry
		trust = r.pool.trust(age)
	}
	r.base = trust*(r.others-r.pool.ratio*r.own) + (1-trust)*prior
}

// foreign returns the estimated load of other hosts.
func (r *row) foreign() float64 {
	return max(0, r.base+r.pool.ratio*float64(r.inFlight))
}

// trust returns the weight of a load report of the given age. The load of an
// upstream turns over in about one latency, so an older report says little.
func (p *pool) trust(age time.Duration) float64 {
	decay := min(reportDecayMax, max(reportDecayMin, p.median))
	return math.Exp(-max(0, age.Seconds()) / decay)
}
