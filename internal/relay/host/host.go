package host

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/budget"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/forward"
	"github.com/nutmegshift/nutmegshift/internal/relay/grpcrelay"
	"github.com/nutmegshift/nutmegshift/internal/relay/hedge"
	"github.com/nutmegshift/nutmegshift/internal/relay/logging"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/relay/resumption"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/settings"
	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/httpkv"
	"github.com/nutmegshift/nutmegshift/peer"
)

const (
	// watchWait is the longest watch without a change. It is shorter than the usual idle
	// timeouts of devices between the host and the store.
	watchWait    = 20 * time.Second
	tickInterval = 500 * time.Millisecond
	// pollMargin is the part of the time in which a routing table has to be in force that
	// is reserved for polling the store. A host polls the store itself if the others do
	// not confirm its replica.
	pollMargin = 800 * time.Millisecond
	// A host that knows no other host announces itself to a seed after up to
	// minAnnounceBackoff, then at increasing intervals based on at most
	// maxAnnounceBackoff, since many hosts may start at the same time.
	minAnnounceBackoff = 30 * time.Millisecond
	maxAnnounceBackoff = 400 * time.Millisecond
	// coordinatorPrefixes is the number of prompt prefixes that a coordinator tracks. They
	// take up to 13 MB. 500 requests a second add 1,000 a second.
	coordinatorPrefixes = 65536
	maxStoreHeader      = 64 << 10 // largest header of a response of the store, in bytes
	// messageShare is the part of the memory of a host that the bodies of requests and
	// responses may take. About as much is garbage that has not been collected yet.
	messageShare = 0.25
	megabyte     = 1 << 20
	metricsPath  = "/metrics"
)

// Platform holds what is specific to the platform that a host runs on.
type Platform struct {
	Codec     wire.Codec
	Keys      wire.Keys
	Store     httpkv.Protocol
	ReadyPath string // URL path of the readiness check
}

// Host forwards requests according to the routing table. Run may be called once.
type Host struct {
	settings     *settings.Relay
	platform     Platform
	log          zerolog.Logger
	meter        *meter.Meter
	poison       *poison.Table
	memory       *memory.Budget // of the headers and bodies of requests and responses
	connections  callerhttp.Counts
	health       *discovery.Health
	store        *httpkv.Store
	routes       *routes.Holder
	fleet        *fleet.Directory
	pauses       *fleet.Pauses
	releases     *resumption.Releases
	streams      *resumption.Streams
	clients      clients
	replica      *discovery.Replica
	verifier     *discovery.Verifier
	peers        *peers
	relayClient  *grpcrelay.Client
	leaders      *duty.Leaders
	responses    *duty.Responses
	coordinators *coordinators
	stager       *cell.Stager
	handler      *forward.Handler
	syncSources  chan ident.HostID // hosts whose replicas are ahead of this one's
	started      time.Time
	stopping     chan struct{}
}

