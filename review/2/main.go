//go:build review

// Case 2: all keys of the only tenant are taken away.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/review"
)

const (
	firstKey  = "9dnn2ctnfzs989anu6ws"
	secondKey = "jnbanfqasnmgkcuyj8pj"
	neverKey  = "q2fsd8kzz0notakey777"
	// revokeGap is the pause between two removals of a key, as in the site files.
	revokeGap = 1500 * time.Millisecond
)

// server is the fee service: it runs each request that reaches it.
type server struct {
	record *review.Record

	mu   sync.Mutex
	runs map[string]string // tenant of each attempt that has run
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.runs[attempt] = r.Header.Get("Tenant")
	s.mu.Unlock()
	s.record.Printf("server: runs attempt %s, Tenant %q", attempt, r.Header.Get("Tenant"))
	w.Header().Set("Server-Seal", "seal."+attempt)
	_, _ = io.WriteString(w, "accepted "+attempt)
}

func (s *server) tenant(attempt string) (tenant string, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tenant, ran = s.runs[attempt]
	return tenant, ran
}

func config(keys ...string) review.Config {
	return review.Config{
		Routes:   []review.Route{review.PlainRoute("submit", "/submit/", "unsafe", "entries-api", 1)},
		Services: []review.Service{review.PlainService("entries-api")},
		Tenants: []review.Tenant{{
			Name:     "bozi300",
			APIKeys:  append([]string{}, keys...),
			Priority: 1,
		}},
	}
}

func run(ctx context.Context, d *review.Deployment, trouble bool) (string, error) {
	s := &server{
		record: d.Record,
		runs:   make(map[string]string),
	}
	for _, zone := range []string{"erie-hall", "huron-hall"} {
		u := &review.Upstream{ID: "i-" + zone, Service: "entries-api", Zone: zone, Slots: 6}
		if err := d.StartUpstream(u, s); err != nil {
			return "", err
		}
	}
	if _, err := d.Publish(config(firstKey, secondKey)); err != nil {
		return "", err
	}
	hosts, err := d.StartHosts(ctx, "erie-hall", "huron-hall", "superior-hall")
	if err != nil {
		return "", err
	}
	client := &http.Client{}
	send := func(h *review.Host, key string) review.Answer {
		answer := review.Send(ctx, client, h, review.Request{
			Method:     http.MethodPost,
			Path:       "/submit/entry",
			Key:        key,
			Body:       []byte("entry"),
			DeadlineMS: 4000,
		})
		d.Record.Printf("caller at %s with key %q: %s", h.Name, key, answer)
		return answer
	}
	for _, h := range hosts {
		if send(h, firstKey).Status != http.StatusOK || send(h, neverKey).Status != http.StatusUnauthorized {
			return "before the keys are removed, a request is not handled by its key", nil
		}
	}
	// Without the disruption the operator writes the same keys again.
	versions := []review.Config{config(firstKey, secondKey), config(firstKey, secondKey)}
	valid := map[string]bool{firstKey: true, secondKey: true}
	if trouble {
		versions = []review.Config{config(secondKey), config()}
		valid = nil
	}
	for _, version := range versions {
		if err := review.Sleep(ctx, revokeGap); err != nil {
			return "", err
		}
		if _, err := d.Publish(version); err != nil {
			return "", err
		}
	}
	// All hosts are in touch, and the rule gives them config_apply_ms.
	if err := review.Sleep(ctx, review.Apply+time.Second); err != nil {
		return "", err
	}
	broken := ""
	for range 3 {
		for _, h := range hosts {
			for _, key := range []string{firstKey, secondKey, neverKey, ""} {
				answer := send(h, key)
				tenant, ran := s.tenant(answer.Attempt)
				if ran && !valid[key] && broken == "" {
					broken = fmt.Sprintf("a request with the key %q, which the configuration in force does not hold, runs with Tenant %q", key, tenant)
				}
			}
		}
		if err := review.Sleep(ctx, time.Second); err != nil {
			return "", err
		}
	}
	return broken, nil
}

func main() { review.Main(run) }
