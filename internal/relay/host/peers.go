package host

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/internal/relay/grpcrelay"
	"github.com/nutmegshift/nutmegshift/internal/relay/memberlist"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/settings"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/peer/grpcpeer"
	"github.com/nutmegshift/nutmegshift/timeline"
)

const (
	// membersKey is the key of the list of hosts in the store.
	membersKey kv.Key = "members"
	// maxMembersValue is the size in bytes up to which the list is kept. A list of 4,000
	// hosts takes a third of it.
	maxMembersValue = 128 << 10
	// joinMessages is the number of hosts to which a host that has started announces itself
	// once it has the list of hosts. With half of the hosts down, three of four hosts reach
	// one.
	joinMessages = 2
	// askMessages is the number of hosts that a host asks for changes that it lacks. With
	// half of the hosts down, fifteen of sixteen hosts reach one.
	askMessages = 4
)

// errNotServed is the response to the calls of the peer protocol that only entry hosts
// serve.
const errNotServed = errors.ConstError("not served by this host")

// peers holds the membership and the gossip of this host, and the client and server of
// its peer port.
type peers struct {
	self       ident.HostID
	log        zerolog.Logger
	crashes    *poison.Table
	draining   func(rumour peer.UpstreamLeaving) // called for upstreams that drain, as seen by other hosts
	table      *peer.Table
	gossip     *peer.Gossip
	client     *grpcpeer.Client
	runner     *grpcpeer.Runner
	server     *grpcpeer.Server
	listWriter *memberlist.Writer
	members    atomic.Pointer[map[ident.HostID]bool] // the list of hosts; nil before it has been received
	listed     chan struct{}                         // closed when the list of hosts has been received
	listedOnce sync.Once
}

var (
	_ discovery.Sink   = (*peers)(nil)
	_ grpcpeer.Handler = (*peers)(nil)
)

