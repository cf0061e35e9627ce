package entry

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/organisation"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/peer/grpcpeer"
	"github.com/nutmegshift/nutmegshift/quarantine"
	"github.com/nutmegshift/nutmegshift/timeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const (
	// watchers is the number of hosts of a failure domain that watch the store.
	watchers = 2
	// watchKey ranks the hosts of a failure domain for the watch.
	watchKey = 0x77617463
	// publishInterval is how often news of this host is handed to the gossip.
	publishInterval = 200 * time.Millisecond
	// totalID stands for all organisations of a service in published rates.
	totalID ident.OrganisationID = "*"
	// refreshPause joins the reads of quarantine records that rumours cause: a
	// crash makes a rumour for each request that was in flight.
	refreshPause = 200 * time.Millisecond
	// usageTicks publishes the largest organisations once a second.
	usageTicks = 5
)

// errNoPeer states that a host is not known or not live.
const errNoPeer = errors.ConstError("no such entry host")

// peers is this host's side of the protocol between entry hosts.
type peers struct {
	self     ident.HostID
	domain   ident.FailureDomain
	log      zerolog.Logger
	recorder timeline.Recorder
	table    *peer.Table
	gossip   *peer.Gossip
	client   *grpcpeer.Client
	runner   *grpcpeer.Runner
	server   *grpcpeer.Server
	registry *document.Registry
	spreader *document.Spreader
	ledger   *claim.Ledger
	keeper   *quarantine.Keeper
	upstream *upstream.Table
	services *services
}

var (
	_ claim.Forwarder     = (*peers)(nil)
	_ document.Puller     = (*peers)(nil)
	_ quarantine.Notifier = (*peers)(nil)
)

// newPeers returns the peers of a host; the caller sets the parts that depend on them.
func newPeers(self peer.Row, clock *timeline.Clock, recorder timeline.Recorder, registry *document.Registry, log zerolog.Logger) *peers {
	p := &peers{
		self:     self.Host,
		domain:   self.Domain,
		log:      log,
		recorder: recorder,
		table:    peer.NewTable(self),
		client:   grpcpeer.NewClient(self.Host, clock, time.Now),
		registry: registry,
		spreader: document.NewSpreader(registry, newRandom()),
	}
	p.gossip = peer.NewGossip(peer.Config{
		Table:     p.table,
		Random:    newRandom(),
		Documents: registry.Digest,
		Observe: func(message peer.Message) {
			p.spreader.Digest(message.From.Host, message.Documents)
		},
	})
	p.runner = grpcpeer.NewRunner(p.gossip, p.table, p.client, time.Now)
	p.server = grpcpeer.NewServer(&peerHandler{
		peers: p,
	}, clock, time.Now)
	return p
}

// serve answers other hosts until ctx ends.
func (p *peers) serve(listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		defer p.client.Close()
		return p.server.Serve(ctx, listener)
	}
}

// merge takes a reading of the host list.
func (p *peers) merge(list hostlist.List) {
	var rows []peer.Row
	for _, host := range list.Hosts {
		if host.Kind != hostlist.EntryHost {
			continue
		}
		state := peer.Alive
		if host.State == hostlist.Leaving {
			state = peer.Leaving
		}
		rows = append(rows, peer.Row{
			Host:    ident.HostID(host.Name),
			Address: host.Peer,
			Domain:  host.Domain,
			Region:  host.Region,
			State:   state,
		})
	}
	p.table.Merge(time.Now(), rows)
}

// around tells the document spreader about the other hosts.
func (p *peers) around() document.Surroundings {
	view := p.table.Snapshot()
	ranked := view.Ranked(p.domain, watchKey)
	around := document.Surroundings{
		Watcher: slices.Contains(ranked[:min(watchers, len(ranked))], p.self),
	}
	for _, row := range view.Live() {
		if row.Host != p.self {
			around.Peers = append(around.Peers, row.Host)
		}
	}
	return around
}

// address returns the peer port of a live host.
func (p *peers) address(host ident.HostID) (ident.Address, error) {
	row, ok := p.table.Snapshot().Row(host)
	if !ok || !row.Live() || row.Address == "" {
		return "", errors.Annotatef(errNoPeer, "call %s", host)
	}
	return row.Address, nil
}

// Notify implements quarantine.Notifier. The gossip carries a hint to hosts that
// the call does not reach, by which they read the records.
func (p *peers) Notify(ctx context.Context, rumour quarantine.Rumour) error {
	p.gossip.Publish(hintOf(rumour))
	payload, err := json.Marshal(rumour)
	if err != nil {
		return errors.Annotate(err, "encode strike")
	}
	ends := make(chan error)
	told := 0
	for _, row := range p.table.Snapshot().Live() {
		if row.Host == p.self || row.Address == "" {
			continue
		}
		told++
		go func(ctx context.Context) {
			ends <- p.client.Strike(ctx, row.Address, payload)
		}(ctx)
	}
	var failed error
	for range told {
		if err := <-ends; err != nil {
			failed = err
		}
	}
	return errors.Annotate(failed, "announce strike")
}

// announce tells other hosts to avoid an upstream that has crashed.
func (p *peers) announce(crash quarantine.Crash) {
	p.gossip.Publish(peer.UpstreamCrashed{
		Upstream:    crash.Upstream,
		Incarnation: crash.Incarnation,
	})
}

