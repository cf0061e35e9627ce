package pipeline

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	estimateUnit        = 100 * time.Microsecond // resolution of the histograms
	estimateMaxDuration = 2 * time.Minute        // longer durations are recorded as this value
	estimateDigits      = 2                      // significant digits: about 1% error and 20 KB per histogram
	// Each stage has estimateWindows histograms. The oldest is dropped when the
	// newest is estimateMinAge old and has estimateMinSamples samples, or when it
	// is estimateMaxAge old.
	estimateWindows    = 3
	estimateMinAge     = 20 * time.Second
	estimateMinSamples = 20
	estimateMaxAge     = 5 * time.Minute
	// estimateCacheTTL is how long computed quantiles are reused, since computing
	// them takes microseconds.
	estimateCacheTTL = 250 * time.Millisecond
	// maxStages bounds the stages held by a Budget or an Estimates, because
	// changes of the service document can rename stages any number of times.
	maxStages = 64
)

// Estimate is the estimated duration of a stage. It is the zero value for a stage
// without samples.
type Estimate struct {
	Median  time.Duration
	High    time.Duration // 95th percentile
	Samples int64         // number of recorded durations that the quantiles are computed from
}

// Estimates estimates the stage durations of one service from recent attempts. It
// is safe for concurrent use. A nil *Estimates records nothing and knows no stage,
// so that no request is hedged or stopped early.
type Estimates struct {
	now func() time.Time

	mu     sync.Mutex
	stages map[ident.StageName]*stageEstimate
}

type stageEstimate struct {
	histogram    *hdrhistogram.WindowedHistogram
	lastRotation time.Time
	lastRecord   time.Time // of the last sample
	stale        bool      // a sample was recorded after current was computed
	current      Estimate
	computed     time.Time // when current was computed
}

// NewEstimates returns an Estimates without samples. It reads the time from now.
func NewEstimates(now func() time.Time) *Estimates {
	return &Estimates{
		now:    now,
		stages: make(map[ident.StageName]*stageEstimate),
	}
}

// Record adds the duration of one completed attempt at the stage.
func (e *Estimates) Record(stage ident.StageName, duration time.Duration) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	s := e.stages[stage]
	if s == nil {
		if len(e.stages) >= maxStages {
			e.evictOldest()
		}
		s = &stageEstimate{
			histogram:    hdrhistogram.NewWindowed(estimateWindows, 1, int64(estimateMaxDuration/estimateUnit), estimateDigits),
			lastRotation: now,
		}
		e.stages[stage] = s
	}
	s.lastRecord = now
	age := now.Sub(s.lastRotation)
	if age >= estimateMinAge && s.histogram.Current.TotalCount() >= estimateMinSamples || age >= estimateMaxAge {
		s.histogram.Rotate()
		s.lastRotation = now
	}
	// The value is within the histogram's range, so no error is possible.
	_ = s.histogram.Current.RecordValue(int64(min(estimateMaxDuration, max(estimateUnit, duration)) / estimateUnit))
	s.stale = true
}

// evictOldest removes the stage that has been without a new sample for longest.
// The caller holds e.mu.
func (e *Estimates) evictOldest() {
	var oldest ident.StageName
	var at time.Time
	for name, s := range e.stages {
		if at.IsZero() || s.lastRecord.Before(at) {
			oldest = name
			at = s.lastRecord
		}
	}
	delete(e.stages, oldest)
}

// Stage returns the estimate of a stage, or the zero Estimate if none of its
// attempts was recorded.
func (e *Estimates) Stage(stage ident.StageName) Estimate {
	if e == nil {
		return Estimate{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate(stage)
}

// estimate returns the estimate of a stage, which may be up to estimateCacheTTL
// old if it has at least estimateMinSamples samples. The caller holds e.mu.
func (e *Estimates) estimate(stage ident.StageName) Estimate {
	s := e.stages[stage]
	if s == nil {
		return Estimate{}
	}
	now := e.now()
	fewSamples := s.current.Samples < estimateMinSamples
	if s.stale && (fewSamples || now.Sub(s.computed) >= estimateCacheTTL) {
		merged := s.histogram.Merge()
		s.current = Estimate{
			Median:  time.Duration(merged.ValueAtQuantile(50)) * estimateUnit,
			High:    time.Duration(merged.ValueAtQuantile(95)) * estimateUnit,
			Samples: merged.TotalCount(),
		}
		s.computed = now
		s.stale = false
	}
	return s.current
}

// Remaining returns the sum of the median durations of the stages. A stage without
// samples counts as 0, so that no request is stopped without evidence.
func (e *Estimates) Remaining(stages []ident.StageName) time.Duration {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var total time.Duration
	for _, stage := range stages {
		total += e.estimate(stage).Median
	}
	return total
}
