package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/internal/operator"
	"github.com/nutmegshift/nutmegshift/internal/reporthttp"
	"github.com/nutmegshift/nutmegshift/internal/settings"
	"github.com/nutmegshift/nutmegshift/internal/stagehttp"
	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/httpkv"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/quarantine"
	"github.com/nutmegshift/nutmegshift/timeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const (
	tableTickInterval         = 100 * time.Millisecond
	hostListInterval          = time.Second
	quarantineRefreshInterval = time.Minute
	// watchWait is shorter than the usual idle timeouts of intermediaries.
	watchWait = 20 * time.Second
)

// ErrInterrupted is returned by Host.Run if the stop interrupted requests in
// progress or left outcomes of requests unwritten.
const ErrInterrupted = errors.ConstError("stop interrupted requests in progress")

// Host is the daemon of one entry host.
type Host struct {
	settings    *settings.Settings
	log         zerolog.Logger
	memory      *memory.Budget // of the headers and bodies of requests
	connections callerhttp.Counts
	incarnation ident.Incarnation
	counter     atomic.Uint64
	clock       *timeline.Clock
	ring        *timeline.Ring
	metrics     *metrics.Set
	meter       *meter
	store       kv.Store
	hostList    *hostlist.Client
	table       *upstream.Table
	transport   *stagehttp.Client
	ledger      *claim.Ledger
	keeper      *quarantine.Keeper
	registry    *document.Registry
	syncer      *document.Syncer
	peers       *peers
	poller      *reporthttp.Poller
	server      *Server
}

// New returns an entry host with all its components; Run starts it.
func New(s *settings.Settings, log zerolog.Logger) *Host {
	h := &Host{
		settings:    s,
		log:         log,
		memory:      memory.New(int64(messageShare * s.Memory * megabyte)),
		incarnation: ident.Incarnation(time.Now().UnixMilli()),
		clock:       timeline.NewClock(time.Now),
		metrics:     metrics.NewSet(),
		hostList:    hostlist.New(s.Hosts, newClient()),
		registry:    document.NewRegistry(),
	}
	h.ring = timeline.NewRing(s.Host, h.clock, s.Events)
	h.meter = newMeter(h.metrics)
	h.store = httpkv.New(httpkv.Config{
		Address: s.Store,
		Client:  newClient(),
		Limit:   s.StoreTimeout,
		Wait:    watchWait,
	})
	h.table = upstream.New(upstream.Config{
		Host:   s.Host,
		Domain: s.Domain,
		Region: s.Region,
		Now:    time.Now,
		Random: newRandom(),
	})
	h.transport = stagehttp.New(stagehttp.Config{})
	h.peers = newPeers(peer.Row{
		Host:        s.Host,
		Address:     s.Advertise,
		Domain:      s.Domain,
		Region:      s.Region,
		Incarnation: h.incarnation,
		State:       peer.Alive,
	}, h.clock, h.ring, h.registry, log)
	h.ledger = claim.New(claim.Config{
		Store:     h.store,
		Host:      s.Host,
		Forwarder: h.peers,
	})
	h.keeper = quarantine.New(quarantine.Config{
		Store:    h.store,
		Host:     s.Host,
		Notifier: h.peers,
	})
	h.syncer = document.NewSyncer(document.SyncerConfig{
		Store:    h.store,
		Peers:    h.peers,
		Registry: h.registry,
		Spreader: h.peers.spreader,
		Around:   h.peers.surroundings,
		Now:      time.Now,
		Log:      log,
	})
	h.poller = reporthttp.New(reporthttp.Config{
		Client:      newClient(),
		Table:       h.table,
		EnginePools: h.enginePools,
	})
	h.server = NewServer(ServerConfig{
		Ledger:     h.ledger,
		Quarantine: h.keeper,
		Announce:   h.peers.announceCrash,
		NewLimits:  func() Limits { return NewLimits(time.Now) },
		Recorder:   h.ring,
		Metrics:    h.metrics,
		NewAttempt: h.newAttemptID,
		Now:        time.Now,
		Runner: pipeline.New(pipeline.Config{
			Transport:  h.transport,
			Selector:   h.table,
			Meter:      h.meter,
			Recorder:   h.ring,
			Now:        time.Now,
			NewAttempt: h.newAttemptID,
		}),
	})
	h.peers.ledger = h.ledger
	h.peers.keeper = h.keeper
	h.peers.upstream = h.table
	h.peers.services = h.server.services
	h.addGauges()
	return h
}

