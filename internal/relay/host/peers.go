package host

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/internal/relay/grpcrelay"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/settings"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/peer/grpcpeer"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// hostsPrefix is where hosts register themselves.
const hostsPrefix kv.Key = "hosts/"

// errNotServed answers calls of the peer protocol that this daemon has no part in.
const errNotServed = errors.ConstError("not served by this host")

// registration is what a host writes about itself.
type registration struct {
	Address  ident.Address       `json:"address"`
	Domain   ident.FailureDomain `json:"domain"`
	Region   ident.Region        `json:"region"`
	Life     ident.Incarnation   `json:"life"`
	Capacity float32             `json:"capacity"` // cores
}

// peers is this host's side of the protocol between hosts.
type peers struct {
	self    ident.HostID
	log     zerolog.Logger
	strikes *poison.Table
	table   *peer.Table
	gossip  *peer.Gossip
	client  *grpcpeer.Client
	runner  *grpcpeer.Runner
	server  *grpcpeer.Server
	listed  map[ident.HostID]peer.Row // guarded by the replica that calls the sink
}

var (
	_ discovery.Sink   = (*peers)(nil)
	_ grpcpeer.Handler = (*peers)(nil)
)

// newPeers returns the peers of a host. Hosts exchange the cursors of their
// replicas with their ages, and the leaders that they follow; observe is told
// those of other hosts.
func newPeers(s *settings.Relay, replica *discovery.Replica, leaders *duty.Leaders, observe func(message peer.Message), strikes *poison.Table, relay *grpcrelay.Server, log zerolog.Logger) *peers {
	clock := timeline.NewClock(time.Now)
	p := &peers{
		self:    s.Host,
		log:     log,
		strikes: strikes,
		table: peer.NewTable(peer.Row{
			Host:        s.Host,
			Address:     s.Advertise,
			Domain:      s.Domain,
			Region:      s.Region,
			Incarnation: ident.Incarnation(time.Now().UnixMilli()),
			Capacity:    float32(s.Processor),
		}),
		client: grpcpeer.NewClient(s.Host, clock, time.Now),
		listed: make(map[ident.HostID]peer.Row),
	}
	p.gossip = peer.NewGossip(peer.Config{
		Table:     p.table,
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Documents: func() uint64 { return uint64(replica.Cursor()) },
		Age:       replica.Age,
		Leaders:   leaders.Report,
		Observe:   observe,
	})
	p.runner = grpcpeer.NewRunner(p.gossip, p.table, p.client, time.Now)
	p.server = grpcpeer.NewServer(p, clock, time.Now, relay.Register)
	return p
}

// serve answers other hosts until ctx ends.
func (p *peers) serve(listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		defer p.client.Close()
		return p.server.Serve(ctx, listener)
	}
}

// entry returns the key and value of this host's registration.
func (p *peers) entry() (kv.Key, []byte, error) {
	row, _ := p.table.Snapshot().Row(p.self)
	value, err := json.Marshal(registration{
		Address:  row.Address,
		Domain:   row.Domain,
		Region:   row.Region,
		Life:     row.Incarnation,
		Capacity: row.Capacity,
	})
	return hostsPrefix + kv.Key(p.self), value, errors.Annotate(err, "encode registration")
}

// Put implements discovery.Sink.
func (p *peers) Put(entry kv.Entry) {
	var r registration
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		p.log.Error().Err(err).Str("key", string(entry.Key)).Msg("peers: registration not readable")
		return
	}
	p.listed[hostOf(entry.Key)] = peer.Row{
		Host:        hostOf(entry.Key),
		Address:     r.Address,
		Domain:      r.Domain,
		Region:      r.Region,
		Incarnation: r.Life,
		State:       peer.Alive,
		Capacity:    r.Capacity,
	}
	p.merge()
}

// Removed implements discovery.Sink. A host whose entry is removed may still
// run; the gossip finds out.
func (p *peers) Removed(key kv.Key, _ kv.Version, _ time.Time) {
	delete(p.listed, hostOf(key))
	p.merge()
}

func (p *peers) merge() {
	rows := make([]peer.Row, 0, len(p.listed))
	for _, row := range p.listed {
		rows = append(rows, row)
	}
	p.table.Merge(time.Now(), rows)
}

func hostOf(key kv.Key) ident.HostID {
	return ident.HostID(strings.TrimPrefix(string(key), string(hostsPrefix)))
}

// address returns the peer port of a live host.
func (p *peers) address(host ident.HostID) (ident.Address, error) {
	row, ok := p.table.Snapshot().Row(host)
	if !ok || !row.Live() || row.Address == "" {
		return "", errors.NotFoundf("live host %q", host)
	}
	return row.Address, nil
}

// greet makes this host known to one of the seeds, and takes what that tells of
// others.
func (p *peers) greet(ctx context.Context, seeds []ident.Address) {
	if len(seeds) == 0 {
		return
	}
	p.tell(ctx, seeds[rand.IntN(len(seeds))])
}

// tell sends a message to a host besides the regular ones.
func (p *peers) tell(ctx context.Context, address ident.Address) {
	reply, err := p.client.Exchange(ctx, address, p.gossip.Announcement())
	if err != nil {
		p.log.Debug().Err(err).Str("peer", string(address)).Msg("peers: no answer")
		return
	}
	p.gossip.Announced(time.Now(), reply)
}

// hear logs what changes the members until ctx ends.
func (p *peers) hear(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case rumour := <-p.gossip.Rumours():
			switch r := rumour.(type) {
			case peer.HostSuspected:
				p.log.Info().Str("peer", string(r.Host)).Msg("peers: suspected")
			case peer.HostAlive:
				p.log.Info().Str("peer", string(r.Row.Host)).Msg("peers: alive")
			case peer.HostLeaving:
				p.log.Info().Str("peer", string(r.Host)).Msg("peers: leaving")
			case peer.FingerprintStruck:
				p.strikes.Merge(poison.Fingerprint(r.Fingerprint), r.Strikes)
				p.log.Info().Hex("fingerprint", r.Fingerprint[:]).Int("strikes", r.Strikes).Msg("poison: request has crashed upstreams elsewhere")
			case peer.UpstreamLeaving, peer.UpstreamCrashed, peer.FingerprintCleared, peer.DocumentRevised, peer.TopOrganisations:
				// These belong to the other daemon.
			}
		}
	}
}

// Exchange implements grpcpeer.Handler.
func (p *peers) Exchange(message peer.Message) peer.Message {
	return p.gossip.Receive(time.Now(), message)
}

// Claim implements grpcpeer.Handler.
func (p *peers) Claim(context.Context, ident.HostID, []grpcpeer.ClaimItem) ([][]byte, error) {
	return nil, errNotServed
}

// Documents implements grpcpeer.Handler.
func (p *peers) Documents([]ident.ServiceName, map[ident.ServiceName]ident.Revision, int) []document.Versioned {
	return nil
}

// Strike implements grpcpeer.Handler.
func (p *peers) Strike(context.Context, ident.HostID, []byte) error {
	return errNotServed
}
