package system

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin"
)

// link is the direction from one entry host to another.
type link struct {
	from, to int
}

// links forwards the connections between entry hosts, which know only the
// forwarding addresses. A cut link delivers nothing in either direction of its
// connections and closes none, like a network that drops packets; data in
// transit arrives once the link is restored. links is safe for concurrent use.
type links struct {
	t      *testing.T
	layout standin.Layout
	ctx    context.Context // ends with the test
	conns  sync.WaitGroup

	mu    sync.Mutex
	gates map[link]chan struct{} // closed while the link is open
	used  map[link]bool          // links that have delivered data
	pids  [entryHosts + 1]int    // processes of the entry hosts
}

// newLinks starts the forwarding, which ends with the test.
func newLinks(t *testing.T, l standin.Layout) *links {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	created := &links{
		t:      t,
		layout: l,
		ctx:    ctx,
		gates:  make(map[link]chan struct{}),
		used:   make(map[link]bool),
	}
	for from := 1; from <= entryHosts; from++ {
		for to := 1; to <= entryHosts; to++ {
			gate := make(chan struct{})
			close(gate)
			created.gates[link{from, to}] = gate
		}
	}
	t.Cleanup(created.conns.Wait)
	t.Cleanup(cancel)
	for to := 1; to <= entryHosts; to++ {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", string(created.address(to)))
		if err != nil {
			t.Fatal(err)
		}
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		created.conns.Go(func() { created.accept(listener, to) })
	}
	return created
}

// address returns the address at which the other entry hosts connect to entry
// host i.
func (l *links) address(i int) ident.Address {
	return ident.Address(fmt.Sprintf("127.%d.3.%d:8082", l.layout.Net, i))
}

// rewriteHostList puts the forwarding addresses into the host list in the settings
// of the stand-ins.
func (l *links) rewriteHostList(text string) string {
	for i := 1; i <= entryHosts; i++ {
		text = strings.Replace(text, "peer = "+string(l.layout.PeerAddress(i))+"\n", "peer = "+string(l.address(i))+"\n", 1)
	}
	return text
}

// setAdvertise makes entry host i advertise its forwarding address, since the
// address in gossip replaces the listed one.
func (l *links) setAdvertise(i int, text string) string {
	peers := "peers = " + string(l.layout.PeerAddress(i)) + "\n"
	return strings.Replace(text, peers, peers+"advertise = "+string(l.address(i))+"\n", 1)
}

// setPID records the process of entry host i.
func (l *links) setPID(i, pid int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pids[i] = pid
}

// cut cuts the links between two entry hosts in both directions.
func (l *links) cut(a, b int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range []link{{a, b}, {b, a}} {
		select {
		case <-l.gates[k]:
			l.gates[k] = make(chan struct{})
		default:
		}
	}
}

// cutAll cuts every link.
func (l *links) cutAll() {
	for a := 1; a <= entryHosts; a++ {
		for b := a + 1; b <= entryHosts; b++ {
			l.cut(a, b)
		}
	}
}

// isCut reports whether the link is cut.
func (l *links) isCut(from, to int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.gates[link{from, to}]:
		return false
	default:
		return true
	}
}

// restore restores every link.
func (l *links) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, gate := range l.gates {
		select {
		case <-gate:
		default:
			close(gate)
		}
	}
}

// waitOpen waits until the link is open. It returns false at the end of the test.
func (l *links) waitOpen(k link) bool {
	l.mu.Lock()
	gate := l.gates[k]
	l.mu.Unlock()
	select {
	case <-gate:
		return l.ctx.Err() == nil
	case <-l.ctx.Done():
		return false
	}
}

// markUsed records that a link has delivered data.
func (l *links) markUsed(k link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[k] = true
}

// allUsed reports whether every link has delivered data. From then on, calls
// between entry hosts find an established connection.
func (l *links) allUsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.used) == entryHosts*(entryHosts-1)
}

func (l *links) accept(listener net.Listener, to int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // closed at the end of the test
		}
		l.conns.Go(func() { l.forward(conn, to) })
	}
}

func (l *links) forward(caller net.Conn, to int) {
	defer func() { _ = caller.Close() }()
	from := l.callingHost(caller)
	if from == 0 {
		return // the process closed the connection or ended
	}
	k := link{from, to}
	if !l.waitOpen(k) {
		return
	}
	host, err := new(net.Dialer).DialContext(l.ctx, "tcp", string(l.layout.PeerAddress(to)))
	if err != nil {
		return
	}
	stop := context.AfterFunc(l.ctx, func() {
		_ = caller.Close()
		_ = host.Close()
	})
	defer stop()
	toServerDone := make(chan struct{})
	go l.copy(toServerDone, k, host, caller)
	l.copy(nil, k, caller, host)
	<-toServerDone
}

// copy forwards data until one side closes, and then closes both.
func (l *links) copy(done chan<- struct{}, k link, to, from net.Conn) {
	const size = 32 << 10
	buffer := make([]byte, size)
	for {
		n, err := from.Read(buffer)
		if !l.waitOpen(k) {
			break
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
			l.markUsed(k)
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	if done != nil {
		close(done)
	}
}

// callingHost returns the entry host whose process opened a connection, 0 if no
// process has it open any more. The source address does not identify the host,
// since all processes connect from 127.0.0.1.
func (l *links) callingHost(conn net.Conn) int {
	inode, err := socketInode(conn.RemoteAddr(), conn.LocalAddr())
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) {
			l.t.Errorf("find the socket of %s: %v", conn.RemoteAddr(), err)
		}
		return 0
	}
	l.mu.Lock()
	pids := l.pids
	l.mu.Unlock()
	return max(0, processWithSocket(inode, pids[:]))
}

// processWithSocket returns the index of the process that has a socket open; -1 if none has.
func processWithSocket(inode uint32, pids []int) int {
	file := fmt.Sprintf("socket:[%d]", inode)
	for i, pid := range pids {
		directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
		descriptors, err := os.ReadDir(directory)
		if pid == 0 || err != nil {
			continue // the process ended or has not started
		}
		for _, descriptor := range descriptors {
			if to, err := os.Readlink(filepath.Join(directory, descriptor.Name())); err == nil && to == file {
				return i
			}
		}
	}
	return -1
}
