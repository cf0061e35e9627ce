package organisation

import (
	"math"
	"time"
)

const (
	minWindow        = 100 * time.Millisecond // shortest interval between changes of the limit
	minWindowSamples = 20                     // latencies that a window needs before the limit changes
	// minWindowRounds times the limit is enough samples where that is fewer than
	// minWindowSamples.
	minWindowRounds = 2
	maxWindow       = 2 * time.Second // after which a window ends with fewer samples
	// A window ends early after maxWindowRefusals: while most requests are refused
	// or late, too few complete to fill it.
	maxWindowRefusals = 4
	// A latency above congestedFactor times the baseline counts as congestion.
	congestedFactor = 1.75
	decreaseFactor  = 0.85 // of the limit under congestion
	// While the latency is below uncongestedFactor times the baseline, the limit
	// rises by the fraction growthFactor instead of by 1. With steps of 1 it took
	// over ten windows to recover from its lower bound.
	uncongestedFactor = 1.2
	growthFactor      = 0.25
	refusalFactor     = 0.7 // of the limit when upstreams refuse requests
	minUtilisation    = 0.8 // fraction of the limit that must be in use for it to rise
	// maxBaselineAge is how long a baseline is valid. While it is measured again,
	// the limit is multiplied by probeFactor for two windows: measured with a
	// standing queue, the new baseline would include the queueing delay.
	maxBaselineAge = 30 * time.Second
	probeFactor    = 0.5
	// baselineGain is the weight of a window whose latency is below the baseline,
	// so that a single fast window does not determine the baseline.
	baselineGain = 0.2
	// deviationMargin is the number of mean deviations that the expected service
	// time lies above the mean. With the mean alone, a quarter of the requests
	// admitted in TestGoodputAndRecovery at twice the capacity ended late.
	deviationMargin = 2
	serviceGain     = 0.1 // weight of a new sample in the mean service time and its deviation
)

// probe is the phase of a new measurement of the baseline.
type probe int

const (
	probeNone    probe = iota
	probeDrain         // requests that were admitted under the higher limit complete
	probeMeasure       // the latency of the current window becomes the baseline
)

// limit is an adaptive concurrency limit. It rises while the latency is near its
// baseline and falls by a factor under congestion.
type limit struct {
	value            float64   // cost that may be in flight, outside a probe
	least            float64   // lower bound of value
	most             float64   // upper bound of value
	baseline         float64   // seconds; 0 if not measured
	baselineTime     time.Time // of the last full measurement of the baseline
	probe            probe
	serviceTime      float64 // mean, seconds; 0 if not measured
	serviceDeviation float64 // mean absolute deviation from serviceTime, seconds

	windowStart  time.Time
	latencySum   float64 // seconds
	samples      int
	peakInFlight float64 // largest cost in flight in the window
	refusals     int
}

// current returns the limit in force, which is lower during a probe.
func (l *limit) current() float64 {
	if l.probe != probeNone {
		return max(l.least, l.value*probeFactor)
	}
	return l.value
}

func (l *limit) observeInFlight(inFlight float64) { l.peakInFlight = max(l.peakInFlight, inFlight) }

// expectedServiceTime returns the mean service time plus a margin for its
// deviation, in seconds.
func (l *limit) expectedServiceTime() float64 {
	return l.serviceTime + deviationMargin*l.serviceDeviation
}

func (l *limit) observeLatency(now time.Time, latency time.Duration) {
	seconds := max(latency.Seconds(), 1e-6)
	if l.serviceTime == 0 {
		l.serviceTime = seconds
	}
	l.serviceDeviation += serviceGain * (math.Abs(seconds-l.serviceTime) - l.serviceDeviation)
	l.serviceTime += serviceGain * (seconds - l.serviceTime)
	l.latencySum += seconds
	l.samples++
	l.adjust(now)
}

func (l *limit) observeRefusal(now time.Time) {
	l.refusals++
	l.adjust(now)
}

// adjust changes the limit if the current window is complete, and starts the next one.
func (l *limit) adjust(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
		l.baselineTime = now
	}
	age := now.Sub(l.windowStart)
	// Requests admitted before the window began do not reflect its limit, so a
	// window lasts at least one mean service time.
	minAge := max(minWindow, time.Duration(l.serviceTime*float64(time.Second)))
	minSamples := min(minWindowSamples, int(minWindowRounds*l.current()))
	if age < minAge || l.samples+l.refusals < minSamples && l.refusals < maxWindowRefusals && age < maxWindow {
		return
	}
	if l.samples > 0 {
		l.applyLatency(now, l.latencySum/float64(l.samples))
	}
	if l.refusals > 0 {
		l.value *= refusalFactor
	}
	l.value = min(l.most, max(l.least, l.value))
	l.windowStart = now
	l.latencySum = 0
	l.samples = 0
	l.peakInFlight = 0
	l.refusals = 0
}

// applyLatency updates the baseline and the limit from the mean latency of a
// window, in seconds.
func (l *limit) applyLatency(now time.Time, latency float64) {
	switch {
	case l.probe == probeDrain:
		l.probe = probeMeasure
		return
	case l.probe == probeMeasure:
		l.probe = probeNone
		l.baseline = latency
		l.baselineTime = now
		return
	case l.baseline == 0:
		l.baseline = latency
	case latency < l.baseline:
		l.baseline += baselineGain * (latency - l.baseline)
	case now.Sub(l.baselineTime) > maxBaselineAge:
		l.probe = probeDrain
		return
	}
	switch {
	case latency > congestedFactor*l.baseline && l.value <= l.least:
		// At its lower bound the limit cannot reduce the latency any further, so a
		// stage must have become slower.
		l.baseline = latency
		l.baselineTime = now
	case latency > congestedFactor*l.baseline:
		l.value *= decreaseFactor
	case l.peakInFlight < minUtilisation*l.value:
	case latency < uncongestedFactor*l.baseline:
		l.value += max(1, growthFactor*l.value)
	default:
		l.value++
	}
}
