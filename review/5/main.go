//go:build review

// Case 5: processes are killed while a server leaves.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/nutmegshift/nutmegshift/review"
)

const (
	// killed is how many of the five hosts are killed at once.
	killed = 3
	// leaveDelay is the time from the kill to the server's leaving, startDelay that from
	// the kill to the start of the processes that were killed.
	leaveDelay = 100 * time.Millisecond
	startDelay = 300 * time.Millisecond
	// rounds is how many requests each host that was not killed gets after drain_ms.
	rounds = 20
)

// server is one server of the fee service.
type server struct {
	upstream *review.Upstream
	record   *review.Record

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that has reached a server.
type arrival struct {
	attempt string
	at      time.Time
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{attempt: attempt, at: time.Now()})
	s.mu.Unlock()
	s.record.Printf("server %s: runs attempt %s", s.upstream.ID, attempt)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Server-Seal", "seal."+attempt)
	_, _ = io.WriteString(w, "accepted "+attempt)
}

// late returns how many requests arrived after a time, and the last of them.
func (s *server) late(after time.Time) (count int, last arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.After(after) {
			count++
			last = a
		}
	}
	return count, last
}

func run(ctx context.Context, d *review.Deployment, trouble bool) (string, error) {
	var servers []*server
	for _, zone := range []string{"erie-hall", "huron-hall", "superior-hall"} {
		s := &server{
			upstream: &review.Upstream{ID: "i-" + zone, Service: "entries-api", Zone: zone, Slots: 6},
			record:   d.Record,
		}
		if err := d.StartUpstream(s.upstream, s); err != nil {
			return "", err
		}
		servers = append(servers, s)
	}
	_, err := d.Publish(review.Config{
		Routes:   []review.Route{review.PlainRoute("submit", "/submit/", "unsafe", "entries-api", 1)},
		Services: []review.Service{review.PlainService("entries-api")},
		Tenants:  []review.Tenant{},
	})
	if err != nil {
		return "", err
	}
	hosts, err := d.StartHosts(ctx, "erie-hall", "huron-hall", "superior-hall", "erie-hall", "huron-hall")
	if err != nil {
		return "", err
	}
	// Two hosts watch the store for all. They are among those that are killed.
	var down, up []*review.Host
	for _, h := range hosts {
		if h.Watches() {
			down = append(down, h)
		} else {
			up = append(up, h)
		}
	}
	for len(down) < killed && len(up) > 0 {
		down, up = append(down, up[0]), up[1:]
	}
	if len(up) != len(hosts)-killed {
		return "", fmt.Errorf("%d hosts watch the store", len(down))
	}
	if trouble {
		for _, h := range down {
			if err := h.Signal(syscall.SIGKILL); err != nil {
				return "", err
			}
		}
	}
	if err := review.Sleep(ctx, leaveDelay); err != nil {
		return "", err
	}
	// A host prefers the server in its zone.
	leaving := servers[slices.IndexFunc(servers, func(s *server) bool { return s.upstream.Zone == up[0].Zone })]
	acked, err := leaving.upstream.Leave(ctx)
	if err != nil {
		return "", err
	}
	if err := review.Sleep(ctx, startDelay-leaveDelay); err != nil {
		return "", err
	}
	if trouble {
		for _, h := range down {
			if err := h.Start(); err != nil {
				return "", err
			}
		}
	}
	if err := review.Sleep(ctx, time.Until(acked.Add(review.Drain+time.Second))); err != nil {
		return "", err
	}
	client := &http.Client{}
	for range rounds {
		for _, h := range up {
			answer := review.Send(ctx, client, h, review.Request{
				Method:     http.MethodPost,
				Path:       "/submit/entry",
				Body:       []byte("entry"),
				DeadlineMS: 4000,
			})
			d.Record.Printf("caller at %s: %s", h.Name, answer)
		}
		if err := review.Sleep(ctx, 200*time.Millisecond); err != nil {
			return "", err
		}
	}
	for _, h := range hosts {
		d.Record.Printf("log of %s: %d lines on removed servers", h.Name, len(h.Log("fleet: removed")))
	}
	count, last := leaving.late(acked.Add(review.Drain))
	if count == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d requests reach %s later than drain_ms after the store has removed it, the last one %s after", count, leaving.upstream.ID, last.at.Sub(acked)), nil
}

func main() { review.Main(run) }
