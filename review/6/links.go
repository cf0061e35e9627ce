//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// links are the paths between relays, and from relays to the store. A machine that is cut
// off reaches no other relay and not the store, and they do not reach it: nothing is
// delivered, and no connection is closed.
type links struct {
	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	pids  map[int]int   // by relay
	cut   map[int]bool  // by relay
	gates chan struct{} // closed and replaced when a cut ends
}

func newLinks() *links {
	ctx, stop := context.WithCancel(context.Background())
	return &links{
		ctx:   ctx,
		stop:  stop,
		pids:  make(map[int]int),
		cut:   make(map[int]bool),
		gates: make(chan struct{}),
	}
}

func (l *links) close() { l.stop() }

func (l *links) setProcess(relay, pid int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pids[relay] = pid
}

// cutOff cuts a relay off from the others and from the store.
func (l *links) cutOff(relay int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[relay] = true
}

// restore ends all cuts.
func (l *links) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cut)
	close(l.gates)
	l.gates = make(chan struct{})
}

// await waits until none of the relays is cut off. It reports false at the end of the case.
func (l *links) await(relays ...int) bool {
	for {
		l.mu.Lock()
		isCut, gate := false, l.gates
		for _, relay := range relays {
			isCut = isCut || l.cut[relay]
		}
		l.mu.Unlock()
		if !isCut {
			return l.ctx.Err() == nil
		}
		select {
		case <-gate:
		case <-l.ctx.Done():
			return false
		}
	}
}

// serveStore serves the store for one relay.
func (l *links) serveStore(address string, relay int, store http.Handler) error {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: store,
	}
	go func() { _ = server.Serve(inner) }()
	context.AfterFunc(l.ctx, func() { _ = server.Close() })
	return l.forward(address, inner.Addr().String(), func(net.Conn) []int { return []int{relay} })
}

// forwardPeers forwards the connections of the other relays to the peer port of a relay.
func (l *links) forwardPeers(address, to string, relay int, relays []*relay) error {
	return l.forward(address, to, func(conn net.Conn) []int {
		from, ok := l.caller(conn)
		if !ok {
			return []int{relay}
		}
		return []int{relay, from}
	})
}

func (l *links) forward(address, to string, ends func(conn net.Conn) []int) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	context.AfterFunc(l.ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(conn, to, ends(conn))
		}
	}()
	return nil
}

func (l *links) connect(conn net.Conn, to string, ends []int) {
	defer func() { _ = conn.Close() }()
	if !l.await(ends...) {
		return
	}
	other, err := net.Dial("tcp4", to)
	if err != nil {
		return
	}
	stop := context.AfterFunc(l.ctx, func() {
		_ = conn.Close()
		_ = other.Close()
	})
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(other, conn, ends)
	}()
	l.copy(conn, other, ends)
	<-done
}

// copy forwards bytes until one side ends, and then closes both. What arrives during a cut is
// delivered after it.
func (l *links) copy(to, from net.Conn, ends []int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.await(ends...) {
			break
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// caller returns the relay whose process has opened a connection.
func (l *links) caller(conn net.Conn) (relay int, ok bool) {
	inode := socketInode(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for relay, pid := range l.pids {
		descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		if err != nil {
			continue
		}
		for _, descriptor := range descriptors {
			if target, err := os.Readlink(descriptor); err == nil && target == "socket:["+inode+"]" {
				return relay, true
			}
		}
	}
	return 0, false
}

// socketInode returns the inode of the socket with a local and a remote address, as
// /proc/net/tcp lists it; empty if there is none.
func socketInode(local, remote *net.TCPAddr) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	wantLocal, wantRemote := procAddress(local), procAddress(remote)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > 9 && fields[1] == wantLocal && fields[2] == wantRemote {
			return fields[9]
		}
	}
	return ""
}

func procAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// pause waits between two steps of a case.
func pause(length time.Duration) { time.Sleep(length) }
