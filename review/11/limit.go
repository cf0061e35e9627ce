//go:build review

package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	limitText = "0.4" // requests a second
	limitRate = 0.4
	// limitIdle is longer than the time in which each of nine relays may send one request by
	// an equal share of 0.7 x limitRate.
	limitIdle = 36 * time.Second
)

// limit: the only engine of a service is in need, and is asked after a while without requests.
func limit(d *deployment, trouble bool) (int, error) {
	var mu sync.Mutex
	var arrivals []time.Time
	e := &engine{d: d, id: "entries-0", service: "entries", zone: zones[0], version: "v1", kind: plain, slots: 6, queue: 24, first: 60 * time.Millisecond}
	e.onRequest = func(*http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
		d.record.line("request %d reaches %s", len(arrivals), e.id)
	}
	if trouble {
		e.limit.Store(limitText)
	}
	d.engines = append(d.engines, e)
	if err := e.start(); err != nil {
		return 0, err
	}
	d.publish([]any{plainRoute("lookup", "safe", "entries", 1)}, []any{map[string]any{"name": "entries", "health_path": "/healthz", "max_conns": 52}})
	d.addRelays(9)
	if err := d.start(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	ask := func() {
		var wg sync.WaitGroup
		for _, r := range d.relays {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := newID()
				a := send(context.Background(), r, "api.example", "GET", "/lookup/x", id, 2*time.Second, nil, "")
				d.record.line("%s at %s: %d", id, r.name, a.status)
			}()
		}
		wg.Wait()
	}
	ask() // each relay passes on an answer that names the limit
	time.Sleep(limitIdle)
	mu.Lock()
	before := len(arrivals)
	mu.Unlock()
	ask()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	burst := len(arrivals) - before
	allowed := 1.5*limitRate*4 + 5
	d.record.say("first answers %d; after %v without requests, %d requests within 4 s; %.1f are allowed", before, limitIdle, burst, allowed)
	if trouble && float64(burst) > allowed {
		return broken, nil
	}
	return held, nil
}
