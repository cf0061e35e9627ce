package pipeline

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	estimateUnit    = 100 * time.Microsecond
	estimateLongest = 2 * time.Minute
	estimateDigits  = 2 // about 1% error and 20 KB a histogram
	// A stage has estimateWindows histograms; the oldest is dropped when the
	// newest has reached both its age and its samples, or its longest age.
	estimateWindows    = 3
	estimateAge        = 20 * time.Second
	estimateSamples    = 20
	estimateLongestAge = 5 * time.Minute
	// estimateFresh is how long quantiles are reused, as computing them takes
	// microseconds.
	estimateFresh = 250 * time.Millisecond
	// estimateStages bounds the stages; a change of the service document may
	// rename them without end.
	estimateStages = 64
)

// Estimate is what is known of the duration of a stage.
type Estimate struct {
	Median  time.Duration
	High    time.Duration // 95th percentile
	Samples int64
}

// Estimates learns the stage durations of one service from the most recent
// attempts. It is safe for concurrent use; one mutex guards its state. A nil
// Estimates learns nothing, so that no request is hedged or stopped early.
type Estimates struct {
	now func() time.Time

	mu     sync.Mutex
	stages map[ident.StageName]*stageEstimate
}

type stageEstimate struct {
	window  *hdrhistogram.WindowedHistogram
	rotated time.Time
	used    time.Time
	changed bool // since current was computed
	current Estimate
	at      time.Time // of current
}

// NewEstimates returns estimates that know no stage.
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
		if len(e.stages) >= estimateStages {
			e.forget()
		}
		s = &stageEstimate{
			window:  hdrhistogram.NewWindowed(estimateWindows, 1, int64(estimateLongest/estimateUnit), estimateDigits),
			rotated: now,
		}
		e.stages[stage] = s
	}
	s.used = now
	age := now.Sub(s.rotated)
	if age >= estimateAge && s.window.Current.TotalCount() >= estimateSamples || age >= estimateLongestAge {
		s.window.Rotate()
		s.rotated = now
	}
	// The value is within the histogram's range, so no error is possible.
	_ = s.window.Current.RecordValue(int64(min(estimateLongest, max(estimateUnit, duration)) / estimateUnit))
	s.changed = true
}

// forget removes the stage that has gone longest without a sample.
func (e *Estimates) forget() {
	var oldest ident.StageName
	var at time.Time
	for name, s := range e.stages {
		if at.IsZero() || s.used.Before(at) {
			oldest = name
			at = s.used
		}
	}
	delete(e.stages, oldest)
}

// Stage returns the estimate of a stage, the zero value if it is not known.
func (e *Estimates) Stage(stage ident.StageName) Estimate {
	if e == nil {
		return Estimate{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage(stage)
}

func (e *Estimates) stage(stage ident.StageName) Estimate {
	s := e.stages[stage]
	if s == nil {
		return Estimate{}
	}
	now := e.now()
	few := s.current.Samples < estimateSamples
	if s.changed && (few || now.Sub(s.at) >= estimateFresh) {
		merged := s.window.Merge()
		s.current = Estimate{
			Median:  time.Duration(merged.ValueAtQuantile(50)) * estimateUnit,
			High:    time.Duration(merged.ValueAtQuantile(95)) * estimateUnit,
			Samples: merged.TotalCount(),
		}
		s.at = now
		s.changed = false
	}
	return s.current
}

// Remaining returns the sum of the median durations of the stages. A stage that
// is not known counts as 0, so that no request is stopped without evidence.
func (e *Estimates) Remaining(stages []ident.StageName) time.Duration {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var total time.Duration
	for _, stage := range stages {
		total += e.stage(stage).Median
	}
	return total
}
