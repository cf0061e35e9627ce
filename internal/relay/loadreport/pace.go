package loadreport

import (
	"math"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// paceWeight is the weight of a call in the moving averages of the duration of calls and
	// of the reported pace. Both have the same weight, so that they follow a lasting change
	// alike and a report that agrees with the learned pace changes nothing.
	paceWeight = 0.4
	// halfLife is the time in which a reported pace loses half of its weight. The pace
	// changes many times a second; a report that is two seconds old has a weight of 3%.
	halfLife = 400 * time.Millisecond
	// maxAge is the age from which a reported pace is not used.
	maxAge = 4 * time.Second
	// maxShift bounds the factor by which a report changes the learned pace: a false report
	// neither draws all calls to an upstream nor keeps them away from it.
	maxShift = 2.0
	// initialGain is the weight of the reports of an upstream before any call has shown
	// whether they foretell durations.
	initialGain = 0.5
	// gainStep is how far a call corrects the gain, as a part of the correction that would
	// have made its forecast right.
	gainStep = 0.1
	// gainNoise is the variance of the durations of calls around a right forecast, as
	// logarithms. Reports that deviate by less than its root hardly correct the gain.
	gainNoise = 0.01
)

// Forecast is the expected duration of calls at an upstream, with what it is based on.
type Forecast struct {
	Factor    float64       // expected duration as a multiple of the normal one
	Learned   float64       // moving average of the durations of calls as multiples of the normal one
	Reported  wire.Pace     // latest reported pace; 0 if there is none
	Age       time.Duration // of Reported
	Weight    float64       // of Reported, from 0 to 1, by its age and by how well earlier ones foretold
	deviation float64       // logarithm of Reported relative to the usual one, weighted by its age
}

// pace estimates how long work takes at an upstream, from the durations of calls and from
// reports. Only the deviation of a report from the usual one counts, so that an upstream
// whose reports are all too high or too low by the same factor is still foretold well.
type pace struct {
	learned  float64   // moving average of the durations of calls as multiples of the normal one
	reported wire.Pace // latest; 0 if there is none
	at       time.Time // of reported
	usual    float64   // moving average of the reported pace
	sum      float64   // of the paces reported since the end of the latest call
	count    int       // number of paces in sum
	gain     float64   // part of a report's deviation that calls have shown, from 0 to 1
}

// observe records a reported pace.
func (p *pace) observe(reported wire.Pace, at time.Time) {
	p.reported, p.at = reported, at
	p.sum += float64(reported)
	p.count++
}

// forecast returns the expected duration of a call that starts now.
func (p *pace) forecast(now time.Time) Forecast {
	f := Forecast{
		Factor:  p.learned,
		Learned: p.learned,
	}
	if p.reported == 0 || now.Sub(p.at) > maxAge {
		return f
	}
	f.Reported = p.reported
	f.Age = max(0, now.Sub(p.at))
	decay := math.Exp2(-float64(f.Age) / float64(halfLife))
	shift := math.Log(float64(p.reported) / p.usual)
	f.deviation = decay * min(max(shift, -math.Log(maxShift)), math.Log(maxShift))
	f.Weight = p.gain * decay
	f.Factor = min(max(p.learned*math.Exp(p.gain*f.deviation), minPace), maxPace)
	return f
}

// learn corrects the estimates by the duration of a call, as a multiple of the normal one.
// The forecast is the one at the start of the call.
func (p *pace) learn(took float64, at Forecast) {
	p.learned = min(p.learned+paceWeight*(took-p.learned), maxPace)
	if at.deviation != 0 && took > 0 && at.Learned > 0 {
		missing := math.Log(took/at.Learned) - p.gain*at.deviation
		p.gain += gainStep * at.deviation * missing / (at.deviation*at.deviation + gainNoise)
		p.gain = min(max(p.gain, 0), 1)
	}
	if p.count > 0 {
		p.usual += paceWeight * (p.sum/float64(p.count) - p.usual)
		p.sum, p.count = 0, 0
	}
}
