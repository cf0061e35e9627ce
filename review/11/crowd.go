//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	crowdClients  = 1300
	crowdBody     = 50000 // bytes
	crowdPiece    = 480   // bytes, one each crowdInterval: 4.7 KiB/s
	crowdInterval = 100 * time.Millisecond
	crowdTime     = 25 * time.Second
	crowdReturn   = time.Second // after the end of a connection

	ordinaryClients  = 10 // each opens a connection for each of its requests
	ordinaryInterval = 200 * time.Millisecond
	minTrying        = 7 // of the rule, clients within its time, which is contact
)

// crowd: many clients with legal requests send their bodies slowly to one relay. A relay that
// says that it is ready has to take other connections.
func crowd(d *deployment, trouble bool) (int, error) {
	for i := range 3 {
		e := &engine{d: d, id: fmt.Sprintf("entries-%d", i), service: "entries", zone: zones[i], version: "v1", kind: plain, slots: 6, queue: 24, first: 30 * time.Millisecond}
		d.engines = append(d.engines, e)
		if err := e.start(); err != nil {
			return 0, err
		}
	}
	upload := plainRoute("upload", "unsafe", "entries", 1)
	upload["timeout_ms"] = 20000
	d.publish([]any{upload, plainRoute("lookup", "safe", "entries", 2)}, []any{map[string]any{"name": "entries", "health_path": "/healthz", "max_conns": 52}})
	d.addRelays(2)
	if err := d.start(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	r := d.relays[0]
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var wg sync.WaitGroup
	if trouble {
		for range crowdClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for ctx.Err() == nil {
					sendSlowly(ctx, r)
					time.Sleep(crowdReturn)
				}
			}()
		}
	}
	longest, sent, served := d.watchConnections(ctx, r)
	wg.Wait()
	d.record.say("ordinary requests %d, served %d; no new connection was taken for %.1f s while %d clients tried and the relay was ready, %v is the bound", sent, served, longest.Seconds(), ordinaryClients, contact)
	if longest > contact {
		return broken, nil
	}
	return held, nil
}

// sendSlowly sends one request on a new connection.
func sendSlowly(ctx context.Context, r *relay) {
	conn, err := net.DialTimeout("tcp4", r.callers, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("POST /upload/x HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer key\r\nDeadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n", newID(), crowdBody)
	if _, err := conn.Write([]byte(head)); err != nil {
		return
	}
	ticker := time.NewTicker(crowdInterval)
	defer ticker.Stop()
	for left := crowdBody; left > 0 && ctx.Err() == nil; left -= crowdPiece {
		if _, err := conn.Write(make([]byte, min(left, crowdPiece))); err != nil {
			return
		}
		<-ticker.C
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = conn.Read(make([]byte, 4096)) // its answer, whatever it is
}

// watchConnections lets ordinary clients make requests until the context ends. It returns the
// longest time in which none of them got an answer, at least minTrying of them tried, and the
// relay said all the while that it was ready.
func (d *deployment) watchConnections(ctx context.Context, r *relay) (longest time.Duration, sent, served int) {
	var mu sync.Mutex
	last, trying := time.Now(), make(map[int]bool)
	answered := func(client int, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		sent++
		trying[client] = true
		if ok {
			served++
			last, trying = time.Now(), make(map[int]bool)
		}
		if len(trying) >= minTrying {
			longest = max(longest, time.Since(last))
		}
	}
	var wg sync.WaitGroup
	for client := range ordinaryClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				id := newID()
				a := send(context.Background(), r, "api.example", "GET", "/lookup/x", id, 4*time.Second, nil, "")
				d.record.line("client %d, %s: status %d", client, id, a.status)
				answered(client, a.status != 0)
				time.Sleep(ordinaryInterval)
			}
		}()
	}
	for ctx.Err() == nil {
		if !r.isReady() {
			d.record.line("%s is not ready", r.name)
			mu.Lock()
			last, trying = time.Now(), make(map[int]bool)
			mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	return longest, sent, served
}