// New returns a Host; Run starts it.
func New(s *settings.Relay, platform Platform, out *logging.Log) *Host {
	log := out.With().Str("host", string(s.Host)).Logger()
	h := &Host{
		settings:    s,
		platform:    platform,
		log:         log,
		meter:       meter.New(),
		memory:      memory.New(int64(messageShare * s.Memory * megabyte)),
		health:      discovery.NewHealth(log, time.Now),
		routes:      &routes.Holder{},
		fleet:       fleet.New(),
		pauses:      fleet.NewPauses(time.Now, rand.Float64),
		syncSources: make(chan ident.HostID, 1),
		started:     time.Now(),
		stopping:    make(chan struct{}),
	}
	h.poison = poison.NewTable(poison.Config{
		Host:      s.Host,
		Now:       time.Now,
		OnReport:  h.publishCrash,
		OnSound:   h.publishSound,
		OnVerdict: h.logVerdict,
		MayProbe:  h.writesMembers,
	})
	h.store = httpkv.New(httpkv.Config{
		Address:  s.Store,
		Client:   storeClient(),
		Limit:    s.StoreTimeout,
		Wait:     watchWait,
		Protocol: platform.Store,
	})
	h.releases = resumption.NewReleases(h.fleet.Snapshot, h.storeSettled, time.Now)
	h.clients = clients{
		requests: h.newClient(h.liveHosts),
		batches:  h.newClient(oneSender),
		releases: h.newClient(oneSender),
	}
	h.coordinators = newCoordinators(h.newCoordinator)
	sinks := sinks{
		platform.Keys.Table: tableSink{
			Host: h,
		},
		platform.Keys.Upstreams: fleetSink{
			Host: h,
		},
	}
	sinks[platform.Keys.Evacuated] = evacuationSink{
		Host: h,
	}
	h.replica = discovery.NewReplica(sinks, s.Renewal, time.Now, h.maxValue)
	h.verifier = discovery.NewVerifier(discovery.VerifierConfig{
		Store:    h.store,
		Health:   h.health,
		Replica:  h.replica,
		ProbeKey: platform.Keys.Table,
		Survey:   h.survey,
		AskHosts: func(ctx context.Context) { h.peers.ask(ctx) },
		Settled:  h.storeSettled,
		Log:      log,
	})
	h.streams = resumption.NewStreams(h.releases, resumption.NewRecords(h.store, h.storeSettled, log), h.verifier.Verify, time.Now)
	h.responses = duty.NewResponses(time.Now)
	leaders := duty.New(func(name duty.Name) bool { return !slices.Contains(readerDuties, name) }, h.responses)
	h.leaders = leaders
	h.peers = newPeers(s, h.replica, leaders, h.observe, h.poison, h.observeDraining, h.newRelayServer(), log)
	sinks[membersKey] = h.peers
	sinks[crashesKey] = crashSink{
		Host: h,
	}
	sinks[organisedKey] = organisedSink{
		Host: h,
	}
	sinks[releasesKey] = releasesSink{
		Host: h,
	}
	h.relayClient = grpcrelay.NewClient(h.peers.client.Connection, time.Now)
	h.stager = cell.New(cell.Config{
		Self:      s.Host,
		Domain:    s.Domain,
		Started:   h.started,
		Hosts:     h.peers.table.Snapshot,
		Leaders:   leaders,
		Responses: h.responses,
		Table:     h.routes.Table,
		Fleet:     h.fleet.Snapshot,
		Local:     h.coordinators.get,
		Remote:    h.relayClient,
		Probe:     h.peers.probe,
		Now:       time.Now,
		Random:    rand.Float64,
		Log:       log,
	})
	h.handler = forward.New(forward.Config{
		Codec:      platform.Codec,
		Routes:     h.routes,
		Fleet:      h.fleet,
		Pauses:     h.pauses,
		Client:     h.clients.requests,
		Chooser:    placement.New(time.Now, rand.Float64),
		Popularity: placement.NewPopularity(),
		Budget: budget.New(budget.Config{
			Share:     s.RetryShare,
			Allowance: s.Allowance,
			Window:    s.Window,
			Hosts:     h.liveHosts,
		}),
		Hedges: hedge.New(hedge.Config{
			Share: s.HedgeShare,
			Now:   time.Now,
		}),
		Poison:   h.poison,
		Streams:  h.streams,
		Memory:   h.memory,
		Meter:    h.meter,
		Stager:   h.stager,
		Domain:   s.Domain,
		Hosts:    h.liveHosts,
		Stopping: h.isStopping,
		Replica: func() (kv.Cursor, time.Duration) {
			return h.replica.Cursor(), h.replica.Age()
		},
		Now: time.Now,
		Log: log,
	})
	h.registerGauges(out)
	return h
}

