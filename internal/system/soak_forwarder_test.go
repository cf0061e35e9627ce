package system

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// disturbance is what a forwarder does to the data of its connections.
type disturbance struct {
	Delay  time.Duration // of every chunk
	Silent [2]bool       // holds back what goes to the server, and what comes from it
	Refuse bool          // new connections are reset
	Mute   bool          // open connections pass nothing any more, new ones do
}

// forwarder passes connections on to a server and disturbs them from outside of
// both programs. Data that is held back arrives later, as on a link that loses
// packets.
type forwarder struct {
	address ident.Address
	ctx     context.Context // ends with the run
	calls   sync.WaitGroup

	mu      sync.Mutex
	target  ident.Address
	now     disturbance
	changed chan struct{} // closed when now changes
	open    map[*passage]bool
}

// passage is one connection through a forwarder.
type passage struct {
	caller, server net.Conn
	muted          bool
}

// newForwarder forwards connections to an address until ctx ends.
func newForwarder(ctx context.Context, t *testing.T, address, target ident.Address) *forwarder {
	t.Helper()
	f := &forwarder{
		address: address,
		ctx:     ctx,
		target:  target,
		changed: make(chan struct{}),
		open:    make(map[*passage]bool),
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", string(address))
	if err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		f.reset()
	})
	f.calls.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.calls.Go(func() { f.forward(conn.(*net.TCPConn)) })
		}
	})
	return f
}

// disturb replaces what the forwarder does.
func (f *forwarder) disturb(d disturbance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = d
	if d.Mute {
		for p := range f.open {
			p.muted = true
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// reset resets all open connections.
func (f *forwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.open {
		p.end()
	}
}

// end resets both sides.
func (p *passage) end() {
	for _, conn := range []net.Conn{p.caller, p.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

func (f *forwarder) forward(caller *net.TCPConn) {
	f.mu.Lock()
	target, refuse := f.target, f.now.Refuse
	f.mu.Unlock()
	p := &passage{
		caller: caller,
	}
	if refuse {
		p.end()
		return
	}
	server, err := new(net.Dialer).DialContext(f.ctx, "tcp4", string(target))
	if err != nil {
		p.end() // nothing listens
		return
	}
	p.server = server
	f.mu.Lock()
	f.open[p] = true
	f.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.copy(p, 0, server, caller)
	}()
	f.copy(p, 1, caller, server)
	<-ended
	f.mu.Lock()
	delete(f.open, p)
	f.mu.Unlock()
}

// copy passes data on in one direction until a side closes.
func (f *forwarder) copy(p *passage, direction int, to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !f.hold(p, direction) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits while data is held back; it returns false at the end of the run.
func (f *forwarder) hold(p *passage, direction int) bool {
	for {
		f.mu.Lock()
		now, changed, muted := f.now, f.changed, p.muted
		f.mu.Unlock()
		if !now.Silent[direction] && !muted {
			return f.pause(now.Delay)
		}
		select {
		case <-changed:
		case <-f.ctx.Done():
			return false
		}
	}
}

func (f *forwarder) pause(d time.Duration) bool {
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
