package upstream

import (
	"math"
	"time"
)

const (
	slowStart          = 10 * time.Second
	slowStartFloor     = 0.1
	latencyGain        = 0.2  // weight of a new sample in the latency estimate
	historySize        = 32   // ticks for which this host's in-flight counts are kept
	reportDecayMin     = 0.05 // bounds of the decay time of a load report, in seconds
	reportDecayMax     = 2.0
	reportExpiry       = 10 * time.Second
	overloadBackoff    = 200 * time.Millisecond
	overloadBackoffMax = 2 * time.Second
	// errorFactor multiplies the expected completion time for each consecutive
	// error, up to errorsMax errors.
	errorFactor = 4
	errorsMax   = 5
)

// row is one incarnation of one upstream in one pool.
type row struct {
	pool        *pool
	member      Member
	hash        uint64
	state       State
	inUse       bool      // in the subset of this host
	domainIndex int       // index of the failure domain in pool.domains
	local       bool      // in the failure domain of this host
	lastMerge   uint64    // Table.merges when the host list last contained the row
	listedAt    time.Time // time of that merge
	retiredAt   time.Time // when the state became gone or leaving
	slowStartAt time.Time // start of the last slow start; zero if there was none

	inFlight       int
	inFlightAtTick [historySize]int32 // inFlight at each tick in Table.tickTimes

	hasReport      bool // report has been received and has not expired
	report         Load
	othersAtReport float64 // load of other hosts at report.At
	ownAtReport    float64 // in-flight count of this host at report.At
	othersBase     float64 // estimated load of other hosts if this host had nothing in flight

	latency          float64 // estimate in seconds; 0 if not measured
	samples          int     // since the latency estimate was reset
	measuredAt       time.Time
	cancelledSeconds float64 // total time of the attempts cancelled since the last response

	errors        int // consecutive
	failedAt      time.Time
	connectFailed bool // the last failed attempt sent nothing

	overloads       int // consecutive
	overloadedUntil time.Time

	ejections     int // consecutive
	ejectedAt     time.Time
	nextTrial     time.Time // earliest time of the next trial
	trialInFlight bool

	cache cache
}

// available reports whether the row may receive work that is not a trial.
func (r *row) available() bool {
	return r.inUse && (r.state == StateLive || r.state == StateStarting)
}

// counted reports whether the row is part of the pool size against which the
// number of ejected rows is limited.
func (r *row) counted() bool {
	return r.inUse && (r.available() || r.state == StateEjected)
}

// failing reports whether the row has enough consecutive errors to be ejected.
func (r *row) failing() bool { return r.errors >= ejectErrors }

// slowStartWeight returns the share of its normal load that the row receives,
// which grows to 1 during slow start.
func (r *row) slowStartWeight(now time.Time) float64 {
	if r.state != StateStarting {
		return 1
	}
	return min(1, max(slowStartFloor, float64(now.Sub(r.slowStartAt))/float64(slowStart)))
}

// expectedCompletion returns the expected completion time of one more attempt, in
// seconds.
func (r *row) expectedCompletion(now time.Time) float64 {
	latency := r.latency
	if latency == 0 {
		latency = r.pool.medianLatency
	}
	load := float64(r.inFlight) + r.othersLoad()
	expected := latency * (load + 1) / (r.pool.meanLoad + 1) / r.slowStartWeight(now)
	if r.errors > 0 {
		expected *= math.Pow(errorFactor, float64(min(r.errors, errorsMax)))
	}
	return expected
}

func (r *row) recordLatency(now time.Time, latency time.Duration) {
	seconds := max(latency.Seconds(), 1e-6)
	r.samples++
	// The first samples count equally.
	r.latency += max(latencyGain, 1/float64(r.samples)) * (seconds - r.latency)
	r.measuredAt = now
}

// markListed records that the host list contains the row or a lower incarnation.
func (r *row) markListed(merge uint64, now time.Time) {
	r.lastMerge = merge
	r.listedAt = now
}

func (r *row) recordError(now time.Time) {
	r.errors++
	r.failedAt = now
}

// retire sets the state to leaving or gone, which ends new work for the row.
func (r *row) retire(now time.Time, state State) {
	r.state = state
	r.retiredAt = now
	r.trialInFlight = false
}

// beginSlowStart puts the row into slow start and resets its latency and errors.
func (r *row) beginSlowStart(now time.Time) {
	r.state = StateStarting
	r.slowStartAt = now
	r.latency = 0
	r.samples = 0
	r.cancelledSeconds = 0
	r.errors = 0
}

// decayReport corrects the load of other hosts for the age of the report.
//
// Other hosts see the same reports and choose by the same rules, so their load is
// assumed to have changed since the report as this host's own load has, times
// pool.othersRatio. Without this correction, hosts herd to the same upstreams: in
// TestModelHerd with reports 500 ms old, the 95th percentile was 1.1 s instead of
// 0.62 s. As a report ages, the estimate tends to the prior, which is the load
// expected without any report. If it tended to 0 instead, a row without recent
// reports would look idle and attract the work of every host.
func (r *row) decayReport(now time.Time, prior float64) {
	weight := 0.0
	if r.hasReport {
		age := now.Sub(r.report.At)
		r.hasReport = age <= reportExpiry
		weight = r.pool.reportWeight(age)
	}
	r.othersBase = weight*(r.othersAtReport-r.pool.othersRatio*r.ownAtReport) + (1-weight)*prior
}

// othersLoad returns the estimated load of other hosts.
func (r *row) othersLoad() float64 {
	return max(0, r.othersBase+r.pool.othersRatio*float64(r.inFlight))
}

// reportWeight returns the weight of a load report of the given age. The requests
// at an upstream are replaced within about one latency, so an older report says
// little about its present load.
func (p *pool) reportWeight(age time.Duration) float64 {
	decay := min(reportDecayMax, max(reportDecayMin, p.medianLatency))
	return math.Exp(-max(0, age.Seconds()) / decay)
}
