package system

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// listenTimeout is how long the port of a listener that has just been closed may stay in use: it is
// freed when the goroutine that accepts has returned.
const listenTimeout = time.Second

// linkFault is a fault that a forwarder applies to its connections.
type linkFault struct {
	Delay  time.Duration // added to every chunk of data
	Block  [2]bool       // holds back data, per direction: to the server, from the server
	Refuse bool          // refuses new connections, since nothing listens
	Mute   bool          // permanently holds back data on the connections that are open when it is set
}

// forwarder forwards connections to a server and injects faults from outside of the
// two programs. Data that Block holds back is delivered later, as on a link that loses
// packets.
type forwarder struct {
	address ident.Address
	t       *testing.T
	ctx     context.Context // ends with the run
	conns   sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	target   ident.Address
	fault    linkFault
	senders  map[int]linkFault // faults of the connections from single processes, by their ids
	changed  chan struct{}     // closed when a fault changes
	open     map[*forwardedConn]bool
}

// forwardedConn is a pair of connections, from a client and to the server.
type forwardedConn struct {
	client, server net.Conn
	muted          bool
	sender         int // id of the client's process; 0 until there are faults of single processes
}

// newForwarder forwards connections from address to target until ctx ends.
func newForwarder(ctx context.Context, t *testing.T, address, target ident.Address) *forwarder {
	t.Helper()
	f := &forwarder{
		address: address,
		t:       t,
		ctx:     ctx,
		target:  target,
		changed: make(chan struct{}),
		senders: make(map[int]linkFault),
		open:    make(map[*forwardedConn]bool),
	}
	f.setFault(linkFault{})
	context.AfterFunc(ctx, func() {
		f.setFault(linkFault{
			Refuse: true,
		})
		f.reset()
	})
	return f
}

// listen starts to accept connections. The caller holds the mutex.
func (f *forwarder) listen() {
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", string(f.address))
	for err != nil && ctx.Err() == nil {
		time.Sleep(pollInterval)
		listener, err = config.Listen(ctx, "tcp4", string(f.address))
	}
	if err != nil {
		f.t.Error(err)
		return
	}
	f.listener = listener
	f.conns.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.conns.Go(func() { f.forward(conn.(*net.TCPConn)) })
		}
	})
}

// setFault replaces the fault. Connections that a previous one muted stay muted.
func (f *forwarder) setFault(fault linkFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	switch {
	case fault.Refuse && f.listener != nil:
		_ = f.listener.Close()
		f.listener = nil
	case !fault.Refuse && f.listener == nil && f.ctx.Err() == nil:
		f.listen()
	}
	if fault.Mute {
		for c := range f.open {
			c.muted = true
		}
	}
	f.signalChange()
}

// setSenderFault replaces the fault of the connections that a process has opened.
func (f *forwarder) setSenderFault(pid int, fault linkFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.senders[pid] = fault
	f.signalChange()
}

// signalChange wakes those who wait for the end of a fault. The caller holds the mutex.
func (f *forwarder) signalChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// isBlocked reports whether data is held back in a direction, and returns the fault of all
// connections. The channel is closed when that may change.
func (f *forwarder) isBlocked(c *forwardedConn, direction int) (blocked bool, fault linkFault, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.senders) > 0 && c.sender == 0 {
		pids := slices.Collect(maps.Keys(f.senders))
		if inode, err := socketInode(c.client.RemoteAddr(), c.client.LocalAddr()); err == nil {
			if i := processWithSocket(inode, pids); i >= 0 {
				c.sender = pids[i]
			}
		}
	}
	return f.fault.Block[direction] || f.senders[c.sender].Block[direction] || c.muted, f.fault, f.changed
}

// reset resets all open connections.
func (f *forwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.open {
		c.reset()
	}
}

// reset resets both connections.
func (c *forwardedConn) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

func (f *forwarder) forward(client *net.TCPConn) {
	f.mu.Lock()
	target := f.target
	f.mu.Unlock()
	c := &forwardedConn{
		client: client,
	}
	server, err := new(net.Dialer).DialContext(f.ctx, "tcp4", string(target))
	if err != nil {
		c.reset() // no process listens on the target
		return
	}
	c.server = server
	f.mu.Lock()
	f.open[c] = true
	f.mu.Unlock()
	toServerDone := make(chan struct{})
	go func() {
		defer close(toServerDone)
		f.copy(c, 0, server, client)
	}()
	f.copy(c, 1, client, server)
	<-toServerDone
	f.mu.Lock()
	delete(f.open, c)
	f.mu.Unlock()
}

// copy forwards data in one direction, an index of linkFault.Block, until a side
// closes. It then closes both.
func (f *forwarder) copy(c *forwardedConn, direction int, to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !f.applyFault(c, direction) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyFault waits until data may be sent in a direction. It reports false at the end
// of the run.
func (f *forwarder) applyFault(c *forwardedConn, direction int) bool {
	for {
		blocked, fault, changed := f.isBlocked(c, direction)
		if !blocked {
			return f.sleep(fault.Delay)
		}
		select {
		case <-changed:
		case <-f.ctx.Done():
			return false
		}
	}
}

// sleep pauses for d. It reports false if the run ends before.
func (f *forwarder) sleep(d time.Duration) bool {
	if d == 0 {
		return f.ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-f.ctx.Done():
		return false
	}
}
