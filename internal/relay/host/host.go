package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/budget"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/forward"
	"github.com/nutmegshift/nutmegshift/internal/relay/grpcrelay"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/settings"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/httpkv"
)

const (
	// watchWait is shorter than common idle limits of connections on the way.
	watchWait    = 20 * time.Second
	tickInterval = 500 * time.Millisecond
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
	metrics      *metrics.Set
	health       *discovery.Health
	store        kv.Store
	routes       *routes.Holder
	fleet        *fleet.Directory
	client       *upstreamhttp.Client
	follower     *discovery.Follower
	peers        *peers
	coordinators *coordinators
	handler      *forward.Handler
	stopping     chan struct{}
}

// New wires a host.
func New(s *settings.Relay, platform Platform, log zerolog.Logger) *Host {
	h := &Host{
		settings: s,
		platform: platform,
		log:      log,
		metrics:  metrics.NewSet(),
		health:   discovery.NewHealth(log, time.Now),
		routes:   &routes.Holder{},
		fleet:    fleet.New(),
		stopping: make(chan struct{}),
	}
	h.store = httpkv.New(httpkv.Config{
		Address:  s.Store,
		Client:   storeClient(),
		Limit:    s.Call,
		Wait:     watchWait,
		Protocol: platform.Store,
	})
	opened := h.metrics.NewCounter("upstream_connections_total")
	h.client = upstreamhttp.New(upstreamhttp.Config{
		Codec:  platform.Codec,
		Dial:   upstreamhttp.Dial,
		Now:    time.Now,
		Opened: opened.Inc,
	})
	h.coordinators = newCoordinators(h.newCoordinator)
	h.peers = newPeers(s, h.version, h.observe, grpcrelay.NewServer(h.coordinators.get, time.Now), log)
	h.follower = discovery.NewFollower(h.store, h.health, sinks{
		platform.Keys.Table: tableSink{
			Host: h,
		},
		platform.Keys.Upstreams: fleetSink{
			Host: h,
		},
		hostsPrefix: h.peers,
	})
	h.handler = forward.New(forward.Config{
		Codec:   platform.Codec,
		Routes:  h.routes,
		Fleet:   h.fleet,
		Client:  h.client,
		Chooser: placement.New(time.Now),
		Budget: budget.New(budget.Config{
			Share:     s.Repeats,
			Allowance: s.Allowance,
			Window:    s.Window,
			Hosts:     h.hosts,
		}),
		Stager: cell.New(cell.Config{
			Self:   s.Host,
			Domain: s.Domain,
			Hosts:  h.peers.table.Snapshot,
			Table:  h.routes.Table,
			Fleet:  h.fleet.Snapshot,
			Local:  h.coordinators.get,
			Remote: grpcrelay.NewClient(h.peers.client.Connection, time.Now),
			Log:    log,
		}),
		Domain:      s.Domain,
		Connections: h.connections,
		Stopping:    h.isStopping,
		Now:         time.Now,
		Log:         log,
	})
	return h
}

func (h *Host) newCoordinator(id cell.ID) *coordinator.Coordinator {
	return coordinator.New(coordinator.Config{
		Codec:    h.platform.Codec,
		Client:   h.client,
		Table:    h.routes.Table,
		Fleet:    h.fleet.Snapshot,
		Includes: id.Includes,
		Now:      time.Now,
		Log:      h.log.With().Str("cell", string(id)).Logger(),
	})
}

// version returns the version of the routing table in force, 0 if there is none.
func (h *Host) version() uint64 {
	if table := h.routes.Table(); table != nil {
		return uint64(table.Version)
	}
	return 0
}

// observe reads the routing table again if another host has a newer one.
func (h *Host) observe(other ident.HostID, version uint64) {
	if version > h.version() {
		h.log.Info().Str("peer", string(other)).Uint64("version", version).Msg("table: another host has a newer one")
		h.follower.Again()
	}
}

// hosts returns the number of live hosts.
func (h *Host) hosts() int {
	return len(h.peers.table.Snapshot().Live())
}

// connections returns this host's share of the connections to one upstream.
func (h *Host) connections(service *routes.Service) int {
	if service.Connections <= 0 {
		return 0
	}
	return max(1, service.Connections/h.hosts())
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
	poller := discovery.NewPoller(h.store, h.health, h.follower, h.platform.Keys.Table, tableSink{
		Host: h,
	})
	h.add(parts, &group, "follower", h.follower.Run)
	h.add(parts, &group, "poller", poller.Run)
	h.add(parts, &group, "registration", discovery.NewRegistration(h.store, h.health, h.log, key, value, h.settings.Lease).Run)
	h.add(parts, &group, "coordinators", h.coordinators.run)
	h.add(parts, &group, "peers", h.peers.serve(others))
	h.add(parts, &group, "gossip", h.peers.runner.Run)
	h.add(parts, &group, "rumours", h.peers.hear)
	h.add(parts, &group, "ticks", h.tick)
	h.add(parts, &group, "readiness", func(ctx context.Context) error {
		return serve(ctx, ready, h.readyHandler())
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