// hintOf returns the rumour by which other hosts learn that a record has changed;
// its version only orders the hints of a fingerprint.
func hintOf(rumour quarantine.Rumour) peer.Rumour {
	if len(rumour.Cleared) > 0 {
		return peer.FingerprintCleared{
			Fingerprint: peer.Fingerprint(rumour.Fingerprint),
			Version:     kv.Version(time.Now().UnixMilli()),
		}
	}
	return peer.FingerprintStruck{
		Fingerprint: peer.Fingerprint(rumour.Fingerprint),
		Strikes:     1,
		Version:     kv.Version(rumour.Time.UnixMilli()),
	}
}

// Documents implements document.Puller.
func (p *peers) Documents(ctx context.Context, from ident.HostID, names []ident.ServiceName, known map[ident.ServiceName]ident.Revision) ([]document.Versioned, error) {
	address, err := p.address(from)
	if err != nil {
		return nil, err
	}
	return p.client.Documents(ctx, address, names, known)
}

// forward sends one call to the owner of the identity's partition.
func (p *peers) forward(ctx context.Context, identity claim.Identity, attempt ident.AttemptID, call claimMessage) (claimMessage, error) {
	owner, ok := p.table.Snapshot().Owner(uint64(identity.Partition()))
	if !ok || owner == p.self {
		return claimMessage{}, claim.ErrNotForwarded
	}
	address, err := p.address(owner)
	if err != nil {
		return claimMessage{}, errors.Annotate(claim.ErrNotForwarded, err.Error())
	}
	payload, err := encodeCall(call)
	if err != nil {
		return claimMessage{}, errors.Annotate(claim.ErrNotForwarded, err.Error())
	}
	replies, err := p.client.Claim(ctx, address, []grpcpeer.ClaimItem{
		{
			Identity: identity,
			Attempt:  attempt,
			Payload:  payload,
		},
	})
	if errors.Is(err, grpcpeer.ErrNotSent) {
		return claimMessage{}, errors.Annotate(claim.ErrNotForwarded, err.Error())
	}
	if err != nil {
		return claimMessage{}, errors.Annotatef(err, "forward claim to %s", owner)
	}
	if len(replies) != 1 {
		return claimMessage{}, errors.Errorf("forward claim to %s: %d replies", owner, len(replies))
	}
	return decodeCall(replies[0])
}

// Claim implements claim.Forwarder.
func (p *peers) Claim(ctx context.Context, identity claim.Identity, attempt ident.AttemptID) (claim.Decision, error) {
	reply, err := p.forward(ctx, identity, attempt, claimMessage{
		Kind: claimCall,
	})
	if err != nil {
		return nil, err
	}
	return reply.decision()
}

// Finish implements claim.Forwarder.
func (p *peers) Finish(ctx context.Context, identity claim.Identity, attempt ident.AttemptID, result claim.Result) error {
	reply, err := p.forward(ctx, identity, attempt, finishCall(result))
	if err != nil {
		return err
	}
	return reply.err()
}

// hear acts on the rumours of other hosts until ctx ends.
func (p *peers) hear(ctx context.Context) error {
	var due <-chan time.Time // of the next reading of the quarantine records
	for {
		select {
		case <-ctx.Done():
			return nil
		case rumour := <-p.gossip.Rumours():
			if p.take(rumour) && due == nil {
				due = time.After(refreshPause)
			}
		case <-due:
			due = nil
			if err := p.keeper.Refresh(ctx); err != nil {
				p.log.Debug().Err(err).Msg("quarantine: records not read")
			}
		}
	}
}

// take acts on one rumour and reports whether quarantine records have changed.
func (p *peers) take(rumour peer.Rumour) (quarantined bool) {
	switch r := rumour.(type) {
	case peer.UpstreamLeaving:
		p.upstream.MarkLeaving(r.Upstream, r.Incarnation)
	case peer.UpstreamCrashed:
		p.upstream.MarkCrashed(r.Upstream, r.Incarnation)
	case peer.DocumentRevised:
		p.spreader.Announced(time.Now(), "", r.Service, r.Revision)
	case peer.TopOrganisations:
		p.usage(r)
	case peer.FingerprintStruck, peer.FingerprintCleared:
		return true
	case peer.HostSuspected, peer.HostAlive, peer.HostLeaving:
		// The peer table has taken them in.
	}
	return false
}

// usage corrects the shares of organisations by their use at another host.
func (p *peers) usage(top peer.TopOrganisations) {
	byService := make(map[ident.ServiceName]organisation.Usage)
	for _, rate := range top.Rates {
		used := byService[rate.Service]
		if rate.Organisation == totalID {
			used.Total = rate.Rate
		} else {
			used.Top = append(used.Top, organisation.Rate{
				Organisation: rate.Organisation,
				Rate:         rate.Rate,
			})
		}
		byService[rate.Service] = used
	}
	for service, used := range byService {
		p.services.remote(service, top.Host, used)
	}
}

// publish hands the news of this host to the gossip until ctx ends.
func (p *peers) publish(ctx context.Context) error {
	known := make(map[ident.ServiceName]ident.Revision)
	tick := 0
	return every(ctx, publishInterval, func() {
		tick++
		for _, mark := range p.upstream.TakeObservations() {
			p.gossip.Publish(peer.UpstreamLeaving{
				Upstream:    mark.Upstream,
				Incarnation: mark.Incarnation,
			})
		}
		set := p.registry.Snapshot()
		for _, name := range set.Names() {
			if revision := set.Revision(name); revision > known[name] {
				known[name] = revision
				p.gossip.Publish(peer.DocumentRevised{
					Service:  name,
					Revision: revision,
				})
			}
		}
		if tick%usageTicks == 0 {
			p.gossip.Publish(p.services.top(p.self))
		}
	})
}