// Run serves until ctx is done, then stops gracefully: it reports that it is not
// ready, closes the callers' port, waits for the requests in progress and writes
// their outcomes. It returns ErrInterrupted if requests were interrupted, or
// outcomes left unwritten, because the stop timeout of the settings elapsed or
// force was cancelled.
func (h *Host) Run(ctx, force context.Context) error {
	callerListener, err := listen(ctx, h.settings.Callers)
	if err != nil {
		return err
	}
	operatorListener, err := listen(ctx, h.settings.Operator)
	if err != nil {
		return err
	}
	peerListener, err := listen(ctx, h.settings.Peers)
	if err != nil {
		return err
	}
	// Components outlive ctx because requests in progress need them.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	var group run.Group
	h.add(&group, componentsCtx, "ledger", h.ledger.Run)
	h.add(&group, componentsCtx, "upstreams", h.runTable)
	h.add(&group, componentsCtx, "host list", h.pollHostList)
	h.add(&group, componentsCtx, "reports", h.poller.Run)
	h.add(&group, componentsCtx, "quarantine", h.runQuarantine)
	h.add(&group, componentsCtx, "documents", h.syncer.Run)
	h.add(&group, componentsCtx, "peers", h.peers.serve(peerListener))
	h.add(&group, componentsCtx, "gossip", h.peers.runner.Run)
	h.add(&group, componentsCtx, "rumours", h.peers.receiveRumours)
	h.add(&group, componentsCtx, "news", h.peers.publish)
	h.add(&group, componentsCtx, "orders", h.runOrders(ctx))
	h.add(&group, componentsCtx, "operators", func(ctx context.Context) error {
		return serveHTTP(ctx, operatorListener, h.operatorHandler(), h.settings, h.log)
	})
	var interrupted error
	group.Add(func() error {
		interrupted = h.serveCallers(ctx, force, callerListener)
		return interrupted
	}, func(error) {
		stopComponents()
	})
	h.log.Info().Str("callers", string(h.settings.Callers)).Msg("entry: started")
	if err := group.Run(); err != nil {
		return err
	}
	return interrupted
}

// add adds a component to the group as an actor. The name is the prefix of its
// log message.
func (h *Host) add(group *run.Group, ctx context.Context, name string, component func(context.Context) error) { //nolint:revive // the group owns the context
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		err := component(ctx)
		if err != nil {
			h.log.Error().Err(err).Msg(name + ": component failed; stopping the host")
		}
		return err
	}, func(error) {
		cancel()
	})
}

// runTable ticks the upstream table.
func (h *Host) runTable(ctx context.Context) error {
	return every(ctx, tableTickInterval, func() {
		h.table.Tick(time.Now())
	})
}

// runQuarantine reads the quarantine records at the start and then every
// quarantineRefreshInterval.
func (h *Host) runQuarantine(ctx context.Context) error {
	refresh := func() {
		if err := h.keeper.Refresh(ctx); err != nil {
			h.log.Debug().Err(err).Msg("quarantine: cannot read records; retrying at the next refresh")
		}
	}
	refresh()
	// A random delay spreads the reads of hosts that start together.
	select {
	case <-time.After(rand.N(quarantineRefreshInterval)):
	case <-ctx.Done():
		return nil
	}
	return every(ctx, quarantineRefreshInterval, refresh)
}

func (h *Host) operatorHandler() http.Handler {
	return operator.New(operator.Config{
		Ready:   h.ready,
		Status:  h.status,
		Ring:    h.ring,
		Metrics: h.metrics,
	})
}

func (h *Host) ready() operator.Readiness {
	switch {
	case h.server.active.isStopping():
		return operator.Readiness{
			Reason: "stopping",
		}
	case len(h.registry.Snapshot().Names()) == 0:
		return operator.Readiness{
			Reason: "no service document is known",
		}
	case len(h.table.Snapshot().Rows) == 0:
		// The table may merge the host list up to a tick after the documents are read.
		return operator.Readiness{
			Reason: "no upstream is known",
		}
	default:
		return operator.Readiness{
			Ready: true,
		}
	}
}

// enginePools returns the pools of the generate stages of all documents.
func (h *Host) enginePools() map[document.PoolRef]bool {
	pools := make(map[document.PoolRef]bool)
	set := h.registry.Snapshot()
	for _, name := range set.Names() {
		doc, _ := set.Document(name)
		for _, stage := range doc.Service.Stages {
			if stage.Kind == document.Generate {
				pools[stage.Pool] = true
			}
		}
	}
	return pools
}

func (h *Host) newRequestID() ident.RequestID {
	return ident.RequestID(h.newID())
}

func (h *Host) newAttemptID() ident.AttemptID {
	return ident.AttemptID(h.newID())
}

// newID returns an id that is unique across hosts and incarnations of this host.
func (h *Host) newID() string {
	return fmt.Sprintf("%s-%s-%d", h.settings.Host, strconv.FormatUint(uint64(h.incarnation), 36), h.counter.Add(1))
}

// every calls do at each interval until ctx is done.
func every(ctx context.Context, interval time.Duration, do func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			do()
		}
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
