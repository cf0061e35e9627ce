package organisation

import (
	"math"
	"time"
)

const (
	window        = 100 * time.Millisecond // shortest interval between changes of the limit
	windowSamples = 20                     // fewest latencies that a change rests on
	windowRounds  = 2                      // of the limit suffice if they are fewer
	windowLongest = 2 * time.Second        // after which fewer will do
	// windowRefusals end a window early: while most requests are refused or late,
	// too few complete to fill it.
	windowRefusals = 4
	// tolerance is the factor over the baseline latency that counts as congestion.
	tolerance = 1.75
	decrease  = 0.85
	// Below uncongested times the baseline the limit rises by the factor growth instead
	// of 1: from its least value it took over ten windows to recover.
	uncongested = 1.2
	growth      = 0.25
	refused     = 0.7 // factor when upstreams refuse work
	usedPart    = 0.8 // of the limit that must be in use for it to rise
	// baselineAge is how long a baseline holds. Its renewal lowers the limit by
	// probePart for two windows, as otherwise a baseline measured under a standing
	// queue would raise the next one.
	baselineAge = 30 * time.Second
	probePart   = 0.5
	// baselineGain is the weight of a window below the baseline, so that one fast
	// window does not set it.
	baselineGain = 0.2
	// deviations is how many mean deviations above the mean count as service time.
	// With the mean alone, a quarter of the requests admitted in
	// TestGoodputAndRecovery at twice the capacity ended late.
	deviations  = 2
	serviceGain = 0.1 // weight of a new sample in the expected service time
)

// probe is the state of the renewal of the baseline.
type probe int

const (
	probeNone    probe = iota
	probeDrain         // requests from before the lower limit still end
	probeMeasure       // the next window is the baseline
)

// limit is the adaptive concurrency limit: additive increase while latency stays
// near its baseline, multiplicative decrease above.
type limit struct {
	value     float64
	least     float64
	most      float64
	baseline  float64 // seconds; 0 if not measured
	renewed   time.Time
	probe     probe
	service   float64 // expected latency of a request, seconds; 0 if not measured
	deviation float64 // mean absolute deviation from service, seconds

	start   time.Time // of the window
	sum     float64
	samples int
	peak    float64 // largest cost in flight
	refused int
}

// current returns the limit now, which is lower during a probe.
func (l *limit) current() float64 {
	if l.probe != probeNone {
		return max(l.least, l.value*probePart)
	}
	return l.value
}

func (l *limit) used(inFlight float64) { l.peak = max(l.peak, inFlight) }

// expected returns the time that a request is expected to run, in seconds.
func (l *limit) expected() float64 { return l.service + deviations*l.deviation }

func (l *limit) observe(now time.Time, latency time.Duration) {
	seconds := max(latency.Seconds(), 1e-6)
	if l.service == 0 {
		l.service = seconds
	}
	l.deviation += serviceGain * (math.Abs(seconds-l.service) - l.deviation)
	l.service += serviceGain * (seconds - l.service)
	l.sum += seconds
	l.samples++
	l.adjust(now)
}

func (l *limit) refuse(now time.Time) {
	l.refused++
	l.adjust(now)
}

// adjust changes the limit at the end of a window.
func (l *limit) adjust(now time.Time) {
	if l.start.IsZero() {
		l.start = now
		l.renewed = now
	}
	age := now.Sub(l.start)
	// Requests that started before the window say nothing about a new limit.
	shortest := max(window, time.Duration(l.service*float64(time.Second)))
	samples := min(windowSamples, int(windowRounds*l.current()))
	if age < shortest || l.samples+l.refused < samples && l.refused < windowRefusals && age < windowLongest {
		return
	}
	if l.samples > 0 {
		l.learn(now, l.sum/float64(l.samples))
	}
	if l.refused > 0 {
		l.value *= refused
	}
	l.value = min(l.most, max(l.least, l.value))
	l.start = now
	l.sum = 0
	l.samples = 0
	l.peak = 0
	l.refused = 0
}

func (l *limit) learn(now time.Time, latency float64) {
	switch {
	case l.probe == probeDrain:
		l.probe = probeMeasure
		return
	case l.probe == probeMeasure:
		l.probe = probeNone
		l.baseline = latency
		l.renewed = now
		return
	case l.baseline == 0:
		l.baseline = latency
	case latency < l.baseline:
		l.baseline += baselineGain * (latency - l.baseline)
	case now.Sub(l.renewed) > baselineAge:
		l.probe = probeDrain
		return
	}
	switch {
	case latency > tolerance*l.baseline && l.value <= l.least:
		// Less work of this host did not help, so a stage has become slower.
		l.baseline = latency
		l.renewed = now
	case latency > tolerance*l.baseline:
		l.value *= decrease
	case l.peak < usedPart*l.value:
	case latency < uncongested*l.baseline:
		l.value += max(1, growth*l.value)
	default:
		l.value++
	}
}
