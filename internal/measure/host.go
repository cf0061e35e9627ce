package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/caller"
	"github.com/nutmegshift/nutmegshift/internal/entry"
	"github.com/nutmegshift/nutmegshift/internal/reporthttp"
	"github.com/nutmegshift/nutmegshift/internal/stagehttp"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/quarantine"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const (
	tickInterval      = 100 * time.Millisecond // same as in internal/entry
	readHeaderTimeout = 5 * time.Second
	maxBody           = 1 << 20
)

// hostConfig holds the settings and dependencies of one entry host.
type hostConfig struct {
	name      ident.HostID
	domain    ident.FailureDomain
	region    ident.Region
	address   ident.Address
	seed      uint64
	variant   Variant
	service   *document.Service
	store     kv.Store
	fleet     *fleet
	collector *collector
	registry  *document.Registry
}

// host is an entry host with the serving code wired as in internal/entry, but
// without store watches and peers.
type host struct {
	server    *http.Server
	table     *upstream.Table // nil for the baseline
	transport *stagehttp.Client
	cancel    context.CancelFunc
	taskErrs  []chan error
	client    *http.Client
}

func startHost(ctx context.Context, cfg hostConfig) (*host, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", string(cfg.address))
	if err != nil {
		return nil, errors.Annotatef(err, "listen as %s", cfg.name)
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &host{
		transport: stagehttp.New(stagehttp.Config{}),
		cancel:    cancel,
		client: &http.Client{
			Transport: &http.Transport{},
		},
	}
	var transport pipeline.Transport = delayedTransport{
		Transport: h.transport,
		domain:    cfg.domain,
		domains:   cfg.fleet.domains(),
		oneWay:    cfg.variant.OneWayDelay,
	}
	limits := func() entry.Limits { return entry.NewLimits(time.Now) }
	var selector pipeline.Selector
	if cfg.variant.Baseline {
		transport = badGatewayTransport{
			Transport: transport,
		}
		selector = newRoundRobin(cfg.domain, cfg.fleet.members())
		limits = baselineLimits
	} else {
		selector = h.startTable(ctx, cfg)
	}
	if cfg.variant.IgnorePrefixes {
		selector = prefixIgnorer{
			Selector: selector,
		}
	}
	var counter atomic.Uint64
	uniqueID := func() string { return fmt.Sprintf("%s-%d", cfg.name, counter.Add(1)) }
	newAttempt := func() ident.AttemptID { return ident.AttemptID(uniqueID()) }
	server := entry.NewServer(entry.ServerConfig{
		Ledger: claim.New(claim.Config{
			Store: cfg.store,
			Host:  cfg.name,
		}),
		Quarantine: quarantine.New(quarantine.Config{
			Store: cfg.store,
			Host:  cfg.name,
		}),
		NewLimits:  limits,
		Recorder:   cfg.collector,
		Metrics:    metrics.NewSet(),
		NewAttempt: newAttempt,
		Now:        time.Now,
		Runner: pipeline.New(pipeline.Config{
			Transport:  transport,
			Selector:   selector,
			Meter:      cfg.collector,
			Recorder:   cfg.collector,
			Now:        time.Now,
			NewAttempt: newAttempt,
		}),
	})
	h.server = &http.Server{
		Handler: caller.New(caller.Config{
			Server:   server,
			Services: cfg.registry.Snapshot,
			NewID:    func() ident.RequestID { return ident.RequestID(uniqueID()) },
			Now:      time.Now,
			MaxBody:  maxBody,
			Log:      zerolog.Nop(),
		}),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	h.start(func() error {
		if err := h.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Annotatef(err, "serve %s", cfg.name)
		}
		return nil
	})
	return h, nil
}

// startTable starts an upstream table, its ticker and the poller of upstream
// reports.
func (h *host) startTable(ctx context.Context, cfg hostConfig) *upstream.Table {
	h.table = upstream.New(upstream.Config{
		Host:   cfg.name,
		Domain: cfg.domain,
		Region: cfg.region,
		Now:    time.Now,
		Random: rand.New(rand.NewPCG(cfg.seed, 1)),
	})
	h.table.Offer(cfg.fleet.members())
	h.table.Tick(time.Now())
	engines := make(map[document.PoolRef]bool)
	for _, stage := range cfg.service.Stages {
		if stage.Kind == document.Generate {
			engines[stage.Pool] = true
		}
	}
	poller := reporthttp.New(reporthttp.Config{
		Client:      h.client,
		Table:       h.table,
		EnginePools: func() map[document.PoolRef]bool { return engines },
	})
	h.start(func() error { return poller.Run(ctx) })
	h.start(func() error {
		for sleep(ctx, tickInterval) == nil {
			h.table.Tick(time.Now())
		}
		return nil
	})
	return h.table
}

// start runs a task in a goroutine; close waits for it.
func (h *host) start(task func() error) {
	taskErr := make(chan error, 1)
	go func() { taskErr <- task() }()
	h.taskErrs = append(h.taskErrs, taskErr)
}

// close stops the host, waits for its tasks and returns the first error.
func (h *host) close() error {
	h.cancel()
	_ = h.server.Close()
	var firstErr error
	for _, taskErr := range h.taskErrs {
		if err := <-taskErr; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	h.transport.Close()
	h.client.CloseIdleConnections()
	return firstErr
}
