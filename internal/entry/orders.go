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
	orderTickInterval = time.Second
	orderLeaseTTL     = 10 * time.Second
	// orderPollInterval bounds the reads of the hosts that do not hold the lease
	// to 120 a second at 360 hosts, 6% of the store's rate.
	orderPollInterval = 3 * time.Second
	// The next three constants limit a tick to 2 s even if no engine responds, so
	// that the lease, which is renewed after half its TTL, stays valid.
	orderEnginesPerTick = 64
	orderWorkers        = 16
	orderTimeout        = 500 * time.Millisecond
	// orderAcceptAfter leaves time within orderTimeout for the other calls to the
	// engine.
	orderAcceptAfter = 200 * time.Millisecond
	// orderLoadTimeout exceeds the time to load a large model from a slow weight
	// store.
	orderLoadTimeout = 15 * time.Minute
)

// directory looks up the addresses of engines in the upstream table. It is safe
// for concurrent use.
type directory struct {
	snapshot func() *upstream.Snapshot
	now      func() time.Time

	mu        sync.Mutex
	readAt    time.Time
	addresses map[ident.UpstreamID]ident.Address
}

// address returns the address of an upstream, and false if the upstream is
// unknown, leaving or gone. The snapshot is read once for each tick of the
// reconciler, not for each engine.
func (d *directory) address(id ident.UpstreamID) (ident.Address, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := d.now(); d.addresses == nil || now.Sub(d.readAt) >= orderTickInterval {
		d.readAt = now
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

// newReconciler returns the reconciler of engines and the client that it uses.
func (h *Host) newReconciler() (*order.Reconciler, *orderhttp.Client) {
	engines := orderhttp.New(orderhttp.Config{
		Client: &http.Client{
			Transport: &http.Transport{
				// A pass over a large fleet must not keep a connection open to each engine.
				MaxIdleConns:           orderEnginesPerTick,
				MaxIdleConnsPerHost:    1,
				MaxResponseHeaderBytes: maxResponseHeader,
				IdleConnTimeout:        idleTimeout,
			},
		},
		Address: (&directory{
			snapshot: h.table.Snapshot,
			now:      time.Now,
		}).address,
		AcceptAfter: orderAcceptAfter,
		LoadTimeout: orderLoadTimeout,
	})
	return order.New(order.Config{
		Host:         h.settings.Host,
		Store:        h.store,
		Engines:      engines,
		Now:          time.Now,
		Log:          h.log,
		TTL:          orderLeaseTTL,
		Limit:        orderTimeout,
		Workers:      orderWorkers,
		PerTick:      orderEnginesPerTick,
		PollInterval: orderPollInterval,
		LoadRate:     rate.Limit(h.settings.LoadRate),
		LoadBurst:    max(1, int(h.settings.LoadRate)),
	}), engines
}

// runOrders issues orders until stopping is done, releases the lease and waits
// until the components are stopped, because a component that returns stops the
// host.
func (h *Host) runOrders(stopping context.Context) func(context.Context) error {
	return func(componentsCtx context.Context) error {
		ctx, cancel := context.WithCancel(componentsCtx)
		defer cancel()
		defer context.AfterFunc(stopping, cancel)()
		ticker := time.NewTicker(orderTickInterval)
		defer ticker.Stop()
		reconciler, engines := h.newReconciler()
		_ = reconciler.Run(ctx, ticker.C) // returns only when ctx is done
		engines.Close()
		<-componentsCtx.Done()
		return nil
	}
}