// newPeers returns the peers of a host. Gossip messages carry the cursor and the age of
// the sender's replica and the leaders that the sender follows; observe is called with
// each message from another host.
func newPeers(s *settings.Relay, replica *discovery.Replica, leaders *duty.Leaders, observe func(message peer.Message), crashes *poison.Table, draining func(rumour peer.UpstreamLeaving), relay *grpcrelay.Server, log zerolog.Logger) *peers {
	clock := timeline.NewClock(time.Now)
	p := &peers{
		self:     s.Host,
		log:      log,
		crashes:  crashes,
		draining: draining,
		table: peer.NewTable(peer.Row{
			Host:        s.Host,
			Address:     s.Advertise,
			Domain:      s.Domain,
			Region:      s.Region,
			Incarnation: ident.Incarnation(time.Now().UnixMilli()),
			Capacity:    float32(s.Processor),
		}),
		client:     grpcpeer.NewClient(s.Host, clock, time.Now),
		listWriter: memberlist.NewWriter(time.Now),
		listed:     make(chan struct{}),
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

// serve returns a function that serves the peer port until its context ends.
func (p *peers) serve(listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		defer p.client.Close()
		return p.server.Serve(ctx, listener)
	}
}

// nextMembers returns the value that the list of hosts in the store should have in place
// of the present one.
func (p *peers) nextMembers(present []byte) ([]byte, error) {
	var listed []memberlist.Member
	if present != nil {
		decoded, err := memberlist.Decode(present)
		if err != nil {
			p.log.Error().Err(err).Msg("peers: list of hosts not readable, writing it anew")
		}
		listed = decoded
	}
	view := p.table.Snapshot()
	live := make([]memberlist.Member, 0, len(view.Live()))
	for _, row := range view.Live() {
		live = append(live, memberlist.Member{
			Host:     row.Host,
			Address:  row.Address,
			Domain:   row.Domain,
			Region:   row.Region,
			Capacity: row.Capacity,
		})
	}
	return memberlist.Encode(p.listWriter.Next(listed, live))
}

// Put implements discovery.Sink.
func (p *peers) Put(entry kv.Entry) {
	if entry.Key != membersKey {
		return
	}
	members, err := memberlist.Decode(entry.Value)
	if err != nil {
		p.log.Error().Err(err).Uint64("revision", uint64(entry.Version)).Msg("peers: list of hosts not readable, the last one is kept")
		return
	}
	rows := make([]peer.Row, 0, len(members))
	listed := make(map[ident.HostID]bool, len(members))
	for _, member := range members {
		listed[member.Host] = true
		rows = append(rows, peer.Row{
			Host:     member.Host,
			Address:  member.Address,
			Domain:   member.Domain,
			Region:   member.Region,
			State:    peer.Alive,
			Capacity: member.Capacity,
		})
	}
	p.table.Merge(time.Now(), rows)
	p.members.Store(&listed)
	p.listedOnce.Do(func() { close(p.listed) })
}

// Removed implements discovery.Sink. The listed hosts may still run; failure detection by
// gossip decides whether they are alive.
func (p *peers) Removed(key kv.Key, _ kv.Version, _ time.Time) {
	if key == membersKey {
		p.table.Merge(time.Now(), nil)
	}
}

// address returns the peer port of a live host.
func (p *peers) address(host ident.HostID) (ident.Address, error) {
	row, ok := p.table.Snapshot().Row(host)
	if !ok || !row.Live() || row.Address == "" {
		return "", errors.NotFoundf("live host %q", host)
	}
	return row.Address, nil
}

// join announces this host to a few random hosts once it has the list of hosts, so that it
// learns at once whom the others follow. It returns when ctx ends.
func (p *peers) join(ctx context.Context) error {
	select {
	case <-p.listed:
	case <-ctx.Done():
		return nil
	}
	p.announceToSome(ctx, joinMessages)
	<-ctx.Done()
	return nil
}

// announceToSome announces this host to a number of random live hosts, and so learns whether
// they have later documents. It returns once all of them have replied or failed to.
func (p *peers) announceToSome(ctx context.Context, count int) {
	others := p.some(count)
	announced := make(chan struct{})
	for _, row := range others {
		go func(ctx context.Context) {
			p.announce(ctx, row.Address)
			announced <- struct{}{}
		}(ctx)
	}
	for range others {
		<-announced
	}
}

// some returns a number of random live hosts, fewer if there are not as many.
func (p *peers) some(count int) []peer.Row {
	others := slices.DeleteFunc(slices.Clone(p.table.Snapshot().Live()), func(row peer.Row) bool {
		return row.Host == p.self || row.Address == ""
	})
	return sample(others, count)
}

// sample returns a number of random rows, fewer if there are not as many. It changes their order.
func sample(rows []peer.Row, count int) []peer.Row {
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	return rows[:min(len(rows), count)]
}

// ask asks a few hosts for later documents.
func (p *peers) ask(ctx context.Context) {
	p.announceToSome(ctx, askMessages)
}

// announceToSeed announces this host to a random seed, if there is one.
func (p *peers) announceToSeed(ctx context.Context, seeds []ident.Address) {
	if len(seeds) == 0 {
		return
	}
	p.announce(ctx, seeds[rand.IntN(len(seeds))])
}

// announce sends a gossip message to a host at once, in addition to the periodic ones,
// and applies the reply.
func (p *peers) announce(ctx context.Context, address ident.Address) {
	if _, err := p.exchange(ctx, address); err != nil {
		p.log.Debug().Err(err).Str("peer", string(address)).Msg("peers: announcement failed")
	}
}

// probe sends a gossip message to a host and applies the reply. It returns an error if
// there is none.
func (p *peers) probe(ctx context.Context, to peer.Row) error {
	_, err := p.exchange(ctx, to.Address)
	return err
}

// exchange sends a gossip message to a host and applies and returns the reply.
func (p *peers) exchange(ctx context.Context, address ident.Address) (peer.Message, error) {
	reply, err := p.client.Exchange(ctx, address, p.gossip.Announcement())
	if err != nil {
		return peer.Message{}, err
	}
	p.gossip.Announced(time.Now(), reply)
	return reply, nil
}

// handleRumours logs membership changes and merges the crashes that other hosts report,
// until ctx ends.
func (p *peers) handleRumours(ctx context.Context) error {
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
			case peer.CrashReported:
				p.log.Info().Str("peer", string(r.Host)).Str("upstream", string(r.Upstream)).Uint64("incarnation", uint64(r.Incarnation)).Int("suspects", len(r.Suspects)).Msg("poison: another host reports the crash of an upstream")
				p.crashes.Merge(r)
			case peer.FingerprintCleared:
				p.log.Info().Hex("fingerprint", r.Fingerprint[:]).Msg("poison: another host states that a fingerprint is sound")
				p.crashes.Clear(r.Fingerprint)
			case peer.UpstreamLeaving:
				p.draining(r)
			case peer.UpstreamCrashed, peer.FingerprintStruck, peer.DocumentRevised, peer.TopOrganisations:
				// Only entry hosts use these.
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
