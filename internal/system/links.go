package system

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin"
)

// link is the calls of one entry host to another.
type link struct {
	from, to int
}

// links forwards the connections between entry hosts, which know only the
// forwarding addresses. A cut link holds everything back in both directions of
// its connections and closes none, as a network that drops packets; data that
// was on the way arrives once the link is restored.
type links struct {
	t      *testing.T
	layout standin.Layout
	ctx    context.Context // ends with the test
	calls  sync.WaitGroup

	mu   sync.Mutex
	open map[link]chan struct{} // closed while the link passes data
	used map[link]bool          // has passed data
	pids [entries + 1]int
}

// newLinks starts the forwarding; it ends with the test.
func newLinks(t *testing.T, l standin.Layout) *links {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	made := &links{
		t:      t,
		layout: l,
		ctx:    ctx,
		open:   make(map[link]chan struct{}),
		used:   make(map[link]bool),
	}
	for from := 1; from <= entries; from++ {
		for to := 1; to <= entries; to++ {
			gate := make(chan struct{})
			close(gate)
			made.open[link{from, to}] = gate
		}
	}
	t.Cleanup(made.calls.Wait)
	t.Cleanup(cancel)
	for to := 1; to <= entries; to++ {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", string(made.address(to)))
		if err != nil {
			t.Fatal(err)
		}
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		made.calls.Go(func() { made.accept(listener, to) })
	}
	return made
}

// address is where others connect to entry host i.
func (l *links) address(i int) ident.Address {
	return ident.Address(fmt.Sprintf("127.%d.3.%d:8082", l.layout.Net, i))
}

// list puts the forwarding addresses into the host list of the stand-ins.
func (l *links) list(text string) string {
	for i := 1; i <= entries; i++ {
		text = strings.Replace(text, "peer = "+string(l.layout.PeerAddress(i))+"\n", "peer = "+string(l.address(i))+"\n", 1)
	}
	return text
}

// advertise puts the forwarding address into the settings of entry host i, since
// gossip carries the address of a host and replaces the listed one.
func (l *links) advertise(i int, text string) string {
	peers := "peers = " + string(l.layout.PeerAddress(i)) + "\n"
	return strings.Replace(text, peers, peers+"advertise = "+string(l.address(i))+"\n", 1)
}

// started records the process of entry host i.
func (l *links) started(i, pid int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pids[i] = pid
}

// cut cuts the links between two entry hosts, both ways.
func (l *links) cut(a, b int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range []link{{a, b}, {b, a}} {
		select {
		case <-l.open[k]:
			l.open[k] = make(chan struct{})
		default:
		}
	}
}

// cutAll cuts every link.
func (l *links) cutAll() {
	for a := 1; a <= entries; a++ {
		for b := a + 1; b <= entries; b++ {
			l.cut(a, b)
		}
	}
}

// isCut reports whether the link is cut.
func (l *links) isCut(from, to int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open[link{from, to}]:
		return false
	default:
		return true
	}
}

// restore restores every link.
func (l *links) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, gate := range l.open {
		select {
		case <-gate:
		default:
			close(gate)
		}
	}
}

// wait returns once the link passes data, and false at the end of the test.
func (l *links) wait(k link) bool {
	l.mu.Lock()
	gate := l.open[k]
	l.mu.Unlock()
	select {
	case <-gate:
		return l.ctx.Err() == nil
	case <-l.ctx.Done():
		return false
	}
}

// pass records that a link has passed data.
func (l *links) pass(k link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[k] = true
}

// connected reports whether every link has been used, so that calls do not
// have to connect first.
func (l *links) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.used) == entries*(entries-1)
}

func (l *links) accept(listener net.Listener, to int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // closed at the end of the test
		}
		l.calls.Go(func() { l.forward(conn, to) })
	}
}

func (l *links) forward(caller net.Conn, to int) {
	defer func() { _ = caller.Close() }()
	from := l.caller(caller)
	if from == 0 {
		return // the process has closed the connection or has ended
	}
	k := link{from, to}
	if !l.wait(k) {
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
	ends := make(chan struct{})
	go l.copy(ends, k, host, caller)
	l.copy(nil, k, caller, host)
	<-ends
}

// copy passes data on until a side closes, and then closes both.
func (l *links) copy(ended chan<- struct{}, k link, to, from net.Conn) {
	const size = 32 << 10
	buffer := make([]byte, size)
	for {
		n, err := from.Read(buffer)
		if !l.wait(k) {
			break
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				break
			}
			l.pass(k)
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	if ended != nil {
		close(ended)
	}
}

// caller returns the entry host whose process opened a connection, 0 if none
// holds it any more. The source address does not tell, since all processes
// connect from 127.0.0.1.
func (l *links) caller(conn net.Conn) int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		l.t.Errorf("read connections: %v", err)
		return 0
	}
	const localField, remoteField, inodeField = 1, 2, 9
	local, remote := kernelAddress(conn.RemoteAddr()), kernelAddress(conn.LocalAddr())
	inode := ""
	for at := bytes.Index(table, []byte(local)); at >= 0; {
		line, rest, _ := bytes.Cut(table[bytes.LastIndexByte(table[:at], '\n')+1:], []byte("\n"))
		table = rest
		at = bytes.Index(table, []byte(local))
		fields := strings.Fields(string(line))
		if len(fields) > inodeField && fields[localField] == local && fields[remoteField] == remote && fields[inodeField] != "0" {
			inode = fields[inodeField]
		}
	}
	l.mu.Lock()
	pids := l.pids
	l.mu.Unlock()
	for i := 1; i <= entries && inode != ""; i++ {
		directory := filepath.Join("/proc", strconv.Itoa(pids[i]), "fd")
		files, err := os.ReadDir(directory)
		if err != nil {
			continue // ended, or not started
		}
		for _, file := range files {
			if to, err := os.Readlink(filepath.Join(directory, file.Name())); err == nil && to == "socket:["+inode+"]" {
				return i
			}
		}
	}
	return 0
}

// kernelAddress writes an IPv4 address as /proc/net/tcp does.
func kernelAddress(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}
