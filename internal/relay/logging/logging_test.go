package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/logging"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) lines() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), "\n")
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
}

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against log output that grows with the load, and against errors that are dropped
// by the rate limit.
func TestRate(t *testing.T) {
	c := qt.New(t)
	var out buffer
	log := logging.New(&out, zerolog.InfoLevel, 10)
	for range 1000 {
		log.Info().Msg("usual")
	}
	for range 5 {
		log.Error().Msg("error")
	}
	log.Debug().Msg("below the level")
	c.Assert(log.Close(), qt.IsNil)
	// A new second may have begun during the loop, in which the limit applies anew.
	c.Check(out.lines() >= 15 && out.lines() <= 25, qt.IsTrue, qt.Commentf("%d lines", out.lines()))
	c.Check(log.Dropped(), qt.Equals, int64(1005-out.lines()))
}

// Guards against lines that are lost if the log is closed right after they were written,
// such as the reason why a process ends.
func TestCloseWritesAll(t *testing.T) {
	for range 1_000 {
		var out buffer
		log := logging.New(&out, zerolog.InfoLevel, 10)
		log.Info().Msg("last")
		qt.Assert(t, log.Close(), qt.IsNil)
		qt.Assert(t, out.lines(), qt.Equals, 1)
	}
}

// Guards against requests that block because the log output blocks.
func TestNeverBlocks(t *testing.T) {
	c := qt.New(t)
	out := blockedWriter{
		release: make(chan struct{}),
	}
	log := logging.New(out, zerolog.InfoLevel, 1_000_000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100_000 {
			log.Info().Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		c.Fatal("logging blocks while its output blocks")
	}
	close(out.release)
	c.Assert(log.Close(), qt.IsNil)
}

// Guards against a process that does not end after a signal because nobody reads its output.
func TestCloseWhileOutputBlocks(t *testing.T) {
	c := qt.New(t)
	out := blockedWriter{
		release: make(chan struct{}),
	}
	defer close(out.release)
	log := logging.New(out, zerolog.InfoLevel, 10)
	log.Info().Msg("line")
	closed := make(chan error, 1)
	go func() { closed <- log.Close() }()
	select {
	case err := <-closed:
		c.Check(err, qt.ErrorIs, logging.ErrBlocked)
	case <-time.After(5 * time.Second):
		c.Fatal("log does not close")
	}
}

// Guards against a change of the level that has no effect until a restart.
func TestSet(t *testing.T) {
	c := qt.New(t)
	var out buffer
	log := logging.New(&out, zerolog.ErrorLevel, 100)
	log.Info().Msg("below")
	log.Set(zerolog.DebugLevel, 100)
	log.Debug().Msg("above")
	c.Assert(log.Close(), qt.IsNil)
	c.Check(out.lines(), qt.Equals, 1)
}
