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

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/budget"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/forward"
	"github.com/nutmegshift/nutmegshift/internal/relay/grpcrelay"
	"github.com/nutmegshift/nutmegshift/internal/relay/logging"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/settings"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/httpkv"
	"github.com/nutmegshift/nutmegshift/peer"
)

const (
	// watchWait is shorter than common idle limits of connections on the way.
	watchWait    = 20 * time.Second
	tickInterval = 500 * time.Millisecond
	// spreadTime is left of the time in which a routing table has to be in force,
	// for a host that asks the store itself.
	spreadTime = 800 * time.Millisecond
	// A host that knows no other greets a seed after firstGreet, then less and
	// less often up to lastGreet: many hosts may start at the same time.
	firstGreet  = 30 * time.Millisecond
	lastGreet   = 400 * time.Millisecond
	metricsPath = "/metrics"
)

// Platform is what differs between platforms.
type Platform struct {
	Codec     wire.Codec
	Keys      wire.Keys
	Store     httpkv.Protocol
	ReadyPath string
}

// Host is one host.
type Host struct {
	settings     *settings.Relay
	platform     Platform
	log          zerolog.Logger
	meter        *meter.Meter
	poison       *poison.Table
	health       *discovery.Health
	store        kv.Store
	routes       *routes.Holder
	fleet        *fleet.Directory
	client       *upstreamhttp.Client
	replica      *discovery.Replica
	peers        *peers
	calls        *grpcrelay.Client
	leaders      *duty.Leaders
	coordinators *coordinators
	handler      *forward.Handler
	behind       chan ident.HostID // hosts that know more of the store
	started      time.Time
	stopping     chan struct{}
}

// New wires a host.
func New(s *settings.Relay, platform Platform, out *logging.Log) *Host {
	log := out.With().Str("host", string(s.Host)).Logger()
	h := &Host{
		settings: s,
		platform: platform,
		log:      log,
		meter:    meter.New(),
		poison:   poison.NewTable(time.Now),
		health:   discovery.NewHealth(log, time.Now),
		routes:   &routes.Holder{},
		fleet:    fleet.New(),
		behind:   make(chan ident.HostID, 1),
		started:  time.Now(),
		stopping: make(chan struct{}),
	}
	h.store = httpkv.New(httpkv.Config{
		Address:  s.Store,
		Client:   storeClient(),
		Limit:    s.StoreTimeout,
		Wait:     watchWait,
		Protocol: platform.Store,
	})
	h.client = upstreamhttp.New(upstreamhttp.Config{
		Codec:  platform.Codec,
		Dial:   upstreamhttp.Dial,
		Now:    time.Now,
		Opened: h.meter.Connected,
	})
	h.coordinators = newCoordinators(h.newCoordinator)
	sinks := sinks{
		platform.Keys.Table: tableSink{
			Host: h,
		},
		platform.Keys.Upstreams: fleetSink{
			Host: h,
		},
	}
	h.replica = discovery.NewReplica(sinks, s.Renewal, time.Now)
	leaders := duty.New(func(name duty.Name) bool { return !slices.Contains(reading, name) })
	h.leaders = leaders
	h.peers = newPeers(s, h.replica, leaders, h.observe, h.poison, grpcrelay.NewServer(h.coordinators.get, h.replica, time.Now), log)
	sinks[hostsPrefix] = h.peers
	h.calls = grpcrelay.NewClient(h.peers.client.Connection, time.Now)
	h.handler = forward.New(forward.Config{
		Codec:      platform.Codec,
		Routes:     h.routes,
		Fleet:      h.fleet,
		Client:     h.client,
		Chooser:    placement.New(time.Now, rand.Float64),
		Popularity: placement.NewPopularity(),
		Budget: budget.New(budget.Config{
			Share:     s.RetryShare,
			Allowance: s.Allowance,
			Window:    s.Window,
			Hosts:     h.hosts,
		}),
		Poison:   h.poison,
		OnStrike: h.struck,
		Meter:    h.meter,
		Stager: cell.New(cell.Config{
			Self:    s.Host,
			Domain:  s.Domain,
			Hosts:   h.peers.table.Snapshot,
			Leaders: leaders,
			Table:   h.routes.Table,
			Fleet:   h.fleet.Snapshot,
			Local:   h.coordinators.get,
			Remote:  h.calls,
			Now:     time.Now,
			Log:     log,
		}),
		Domain:   s.Domain,
		Hosts:    h.hosts,
		Stopping: h.isStopping,
		Replica: func() (kv.Cursor, time.Duration) {
			return h.replica.Cursor(), h.replica.Age()
		},
		Now: time.Now,
		Log: log,
	})
	h.gauges(out)
	return h
}

