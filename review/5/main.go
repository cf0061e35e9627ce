//go:build review

// Case 5: an upstream that runs stages drains while a request runs its stages.
package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/review/kit"
)

const (
	stages = 6 // of a request, one after the other
	pieces = 8 // of each stage
	rounds = 3 // requests, one after the other; the upstream drains during the second one
)

var limits = kit.Segments{
	Slots:      1,
	Queue:      2,
	Batch:      8,
	CallMS:     240,
	ItemMS:     26,
	HeadroomMB: 9.6,
	HandleTTLS: 4,
	LinkMbps:   10000,
}

func config() kit.Config {
	route := kit.PlainRoute("dossier", "/dossier/", "streaming", "nutmeg-pool", 2)
	route.TimeoutMS, route.SLOMS, route.Resumable = 12000, 6000, true
	for i := range stages {
		stage := kit.Stage{Service: "judging-board", After: []int{}, Bytes: 8000}
		if i > 0 {
			stage.After = []int{i - 1}
		}
		route.Stages = append(route.Stages, stage)
	}
	board := kit.PlainService("judging-board")
	board.Segments = &limits
	board.MaxConns = 280
	return kit.Config{
		Routes:   []kit.Route{route},
		Services: []kit.Service{board, kit.PlainService("nutmeg-pool")},
		Tenants:  []kit.Tenant{},
	}
}

// drainer makes the upstream of the first batch of a request drain, and finds batches
// that reach it too late.
type drainer struct {
	d *kit.Deployment

	mu      sync.Mutex
	trouble bool
	leaving *kit.Upstream
	acked   time.Time
	broken  string
}

func (c *drainer) arrived(u *kit.Upstream, at time.Time, items []kit.StageItem) {
	c.d.Record.Printf("upstream %s: batch of %d pieces arrives, stage %d of attempt %s", u.ID, len(items), items[0].Phase, items[0].ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.trouble && c.leaving == nil {
		c.leaving = u
		c.acked, _ = u.Drain()
	}
	if since := at.Sub(c.acked); u == c.leaving && since > kit.Drain {
		c.d.Record.Printf("upstream %s: this batch arrives %s after the acknowledgement", u.ID, since)
		c.broken = fmt.Sprintf("a batch reaches %s %s after the store has acknowledged that it drains; drain_ms is %s", u.ID, since, kit.Drain)
	}
}

func run(ctx context.Context, d *kit.Deployment, trouble bool) (string, error) {
	c := &drainer{
		d: d,
	}
	for _, zone := range []string{"erie-hall", "huron-hall"} {
		u := &kit.Upstream{ID: "i-board-" + zone, Service: "judging-board", Zone: zone, Slots: 1}
		if err := d.StartUpstream(u, kit.NewStages(u, limits, d.Record, c.arrived)); err != nil {
			return "", err
		}
		engine := &kit.Upstream{ID: "i-pool-" + zone, Service: "nutmeg-pool", Zone: zone, Slots: 64}
		if err := d.StartUpstream(engine, &kit.Engine{Record: d.Record, Events: 5, Pause: 20 * time.Millisecond}); err != nil {
			return "", err
		}
	}
	if _, err := d.Publish(config()); err != nil {
		return "", err
	}
	var hosts []*kit.Host
	for _, zone := range []string{"erie-hall", "huron-hall", "superior-hall"} {
		h, err := d.StartHost(kit.HostOptions{Name: "edge-" + zone, Domain: zone})
		if err != nil {
			return "", err
		}
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := h.AwaitReady(ctx); err != nil {
			return "", err
		}
	}
	if err := kit.Sleep(ctx, 2*kit.Contact); err != nil {
		return "", err
	}
	client := &http.Client{}
	for round := range rounds {
		if round == 1 {
			c.mu.Lock()
			c.trouble = trouble
			c.mu.Unlock()
		}
		answer := kit.Send(ctx, client, hosts[round%len(hosts)], kit.Request{
			Method:     http.MethodPost,
			Path:       "/dossier/1",
			Body:       []byte("dossier"),
			DeadlineMS: 12000,
			Header: map[string]string{
				"Chunks":    "8,8,8,8,8,8",
				"Chunk-Key": fmt.Sprintf("7c1e07a291b%d", round),
			},
		})
		d.Record.Printf("caller: %s", answer)
		if answer.Status != http.StatusOK && round == 0 {
			return "", fmt.Errorf("first request is not served: %s", answer)
		}
		if err := kit.Sleep(ctx, time.Second); err != nil {
			return "", err
		}
	}
	for _, h := range hosts {
		for _, line := range h.Log(`"state":2`) {
			d.Record.Printf("log of %s: %s", h.Name, line)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken, nil
}

func main() { kit.Main(run) }