// registerGauges adds the gauges of the host's state to its metrics.
func (h *Host) registerGauges(out *logging.Log) {
	h.meter.Gauge("relay_hosts", func() float64 { return float64(h.liveHosts()) })
	h.meter.Gauge("relay_upstreams", func() float64 { return float64(len(h.fleet.Snapshot().All())) })
	h.meter.Gauge("relay_upstreams_draining", func() float64 { return float64(h.fleet.MarkedDraining()) })
	h.meter.Gauge("relay_domains_evacuated", func() float64 { return float64(h.fleet.Evacuated()) })
	h.meter.Gauge("relay_upstreams_paused", func() float64 { return float64(h.pauses.Count()) })
	h.meter.Gauge("relay_upstreams_limited", func() float64 { return float64(h.pauses.Limited()) })
	h.meter.Gauge("relay_messages_rejected", func() float64 { return float64(h.memory.Rejected()) })
	h.meter.Gauge("relay_message_bytes", func() float64 { return float64(h.memory.Used()) })
	h.meter.Gauge("relay_headers_rejected", func() float64 { return float64(h.connections.Headers.Load()) })
	h.meter.Gauge("relay_connections_closed_unread", func() float64 { return float64(h.connections.Unread.Load()) })
	h.meter.Gauge("relay_connections_evicted", func() float64 { return float64(h.connections.Evicted.Load()) })
	h.meter.Gauge("relay_connections_refused", func() float64 { return float64(h.connections.Refused.Load()) })
	h.meter.Gauge("relay_requests_blocked", func() float64 { return float64(h.poison.BlockedPatterns()) })
	h.meter.Gauge("relay_crash_parts_omitted", func() float64 { return float64(h.poison.Omitted()) })
	h.meter.Gauge("relay_replica_age_seconds", func() float64 { return h.replica.Age().Seconds() })
	h.meter.Gauge("relay_replica_cursor", func() float64 { return float64(h.replica.Cursor()) })
	h.meter.Gauge("relay_log_lines_dropped", func() float64 { return float64(out.Dropped()) })
	h.meter.Gauge("relay_table_version", func() float64 {
		if table := h.routes.Table(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	h.meter.Gauge("relay_jobs_unassigned", func() float64 { return float64(h.stager.Refused()) })
	h.meter.Gauge("relay_schedules_alone", func() float64 {
		if h.stager.Alone() {
			return 1
		}
		return 0
	})
	h.meter.Gauge("relay_ready", func() float64 {
		if h.ready() {
			return 1
		}
		return 0
	})
}

func (h *Host) newCoordinator(id cell.ID) *coordinator.Coordinator {
	return coordinator.New(coordinator.Config{
		Codec:    h.platform.Codec,
		Batches:  h.clients.batches,
		Releases: h.clients.releases,
		Table:    h.routes.Table,
		Fleet:    h.fleet.Snapshot,
		Held:     h.releases.Held,
		Includes: id.Includes,
		Chooser:  placement.New(time.Now, rand.Float64, placement.WithPrefixes(coordinatorPrefixes)),
		Pauses:   h.pauses,
		OnPlace:  h.noteStream,
		Memory:   h.memory,
		Meter:    h.meter,
		Now:      time.Now,
		Log:      h.log.With().Str("cell", string(id)).Logger(),
	})
}

// newRelayServer returns the server of the calls of other hosts.
func (h *Host) newRelayServer() *grpcrelay.Server {
	return grpcrelay.NewServer(grpcrelay.ServerConfig{
		Coordinators: h.coordinatorForOthers,
		Replica:      h.replica,
		Record:       h.streams.Adopt,
		Now:          time.Now,
	})
}

// coordinatorForOthers returns the coordinator of a cell for the jobs of other hosts. It
// returns nil until the first listing of the store has been applied: a job would otherwise
// fail for lack of upstreams.
func (h *Host) coordinatorForOthers(id cell.ID) *coordinator.Coordinator {
	if h.replica.Cursor() == 0 || h.routes.Table() == nil {
		return nil
	}
	return h.coordinators.get(id)
}

// observe merges the leaders that another host reports, records that it responds, and
// schedules a transfer from it if its replica is ahead.
func (h *Host) observe(message peer.Message) {
	h.leaders.Merge(message.Leaders, h.peers.table.Snapshot())
	h.responses.Heard(message.From.Host)
	if !h.replica.Confirm(kv.Cursor(message.Documents), message.Age) {
		return
	}
	select {
	case h.syncSources <- message.From.Host:
	default: // another transfer is pending
	}
}

// syncReplica fetches the changes that the replica lacks from hosts that have them. At
// the start it also announces this host to the seeds, since the store may be
// unavailable.
func (h *Host) syncReplica(ctx context.Context) error {
	backoff := minAnnounceBackoff
	announceTimer := time.NewTimer(rand.N(backoff))
	defer announceTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case source := <-h.syncSources:
			address, err := h.peers.address(source)
			if err == nil {
				h.transfer(ctx, address)
			}
		case <-announceTimer.C:
			if h.replica.Cursor() == 0 || h.liveHosts() <= 1 {
				h.peers.announceToSeed(ctx, h.seeds())
				announceTimer.Reset(backoff/2 + rand.N(backoff))
				backoff = min(2*backoff, maxAnnounceBackoff)
			}
		}
	}
}

// seeds returns the peer addresses in the settings, except for those of this host.
func (h *Host) seeds() []ident.Address {
	return slices.DeleteFunc(slices.Clone(h.settings.Seeds), func(seed ident.Address) bool {
		return seed == h.settings.Peers || seed == h.settings.Advertise
	})
}

// transfer fetches the changes that the replica lacks from another host and applies
// them.
func (h *Host) transfer(ctx context.Context, from ident.Address) {
	start := time.Now()
	after := h.replica.Cursor()
	delta, err := h.relayClient.Sync(ctx, from, after, h.replica.Entry(h.platform.Keys.Table))
	if err != nil {
		h.log.Debug().Err(err).Str("peer", string(from)).Msg("replica: transfer from another host failed")
		return
	}
	received := time.Now()
	h.meter.Transfer(delta.Bytes)
	before := h.replica.Cursor()
	if !h.replica.Apply(delta) {
		h.log.Info().Str("peer", string(from)).Uint64("after", uint64(delta.After)).Uint64("cursor", uint64(after)).Msg("replica: transfer ignored, it starts after the cursor of this replica")
		return
	}
	if delta.Cursor <= before {
		return
	}
	h.log.Info().Str("peer", string(from)).Uint64("before", uint64(before)).Uint64("after", uint64(delta.After)).Uint64("cursor", uint64(delta.Cursor)).Int("changes", len(delta.Changes)).Int("removals", delta.Removals()).Int("bytes", delta.Bytes).Dur("transfer", received.Sub(start)).Dur("applying", time.Since(received)).Msg("replica: changes from another host applied")
}

// liveHosts returns the number of live hosts. It is at least 1, also while this host is
// leaving.
func (h *Host) liveHosts() int {
	return max(1, len(h.peers.table.Snapshot().Live()))
}

func (h *Host) isStopping() bool {
	select {
	case <-h.stopping:
		return true
	default:
		return false
	}
}

// ready reports whether the host can serve callers.
func (h *Host) ready() bool {
	return !h.isStopping() && h.routes.Table() != nil && len(h.fleet.Snapshot().All()) > 0
}

// Run serves until ctx ends, then shuts down gracefully: the other components keep
// running until the port for callers has been closed.
func (h *Host) Run(ctx context.Context) error {
	callerListener, err := listen(ctx, h.settings.Callers)
	if err != nil {
		return err
	}
	readyListener, err := listen(ctx, h.settings.Ready)
	if err != nil {
		return err
	}
	metricsListener, err := listen(ctx, h.settings.Metrics)
	if err != nil {
		return err
	}
	peerListener, err := listen(ctx, h.settings.Peers)
	if err != nil {
		return err
	}
	peerListener = netutil.LimitListener(peerListener, peerConnections(h.settings))
	componentCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	var group run.Group
	reader := discovery.NewReader(discovery.ReaderConfig{
		Store:      h.store,
		Health:     h.health,
		Replica:    h.replica,
		Log:        h.log,
		ProbeKey:   h.platform.Keys.Table,
		MaxAge:     h.settings.Apply - pollMargin,
		IsReader:   h.isReader,
		HandOver:   h.handOverReaderDuty,
		AskHosts:   h.peers.ask,
		LiveHosts:  h.liveHosts,
		ListsFirst: len(h.seeds()) < max(1, len(h.settings.Seeds)),
		ListStale:  h.store.ListStale,
	})
	h.addComponent(componentCtx, &group, "reader", reader.Run)
	h.addComponent(componentCtx, &group, "sync", h.syncReplica)
	for name, publisher := range h.publishers() {
		h.addComponent(componentCtx, &group, name, publisher.Run)
	}
	recorder := resumption.NewRecorder(resumption.RecorderConfig{
		Store:    h.store,
		Host:     h.settings.Host,
		Started:  h.started,
		Releases: h.releases,
		Streams:  h.streams,
		Epoch:    func() kv.Epoch { return kv.EpochOf(h.replica.Cursor()) },
		Share:    h.shareRecord,
		Log:      h.log,
	})
	h.addComponent(componentCtx, &group, "recorder", recorder.Run)
	h.addComponent(componentCtx, &group, "coordinators", h.coordinators.run)
	h.addComponent(componentCtx, &group, "peers", h.peers.serve(peerListener))
	h.addComponent(componentCtx, &group, "gossip", h.peers.runner.Run)
	h.addComponent(componentCtx, &group, "join", h.peers.join)
	h.addComponent(componentCtx, &group, "rumours", h.peers.handleRumours)
	h.addComponent(componentCtx, &group, "ticks", h.tick)
	h.addComponent(componentCtx, &group, "readiness", func(ctx context.Context) error {
		return h.serve(ctx, readyListener, h.readyHandler())
	})
	h.addComponent(componentCtx, &group, "metrics", func(ctx context.Context) error {
		return h.serve(ctx, metricsListener, h.metricsHandler())
	})
	group.Add(func() error {
		return h.serveCallers(ctx, callerListener)
	}, func(error) {
		stopComponents()
	})
	h.log.Info().Str("callers", string(h.settings.Callers)).Msg("host: started")
	err = group.Run()
	h.clients.each((*upstreamhttp.Client).Close)
	h.log.Info().Err(err).Msg("host: stopped")
	return err
}

// addComponent adds a component to the group and logs the error with which it ends.
func (h *Host) addComponent(ctx context.Context, group *run.Group, name string, component func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		err := component(ctx)
		if err != nil {
			h.log.Error().Err(err).Str("part", name).Msg("host: component failed")
		}
		return err
	}, func(error) {
		cancel()
	})
}