// gauges shows what the host knows and how old it is.
func (h *Host) gauges(out *logging.Log) {
	h.meter.Gauge("relay_hosts", func() float64 { return float64(h.hosts()) })
	h.meter.Gauge("relay_upstreams", func() float64 { return float64(len(h.fleet.Snapshot().All())) })
	h.meter.Gauge("relay_replica_age_seconds", func() float64 { return h.replica.Age().Seconds() })
	h.meter.Gauge("relay_replica_cursor", func() float64 { return float64(h.replica.Cursor()) })
	h.meter.Gauge("relay_log_lines_dropped", func() float64 { return float64(out.Dropped()) })
	h.meter.Gauge("relay_table_version", func() float64 {
		if table := h.routes.Table(); table != nil {
			return float64(table.Version)
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

// struck tells the other hosts how many upstreams a request has crashed.
func (h *Host) struck(fingerprint poison.Fingerprint, strikes int) {
	h.peers.gossip.Publish(peer.FingerprintStruck{
		Fingerprint: peer.Fingerprint(fingerprint),
		Strikes:     strikes,
		Version:     kv.Version(strikes),
	})
}

func (h *Host) newCoordinator(id cell.ID) *coordinator.Coordinator {
	return coordinator.New(coordinator.Config{
		Codec:    h.platform.Codec,
		Client:   h.client,
		Table:    h.routes.Table,
		Fleet:    h.fleet.Snapshot,
		Includes: id.Includes,
		Chooser:  placement.New(time.Now, rand.Float64),
		Meter:    h.meter,
		Now:      time.Now,
		Log:      h.log.With().Str("cell", string(id)).Logger(),
	})
}

// observe takes what another host says of its replica and its leaders.
func (h *Host) observe(message peer.Message) {
	h.leaders.Merge(message.Leaders, h.peers.table.Snapshot())
	if !h.replica.Confirm(kv.Cursor(message.Documents), message.Age) {
		return
	}
	select {
	case h.behind <- message.From.Host:
	default: // a transfer is due already
	}
}

// sync gets what this host's replica lacks from hosts that have it. At the start
// it makes itself known to the seeds, since the store may be away.
func (h *Host) sync(ctx context.Context) error {
	pause := firstGreet
	greet := time.NewTimer(rand.N(pause))
	defer greet.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case other := <-h.behind:
			address, err := h.peers.address(other)
			if err == nil {
				h.transfer(ctx, address)
			}
		case <-greet.C:
			if h.replica.Cursor() == 0 || h.hosts() <= 1 {
				h.peers.greet(ctx, h.seeds())
				greet.Reset(pause/2 + rand.N(pause))
				pause = min(2*pause, lastGreet)
			}
		}
	}
}

// seeds returns the peer ports of other hosts that the settings name.
func (h *Host) seeds() []ident.Address {
	return slices.DeleteFunc(slices.Clone(h.settings.Seeds), func(seed ident.Address) bool {
		return seed == h.settings.Peers || seed == h.settings.Advertise
	})
}

// transfer completes the replica by that of another host.
func (h *Host) transfer(ctx context.Context, from ident.Address) {
	after := h.replica.Cursor()
	delta, err := h.calls.Sync(ctx, from, after)
	if err != nil {
		h.log.Debug().Err(err).Str("peer", string(from)).Msg("replica: transfer failed")
		return
	}
	if !h.replica.Apply(delta) {
		h.log.Info().Str("peer", string(from)).Uint64("after", uint64(delta.After)).Uint64("cursor", uint64(after)).Msg("replica: transfer does not fit")
	}
}

// hosts returns the number of live hosts, of which this one is one even while it
// stops.
func (h *Host) hosts() int {
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

// Run serves until ctx ends, then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	callers, err := listen(ctx, h.settings.Callers)
	if err != nil {
		return err
	}
	ready, err := listen(ctx, h.settings.Ready)
	if err != nil {
		return err
	}
	numbers, err := listen(ctx, h.settings.Metrics)
	if err != nil {
		return err
	}
	others, err := listen(ctx, h.settings.Peers)
	if err != nil {
		return err
	}
	key, value, err := h.peers.entry()
	if err != nil {
		return err
	}
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	var group run.Group
	reader := discovery.NewReader(discovery.ReaderConfig{
		Store:      h.store,
		Health:     h.health,
		Replica:    h.replica,
		ProbeKey:   h.platform.Keys.Table,
		MaxAge:     h.settings.Apply - spreadTime,
		IsReader:   h.reads,
		HandOver:   h.passReading,
		LiveHosts:  h.hosts,
		ListsFirst: len(h.seeds()) < max(1, len(h.settings.Seeds)),
	})
	h.add(parts, &group, "reader", reader.Run)
	h.add(parts, &group, "sync", h.sync)
	registration := discovery.NewRegistration(h.store, h.health, h.replica, h.log, key, value, h.settings.Lease)
	h.add(parts, &group, "registration", func(ctx context.Context) error {
		return registration.Run(ctx, h.stopping)
	})
	h.add(parts, &group, "coordinators", h.coordinators.run)
	h.add(parts, &group, "peers", h.peers.serve(others))
	h.add(parts, &group, "gossip", h.peers.runner.Run)
	h.add(parts, &group, "rumours", h.peers.hear)
	h.add(parts, &group, "ticks", h.tick)
	h.add(parts, &group, "readiness", func(ctx context.Context) error {
		return h.serve(ctx, ready, h.readyHandler())
	})
	h.add(parts, &group, "metrics", func(ctx context.Context) error {
		return h.serve(ctx, numbers, h.metricsHandler())
	})
	group.Add(func() error {
		return h.serveCallers(ctx, callers)
	}, func(error) {
		stopParts()
	})
	h.log.Info().Str("callers", string(h.settings.Callers)).Msg("host: started")
	err = group.Run()
	h.client.Close()
	h.log.Info().Err(err).Msg("host: stopped")
	return err
}

// add runs one part as an actor of the group.
func (h *Host) add(ctx context.Context, group *run.Group, name string, part func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		err := part(ctx)
		if err != nil {
			h.log.Error().Err(err).Str("part", name).Msg("host: part ended")
		}
		return err
	}, func(error) {
		cancel()
	})
}

// tick does what is due from time to time.
func (h *Host) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			h.fleet.Tick(now)
			h.client.Sweep()
		}
	}
}

// readyHandler answers the load balancer.
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

// metricsHandler serves the counts as text.
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
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
	}
}
