package logging

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// ringLines is how many lines may wait to be written.
	ringLines = 1024
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Log is a logger whose level and rate can be changed.
type Log struct {
	zerolog.Logger
	writer  diode.Writer
	limit   atomic.Int64 // lines a second
	level   atomic.Int32
	second  atomic.Int64 // that is being counted
	lines   atomic.Int64 // in that second
	dropped atomic.Int64
}

// New returns a logger that writes to out. Close ends it.
func New(out io.Writer, level zerolog.Level, lines int64) *Log {
	l := &Log{}
	l.writer = diode.NewWriter(out, ringLines, 0, func(missed int) {
		l.dropped.Add(int64(missed))
	})
	l.Set(level, lines)
	l.Logger = zerolog.New(l.writer).With().Timestamp().Logger().Sample(l)
	return l
}

// Set changes the lowest level that is logged and the lines a second.
func (l *Log) Set(level zerolog.Level, lines int64) {
	l.level.Store(int32(level))
	l.limit.Store(lines)
}

// Sample implements zerolog.Sampler.
func (l *Log) Sample(level zerolog.Level) bool {
	if level < zerolog.Level(l.level.Load()) {
		return false
	}
	if level >= zerolog.WarnLevel {
		return true
	}
	second := time.Now().Unix()
	if l.second.Swap(second) != second {
		l.lines.Store(0)
	}
	if l.lines.Add(1) > l.limit.Load() {
		l.dropped.Add(1)
		return false
	}
	return true
}

// Dropped returns the number of lines that were not written.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

// Report logs how many lines were dropped since the last report, until ctx ends.
func (l *Log) Report(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if dropped := l.Dropped(); dropped > reported {
				l.Warn().Int64("lines", dropped-reported).Msg("log: lines dropped")
				reported = dropped
			}
		}
	}
}

// Close writes the lines that wait.
func (l *Log) Close() error {
	return l.writer.Close()
}
