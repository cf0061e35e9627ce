package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/orderhttp"
	"github.com/nutmegshift/nutmegshift/order"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const (
	orderInterval = time.Second
	orderTTL      = 10 * time.Second
	// orderIdle bounds the reads of the hosts without the lease to 120 a second
	// at 360 hosts, 6% of the store's rate.
	orderIdle = 3 * time.Second
	// With these three a tick takes at most 2 s, also when no engine answers, so
	// the lease, renewed at half of its time, stays valid.
	orderPerTick = 64
	orderWorkers = 16
	orderLimit   = 500 * time.Millisecond
	// orderAccept leaves room within orderLimit for the other calls to the engine.
	orderAccept = 200 * time.Millisecond
	// orderLoad is longer than the load of a large model at a slow weight store.
	orderLoad = 15 * time.Minute
)

// directory finds the addresses of engines in the upstream table.
type directory struct {
	snapshot func() *upstream.Snapshot
	now      func() time.Time

	mu        sync.Mutex
	read      time.Time
	addresses map[ident.UpstreamID]ident.Address
}

// address returns where an upstream is reached unless it is leaving or gone. The
// snapshot is read once for each tick of the orders, not for each engine.
func (d *directory) address(id ident.UpstreamID) (ident.Address, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := d.now(); d.addresses == nil || now.Sub(d.read) >= orderInterval {
		d.read = now
		rows := d.snapshot().Rows
		d.addresses = make(map[ident.UpstreamID]ident.Address, len(rows))
		for _, row := range rows {
			if row.State != upstream.StateLeaving && row.State != upstream.StateGone {
				d.addresses[row.Member.Upstream] = row.Member.Address
			}
		}
	}
	found, known := d.addresses[id]
	return found, known
}

// newOrders returns the reconciler of engines and the client that it uses.
func (h *Host) newOrders() (*order.Reconciler, *orderhttp.Client) {
	engines := orderhttp.New(orderhttp.Config{
		Client: &http.Client{
			Transport: &http.Transport{
				// A round over a large fleet must not keep a connection to each engine.
				MaxIdleConns:        orderPerTick,
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     idleTimeout,
			},
		},
		Address: (&directory{
			snapshot: h.table.Snapshot,
			now:      time.Now,
		}).address,
		AcceptAfter: orderAccept,
		LoadTimeout: orderLoad,
	})
	return order.New(order.Config{
		Host:         h.settings.Host,
		Store:        h.store,
		Engines:      engines,
		Now:          time.Now,
		Log:          h.log,
		TTL:          orderTTL,
		Limit:        orderLimit,
		Workers:      orderWorkers,
		PerTick:      orderPerTick,
		PollInterval: orderIdle,
		LoadRate:     rate.Limit(h.settings.Loads),
		LoadBurst:    max(1, int(h.settings.Loads)),
	}), engines
}

// runOrders issues orders until a stop begins, releases the lease and waits for
// the end of the parts, because a part that ends stops the host.
func (h *Host) runOrders(stopping context.Context) func(context.Context) error {
	return func(parts context.Context) error {
		ctx, cancel := context.WithCancel(parts)
		defer cancel()
		defer context.AfterFunc(stopping, cancel)()
		ticker := time.NewTicker(orderInterval)
		defer ticker.Stop()
		reconciler, engines := h.newOrders()
		_ = reconciler.Run(ctx, ticker.C) // it ends only with ctx
		engines.Close()
		<-parts.Done()
		return nil
	}
}
