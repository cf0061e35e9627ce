package callerhttp

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/juju/errors"
)

const (
	// drainInterval is the time between two looks for connections that can be closed.
	drainInterval = 20 * time.Millisecond
	// quietTime is how long no byte has arrived on a connection before it is closed while
	// its listener drains. A caller that sends its requests one after another has sent
	// another one by then, and learns from the response that the connection ends.
	quietTime = 300 * time.Millisecond
)

// EndKeepAlive ends each connection after its next response, which says so.
func (l *Listener) EndKeepAlive() { l.ending.Store(true) }

// Drain stops accepting connections, and closes the open ones when they are between two
// requests: an arrived byte of a request keeps its connection open until the response. It
// returns nil when no connection is left, and otherwise the error of the context. The
// server goes on to serve and has to be closed afterwards. Its Shutdown method may not be
// called: it closes connections on which requests have arrived.
func (l *Listener) Drain(ctx context.Context) error {
	l.EndKeepAlive()
	if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Annotate(err, "close listener")
	}
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		if l.ended() && l.closeQuiet() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// ended reports whether no further connection can be added.
func (l *Listener) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// closeQuiet closes the connections that are between two requests, and returns the number of
// those that stay open.
func (l *Listener) closeQuiet() int {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	left := 0
	for _, c := range open {
		if !c.closeIfQuiet() {
			left++
		}
	}
	return left
}
