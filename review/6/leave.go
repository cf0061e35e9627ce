//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	// submissions is the number of requests that must not run twice. Of ten, leaving give up
	// early: their client ends its side of the connection, and reads until the relay ends
	// the other one.
	submissions = 60
	leaving     = 3
	ofTen       = 10
	// leaveWithin is the time in which these clients give up: half of the objective.
	leaveWithin = 150 * time.Millisecond
	workTime    = 200 * time.Millisecond
	patience    = 4 * time.Second
)

func init() { cases["7"] = leaveEarly }

// submission is what a client has received for a request.
type submission struct {
	id     ident.RequestID
	left   bool
	status int // 0 if the connection ended without an answer
	sealed bool
	bytes  int
}

// leaveEarly sends submissions, some of which are given up before their answer.
func leaveEarly(l *lab, trouble bool) (verdict, error) {
	services := []any{map[string]any{"name": "entries", "max_conns": 52}}
	routes := []any{map[string]any{
		"name": "submit", "hostname": routeHost, "prefix": "/submit/", "route_kind": "unsafe", "service": "entries",
		"max_attempts": 1, "timeout_ms": 2000, "slo_ms": 300,
	}}
	if err := l.publish(routes, services); err != nil {
		return verdict{}, err
	}
	if err := l.addEntriesEngines(workTime); err != nil {
		return verdict{}, err
	}
	if err := l.startRelays(3); err != nil {
		return verdict{}, err
	}
	pause(3 * time.Second)
	var mu sync.Mutex
	var all []submission
	var clients sync.WaitGroup
	for n := range submissions {
		clients.Go(func() {
			left := trouble && n%ofTen < leaving
			after := time.Duration(n%ofTen+1) * leaveWithin / leaving
			got := submit(l.relays[n%len(l.relays)].callers, newID("submit", n, 1), left, after)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got)
		})
		pause(50 * time.Millisecond)
	}
	clients.Wait()
	runs := make(map[ident.RequestID]string)
	for _, e := range l.engines {
		for _, run := range e.Runs() {
			runs[run.Request] = e.id
		}
	}
	wrong := 0
	for _, s := range all {
		text := "not run"
		if id, ok := runs[s.id]; ok {
			text = "run by " + id
		}
		l.note("%s: client gave up early: %t; answer: status %d, Server-Seal: %t, %d bytes; %s", s.id, s.left, s.status, s.sealed, s.bytes, text)
		if s.status/100 == 2 && !s.sealed {
			wrong++
		}
	}
	return verdict{
		broken: wrong > 0,
		text:   fmt.Sprintf("%d of %d requests were answered with a success without the engine's Server-Seal, none may be", wrong, len(all)),
	}, nil
}

// submit sends a request. If the client gives up, it ends its side of the connection after
// some time.
func submit(address string, id ident.RequestID, givesUp bool, after time.Duration) submission {
	s := submission{
		id:   id,
		left: givesUp,
	}
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return s
	}
	defer func() { _ = conn.Close() }()
	body := "fee of " + string(id)
	_, err = fmt.Fprintf(conn, "POST /submit/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", routeHost, id, clientKey, patience.Milliseconds(), len(body), body)
	if err != nil {
		return s
	}
	if givesUp {
		pause(after)
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return s
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return s
	}
	s.status, s.sealed, s.bytes = response.StatusCode, standin.IsSealed(response.Header, id), len(got)
	return s
}

// addEntriesEngines starts and registers the engines of the service entries.
func (l *lab) addEntriesEngines(work time.Duration) error {
	for i, zone := range zones {
		e, err := l.addEngine(standin.UpstreamConfig{
			ID:      ident.UpstreamID(fmt.Sprintf("i-entries%d", i)),
			Service: "entries",
			Domain:  ident.FailureDomain(zone),
			Release: "v1",
			Kind:    standin.Plain,
			Slots:   64,
			Latency: work,
		})
		if err != nil {
			return err
		}
		if err := l.register(e); err != nil {
			return err
		}
	}
	return nil
}
