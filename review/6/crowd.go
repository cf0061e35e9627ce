//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	// crowdClients send legal requests very slowly: crowdBody bytes, one each crowdInterval.
	crowdClients  = 1300
	crowdBody     = 2000
	crowdInterval = 500 * time.Millisecond
	crowdTime     = 26 * time.Second
	crowdBuildUp  = 3 * time.Second
	// crowdReturn is the time after which a client of the crowd comes back whose connection
	// has ended.
	crowdReturn = time.Second
	// ordinaryClients send a request each ordinaryInterval, each on a new connection.
	ordinaryClients  = 10
	ordinaryInterval = 200 * time.Millisecond
	ordinaryPatience = 4 * time.Second
	ordinaryTime     = 5 * time.Second
	// contactTime is the bound contact_ms, and minTrying the number of clients that have to
	// try meanwhile.
	contactTime = 3 * time.Second
	minTrying   = 7
)

func init() { cases["9"] = slowCrowd }

// try is one request of an ordinary client on a new connection.
type try struct {
	client int
	at     time.Time
	taken  bool // the relay has answered
	served bool
}

// slowCrowd sends ordinary requests while a crowd sends others very slowly.
func slowCrowd(l *lab, trouble bool) (verdict, error) {
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil || descriptors.Cur < 2*crowdClients {
		return verdict{}, fmt.Errorf("%d descriptors are not enough for the crowd", descriptors.Cur)
	}
	services := []any{map[string]any{"name": "entries", "max_conns": 52}}
	routes := []any{
		map[string]any{
			"name": "lookup", "hostname": routeHost, "prefix": "/lookup/", "route_kind": "safe", "service": "entries",
			"max_attempts": 2, "timeout_ms": 2000, "slo_ms": 300,
		},
		map[string]any{
			"name": "chat", "hostname": routeHost, "prefix": "/chat/", "route_kind": "streaming", "service": "entries",
			"max_attempts": 2, "timeout_ms": 20000, "slo_ms": 2500,
		},
	}
	if err := l.publish(routes, services); err != nil {
		return verdict{}, err
	}
	if err := l.addEntriesEngines(30 * time.Millisecond); err != nil {
		return verdict{}, err
	}
	if err := l.startRelays(1); err != nil {
		return verdict{}, err
	}
	pause(4 * time.Second)
	before := l.lookups("before", ordinaryTime)
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var crowd sync.WaitGroup
	if trouble {
		l.note("%d clients begin to send %d bytes each, one byte each %s", crowdClients, crowdBody, crowdInterval)
		for i := range crowdClients {
			crowd.Go(func() { l.sendSlowly(ctx, i) })
		}
	}
	pause(crowdBuildUp)
	during := l.lookups("during", crowdTime-crowdBuildUp-ordinaryPatience)
	l.note("memory of the relay: %s", l.relays[0].memory())
	cancel()
	crowd.Wait()
	pause(time.Second)
	after := l.lookups("after", ordinaryTime)
	longest := longestRefusal(during.tries)
	return verdict{
		broken: longest >= contactTime && during.alwaysReady,
		text: fmt.Sprintf("ordinary requests served: before %s, during the crowd %s, after it %s; longest time in which no connection of %d clients or more was taken: %.1f s of %.1f s, ready all the while: %t",
			before, during, after, minTrying, longest.Seconds(), contactTime.Seconds(), during.alwaysReady),
	}, nil
}

// sendSlowly is one client of the crowd.
func (l *lab) sendSlowly(ctx context.Context, i int) {
	for n := 0; ctx.Err() == nil; n++ {
		conn, err := net.DialTimeout("tcp4", l.relays[0].callers, time.Second)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			id := newID(fmt.Sprintf("slow%d-", i), n, 1)
			_, err = fmt.Fprintf(conn, "POST /chat/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n", routeHost, id, clientKey, crowdBody)
			for sent := 0; err == nil && sent < crowdBody && !hasEnded(conn); sent++ {
				_, err = io.WriteString(conn, "x")
			}
			stop()
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(crowdReturn):
		}
	}
}

// hasEnded waits for crowdInterval and reports whether the relay has answered or closed the
// connection.
func hasEnded(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(crowdInterval))
	var first [1]byte
	_, err := conn.Read(first[:])
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// phase holds the requests of the ordinary clients in a time.
type phase struct {
	tries       []try
	alwaysReady bool
}

func (p phase) String() string {
	served := 0
	for _, t := range p.tries {
		if t.served {
			served++
		}
	}
	return fmt.Sprintf("%d of %d", served, len(p.tries))
}

// lookups sends ordinary requests for some time.
func (l *lab) lookups(name string, length time.Duration) phase {
	until := time.Now().Add(length)
	p := phase{
		alwaysReady: true,
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range ordinaryClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := newID(fmt.Sprintf("%s%d-", name, i), n, 1)
				at := time.Now()
				got := attempt(context.Background(), l.relays[0].callers, "POST", "/lookup/1", "x", standin.Request{
					ID:      id,
					Key:     clientKey,
					Timeout: ordinaryPatience,
				})
				l.note("%s: %s", id, got)
				mu.Lock()
				p.tries = append(p.tries, try{
					client: i,
					at:     at,
					taken:  got.status != 0,
					served: got.whole && got.status == 200,
				})
				mu.Unlock()
				pause(ordinaryInterval)
			}
		})
	}
	clients.Go(func() {
		for time.Now().Before(until) {
			ready := l.relays[0].isReady()
			l.note("%s is ready: %t", l.relays[0].name, ready)
			mu.Lock()
			p.alwaysReady = p.alwaysReady && ready
			mu.Unlock()
			pause(time.Second)
		}
	})
	clients.Wait()
	return p
}

// longestRefusal returns the longest time in which minTrying clients or more have tried and
// none of their connections was taken.
func longestRefusal(tries []try) time.Duration {
	var longest time.Duration
	for _, first := range tries {
		end := first.at
		trying := make(map[int]bool)
		for _, t := range tries {
			if t.taken && t.at.After(first.at) && (end.Equal(first.at) || t.at.Before(end)) {
				end = t.at
			}
		}
		last := first.at
		for _, t := range tries {
			if t.at.Before(first.at) || !end.Equal(first.at) && !t.at.Before(end) {
				continue
			}
			trying[t.client] = true
			if t.at.After(last) {
				last = t.at
			}
		}
		if !first.taken && len(trying) >= minTrying {
			longest = max(longest, last.Sub(first.at))
		}
	}
	return longest
}
