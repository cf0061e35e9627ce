package logging

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// flushTimeout is how long Close waits for an output that blocks; it checks the output
	// at flushInterval.
	flushTimeout  = time.Second
	flushInterval = 100 * time.Microsecond
	// ringSize is the capacity of the ring buffer in lines.
	ringSize = 1024
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Log is a logger whose level and rate limit can be changed while it is in use. It is safe
// for concurrent use.
type Log struct {
	zerolog.Logger
	writer        diode.Writer
	output        *countedWriter
	queued        atomic.Int64 // lines passed to writer
	missed        atomic.Int64 // lines that writer has overwritten before they were written
	limit         atomic.Int64 // lines per second
	level         atomic.Int32
	currentSecond atomic.Int64 // Unix time that lineCount belongs to
	lineCount     atomic.Int64 // lines below warning level within currentSecond
	dropped       atomic.Int64
}

// New returns a logger that writes lines of the given level and above to out, up to the
// given number per second. The caller must call Close.
func New(out io.Writer, level zerolog.Level, lines int64) *Log {
	l := &Log{
		output: &countedWriter{
			Writer: out,
		},
	}
	l.writer = diode.NewWriter(l.output, ringSize, 0, func(missed int) {
		l.missed.Add(int64(missed))
		l.dropped.Add(int64(missed))
	})
	l.Set(level, lines)
	l.Logger = zerolog.New(queue{
		Log: l,
	}).With().Timestamp().Logger().Sample(l)
	return l
}

// queue counts the lines that are passed to the ring buffer.
type queue struct {
	*Log
}

// Write implements io.Writer.
func (q queue) Write(p []byte) (int, error) {
	q.queued.Add(1)
	return q.writer.Write(p)
}

// countedWriter counts the lines that have been written.
type countedWriter struct {
	io.Writer
	lines atomic.Int64
}

// Write implements io.Writer.
func (w *countedWriter) Write(p []byte) (int, error) {
	defer w.lines.Add(1)
	return w.Writer.Write(p)
}

// Set changes the lowest level that is logged and the limit of lines per second.
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
	if l.currentSecond.Swap(second) != second {
		l.lineCount.Store(0)
	}
	if l.lineCount.Add(1) > l.limit.Load() {
		l.dropped.Add(1)
		return false
	}
	return true
}

// Dropped returns the number of lines that were dropped since the start. Lines below the
// level do not count.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

// Report periodically logs the number of lines dropped since the last report, until ctx
// ends. It always returns nil.
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

// ErrBlocked means that the output has not taken the last lines in time.
const ErrBlocked = errors.ConstError("log output is blocked")

// Close writes the buffered lines and stops the logger. It waits for the lines itself, since
// the ring buffer may miss those that are queued while it is being closed. If the output
// blocks for flushTimeout, and then for as long again, it returns ErrBlocked: the process has
// to end although nobody reads its output.
func (l *Log) Close() error {
	deadline := time.Now().Add(flushTimeout)
	for l.output.lines.Load()+l.missed.Load() < l.queued.Load() && time.Now().Before(deadline) {
		time.Sleep(flushInterval)
	}
	closed := make(chan error, 1)
	go func() { closed <- l.writer.Close() }() // waits for the line that is being written
	select {
	case err := <-closed:
		return err
	case <-time.After(flushTimeout):
		return ErrBlocked
	}
}
