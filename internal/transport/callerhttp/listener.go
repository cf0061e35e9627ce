package callerhttp

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
)

// stallTime is how long a caller may send nothing of a body, or read nothing of its
// response, before its connection may be closed in favour of a new one.
const stallTime = time.Second

// minBodyRate is the rate in bytes a second below which a body arrives slowly. The connection
// of such a caller may be closed in favour of a new one, as if nothing arrived.
const minBodyRate = 4 << 10

const (
	// connectionBytes is the memory of a connection without its messages: the stack of
	// its goroutine, and the buffers for reading and writing.
	connectionBytes = 32 << 10
	// connectionShare is the part of the memory of a host that callers' connections may
	// take, and descriptorShare the part of its descriptors. The rest of the descriptors is
	// for upstreams, other hosts and the store.
	connectionShare = 1.0 / 8
	descriptorShare = 1.0 / 2
)

// MaxConnections returns the number of connections that callers may have open at a host
// with the given bytes of memory and number of descriptors.
func MaxConnections(memory, descriptors float64) int {
	return max(1, int(min(connectionShare*memory/connectionBytes, descriptorShare*descriptors)))
}

// Limits bound what the connections of a listener take. The zero value has no limits.
type Limits struct {
	Connections int            // open at the same time; 0 means no limit
	Memory      *memory.Budget // of headers; nil means no limit
	Counts      *Counts        // may be nil
}

// Counts counts the connections and messages that have met a limit, and the connections
// that were closed before all bytes from the caller were read.
type Counts struct {
	Evicted atomic.Uint64 // connections closed in favour of new ones
	Refused atomic.Uint64 // connections closed when they were accepted
	Headers atomic.Uint64 // messages rejected because there was no memory for their header
	Unread  atomic.Uint64 // connections closed although bytes had arrived that were not read
}

// Listen wraps a listener so that the messages on its connections are checked, and its
// connections limited. At the limit, a new connection replaces the one that has waited for
// its caller for the longest time, also for a body that arrives slowly; if requests are in progress or have arrived on all of
// them, it is closed.
func Listen(inner net.Listener, limits Limits) *Listener {
	if limits.Counts == nil {
		limits.Counts = new(Counts)
	}
	return &Listener{
		Listener: inner,
		limits:   limits,
		open:     make(map[*connection]bool),
	}
}

// Listener accepts connections whose messages are checked. It is safe for concurrent use.
type Listener struct {
	net.Listener
	limits Limits
	ending atomic.Bool // connections end after their next response
	// Unix nanoseconds until which connections are accepted while the listener drains; 0
	// before.
	acceptUntil atomic.Int64

	mu     sync.Mutex
	open   map[*connection]bool
	closed bool // Accept has returned because the listener is closed
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.accept()
		if err != nil {
			l.noteClosed(err)
			return nil, err
		}
		c, err := l.newConnection(accepted)
		if err != nil {
			_ = accepted.Close()
			return nil, err
		}
		if l.add(c) {
			return c, nil
		}
		l.limits.Counts.Refused.Add(1)
		_ = accepted.Close()
	}
}

func (l *Listener) newConnection(accepted net.Conn) (*connection, error) {
	socket, err := newSocket(accepted)
	if err != nil {
		return nil, err
	}
	c := &connection{
		socket:   socket,
		listener: l,
	}
	c.unused.Store(time.Now().UnixNano())
	if l.limits.Memory != nil {
		c.header.lease = l.limits.Memory.Lease(memory.Callers)
	}
	c.reader = newFramingReader(readerFunc(c.receive), c.rejected.Store, func(bytes, fields int) bool {
		if c.header.reserve(bytes, fields) {
			return true
		}
		l.limits.Counts.Headers.Add(1)
		return false
	})
	return c, nil
}

// noteClosed records that no connection is accepted any more, if that is what the error of
// Accept means.
func (l *Listener) noteClosed(err error) {
	if !errors.Is(err, net.ErrClosed) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// add adds a connection. At the limit, it evicts another one; if there is none that can be
// evicted, it returns false.
func (l *Listener) add(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.Connections > 0 && len(l.open) >= l.limits.Connections && !l.evict() {
		return false
	}
	l.open[c] = true
	return true
}

func (l *Listener) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// evict closes the connection that has waited for its caller for the longest time, and on
// which nothing has arrived. It returns false if there is none. The caller holds the mutex.
func (l *Listener) evict() bool {
	now := time.Now()
	waiting := make([]candidate, 0, len(l.open))
	for c := range l.open {
		if since := c.waitsSince(now); since != 0 {
			waiting = append(waiting, candidate{
				connection: c,
				since:      since,
			})
		}
	}
	slices.SortFunc(waiting, func(a, b candidate) int { return cmp.Compare(a.since, b.since) })
	for _, c := range waiting {
		if c.evict(now) {
			delete(l.open, c.connection)
			l.limits.Counts.Evicted.Add(1)
			return true
		}
	}
	return false
}

// candidate is a connection that may be evicted.
type candidate struct {
	*connection
	since int64 // Unix nanoseconds since when it waits for its caller
}
