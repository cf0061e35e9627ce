package loadreport_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// upstream is an upstream whose pace changes in steps.
type upstream struct {
	source *rand.Rand
	step   time.Duration                            // time between two changes
	keep   float64                                  // part of the logarithm of the pace that a step keeps
	spread float64                                  // standard deviation of the logarithm of the pace
	usual  float64                                  // pace around which it varies
	level  float64                                  // logarithm of the pace relative to usual
	ran    time.Duration                            // so far
	report func(pace float64, r *rand.Rand) float64 // what it reports
}

func (u *upstream) pace() float64 { return u.usual * math.Exp(u.level) }

// run lets the upstream work, or stay idle with no work, and returns how long that took.
func (u *upstream) run(work, idle time.Duration) time.Duration {
	const tick = time.Millisecond
	took := time.Duration(0)
	for left := float64(work); left > 0 || took < idle; took += tick {
		left -= float64(tick) / u.pace()
		if u.ran += tick; u.ran%u.step == 0 {
			u.level = u.keep*u.level + math.Sqrt(1-u.keep*u.keep)*u.spread*u.source.NormFloat64()
		}
	}
	return took
}

// Guards against forecasts that reports make worse than the durations of earlier calls
// alone, whatever an upstream reports, and against reports that foretell and are not used.
func TestForecast(t *testing.T) {
	truth := func(pace float64, _ *rand.Rand) float64 { return 100 * pace }
	tests := map[string]struct {
		upstream
		gap   time.Duration // between two calls
		worst float64       // highest error relative to that without reports
	}{
		"changes every 2 s":              {upstream: upstream{step: 2 * time.Second, spread: 0.5, report: truth}, worst: 0.8},
		"changes several times a second": {upstream: upstream{step: ms(150), keep: 0.7, spread: 0.5, report: truth}, worst: 0.95},
		"changes at random every 150 ms": {upstream: upstream{step: ms(150), spread: 0.5, report: truth}, worst: 1.03},
		"idle between calls":             {upstream: upstream{step: ms(150), keep: 0.7, spread: 0.5, report: truth}, gap: 2 * time.Second, worst: 1.03},
		"always slow":                    {upstream: upstream{step: time.Hour, usual: 3, report: truth}, worst: 1},
		"reports twice its pace":         {upstream: upstream{step: 2 * time.Second, spread: 0.5, report: func(pace float64, _ *rand.Rand) float64 { return 200 * pace }}, worst: 0.8},
		"always reports 25":              {upstream: upstream{step: ms(150), spread: 0.2, report: func(float64, *rand.Rand) float64 { return 25 }}, worst: 1.05},
		"reports at random":              {upstream: upstream{step: ms(150), spread: 0.2, report: func(_ float64, r *rand.Rand) float64 { return 25 + 775*r.Float64() }}, worst: 1.1},
		"reports the opposite":           {upstream: upstream{step: ms(600), spread: 0.5, report: func(pace float64, _ *rand.Rand) float64 { return 100 / pace }}, worst: 1.05},
		"reports nothing plausible":      {upstream: upstream{step: ms(150), spread: 0.2, report: func(_ float64, r *rand.Rand) float64 { return 1e4 * r.Float64() }}, worst: 1.1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			const normal, calls = 300 * time.Millisecond, 400
			u := test.upstream
			u.source, u.usual = rand.New(rand.NewPCG(1, 2)), max(u.usual, 1)
			record, now := loadreport.New(), start
			failed, without := 0.0, 0.0
			for range calls {
				forecast := record.Forecast(now)
				took := u.run(normal, 0)
				now = now.Add(took)
				factor := float64(took) / float64(normal)
				failed += math.Abs(math.Log(factor / forecast.Factor))
				without += math.Abs(math.Log(factor / forecast.Learned))
				c.Assert(forecast.Factor <= 2*forecast.Learned+1e-9 && forecast.Factor >= forecast.Learned/2-1e-9, qt.IsTrue)
				reported := load(1, 0)
				reported.Pace = wire.Pace(u.report(u.pace(), u.source) / 100)
				record.Observe(loadreport.Report{Load: reported, Source: loadreport.Completed, At: now}, loadreport.Usage{}, limits)
				record.Learn(factor, forecast)
				now = now.Add(u.run(0, test.gap))
			}
			c.Check(failed <= test.worst*without, qt.IsTrue, qt.Commentf("error %.3f, without reports %.3f", failed/calls, without/calls))
		})
	}
}