// tick completes unconfirmed removals of upstreams, closes idle connections and logs that
// limits have been met at regular intervals.
func (h *Host) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var limits limitLog
	for {
		select {
		case <-ctx.Done():
			limits.write(h, h.log)
			return nil
		case now := <-ticker.C:
			h.replica.Tick()
			limits.write(h, h.log)
			h.fleet.Tick(now)
			h.poison.Sweep()
			h.streams.Sweep()
			h.clients.each((*upstreamhttp.Client).Sweep)
		}
	}
}

// readyHandler serves the readiness check of the load balancer.
func (h *Host) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != h.platform.ReadyPath:
			w.WriteHeader(http.StatusNotFound)
		case !h.ready():
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
		}
	})
}

// metricsHandler serves the metrics as text.
func (h *Host) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != metricsPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		h.meter.Write(w)
	})
}

func listen(ctx context.Context, address ident.Address) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", string(address))
	return listener, errors.Annotatef(err, "listen on %s", address)
}

func storeClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return upstreamhttp.Dial(ctx, ident.Address(address))
			},
			MaxIdleConnsPerHost:    8,
			MaxResponseHeaderBytes: maxStoreHeader,
			IdleConnTimeout:        time.Minute,
			DisableCompression:     true,
		},
	}
}
