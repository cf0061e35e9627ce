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
	// watchersPerDomain is the number of hosts of a failure domain that watch the
	// store.
	watchersPerDomain = 2
	// watchRankKey is the key by which the hosts of a failure domain are ranked to
	// choose its watchers.
	watchRankKey = 0x77617463
	// publishInterval is the interval at which this host publishes rumours.
	publishInterval = 200 * time.Millisecond
	// totalOrganisation stands for all organisations of a service in published rates.
	totalOrganisation ident.OrganisationID = "*"
	// refreshDelay batches the reads of quarantine records that rumours trigger: a
	// crash causes a rumour for each request that was in flight.
	refreshDelay = 200 * time.Millisecond
	// ticksPerUsage is in units of publishInterval: the largest organisations are
	// published once a second.
	ticksPerUsage = 5
)

// errNoPeer states that a host is not known, is not live or has no address.
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

// newPeers returns the peers of a host. The caller sets the fields ledger, keeper,
// upstream and services, whose values depend on the peers.
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

// serve returns a function that serves other hosts until its ctx is done.
func (p *peers) serve(listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		defer p.client.Close()
		return p.server.Serve(ctx, listener)
	}
}

// merge merges the entry hosts of a host list into the peer table.
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

// surroundings returns the document spreader's view of this and the other hosts.
func (p *peers) surroundings() document.Surroundings {
	view := p.table.Snapshot()
	ranked := view.Ranked(p.domain, watchRankKey)
	surroundings := document.Surroundings{
		Watcher: slices.Contains(ranked[:min(watchersPerDomain, len(ranked))], p.self),
	}
	for _, row := range view.Live() {
		if row.Host != p.self {
			surroundings.Peers = append(surroundings.Peers, row.Host)
		}
	}
	return surroundings
}

// address returns the peer address of a live host, or errNoPeer.
func (p *peers) address(host ident.HostID) (ident.Address, error) {
	row, ok := p.table.Snapshot().Row(host)
	if !ok || !row.Live() || row.Address == "" {
		return "", errors.Annotatef(errNoPeer, "call %s", host)
	}
	return row.Address, nil
}

// Notify implements quarantine.Notifier. Hosts that the RPC does not reach
// receive a hint by gossip, on which they read the quarantine records.
func (p *peers) Notify(ctx context.Context, rumour quarantine.Rumour) error {
	p.gossip.Publish(quarantineHint(rumour))
	payload, err := json.Marshal(rumour)
	if err != nil {
		return errors.Annotate(err, "encode strike")
	}
	results := make(chan error)
	sent := 0
	for _, row := range p.table.Snapshot().Live() {
		if row.Host == p.self || row.Address == "" {
			continue
		}
		sent++
		go func(ctx context.Context) {
			results <- p.client.Strike(ctx, row.Address, payload)
		}(ctx)
	}
	var lastErr error
	for range sent {
		if err := <-results; err != nil {
			lastErr = err
		}
	}
	return errors.Annotate(lastErr, "announce strike")
}

// announceCrash publishes the crash of an upstream, so that other hosts avoid it.
func (p *peers) announceCrash(crash quarantine.Crash) {
	p.gossip.Publish(peer.UpstreamCrashed{
		Upstream:    crash.Upstream,
		Incarnation: crash.Incarnation,
	})
}

// quarantineHint returns the rumour that tells other hosts that a quarantine
// record has changed. Its version only orders the hints of a fingerprint.
func quarantineHint(rumour quarantine.Rumour) peer.Rumour {
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

// forward sends one call to the owner of the identity's partition. It returns
// claim.ErrNotForwarded if the call was not sent.
func (p *peers) forward(ctx context.Context, identity claim.Identity, attempt ident.AttemptID, call claimMessage) (claimMessage, error) {
	owner, ok := p.table.Snapshot().Owner(uint64(identity.Partition()))
	if !ok || owner == p.self {
		return claimMessage{}, claim.ErrNotForwarded
	}
	address, err := p.address(owner)
	if err != nil {
		return claimMessage{}, errors.Annotate(claim.ErrNotForwarded, err.Error())
	}
	payload, err := encodeClaimMessage(call)
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
	return decodeClaimMessage(replies[0])
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

// receiveRumours applies the rumours of other hosts until ctx is done.
func (p *peers) receiveRumours(ctx context.Context) error {
	var refresh <-chan time.Time // fires when the quarantine records are to be read
	for {
		select {
		case <-ctx.Done():
			return nil
		case rumour := <-p.gossip.Rumours():
			if p.applyRumour(rumour) && refresh == nil {
				refresh = time.After(refreshDelay)
			}
		case <-refresh:
			refresh = nil
			if err := p.keeper.Refresh(ctx); err != nil {
				p.log.Debug().Err(err).Msg("quarantine: cannot read records; retrying at the next refresh")
			}
		}
	}
}

// applyRumour applies one rumour and reports whether quarantine records have changed.
func (p *peers) applyRumour(rumour peer.Rumour) (recordsChanged bool) {
	switch r := rumour.(type) {
	case peer.UpstreamLeaving:
		p.upstream.MarkLeaving(r.Upstream, r.Incarnation)
	case peer.UpstreamCrashed:
		p.upstream.MarkCrashed(r.Upstream, r.Incarnation)
	case peer.DocumentRevised:
		p.spreader.Announced(time.Now(), "", r.Service, r.Revision)
	case peer.TopOrganisations:
		p.applyUsage(r)
	case peer.FingerprintStruck, peer.FingerprintCleared:
		return true
	case peer.HostSuspected, peer.HostAlive, peer.HostLeaving:
		// The gossip has applied these to the peer table.
	case peer.CrashReported:
		// Only relays use these.
	}
	return false
}

// applyUsage corrects the shares of organisations by their usage at another host.
func (p *peers) applyUsage(top peer.TopOrganisations) {
	byService := make(map[ident.ServiceName]organisation.Usage)
	for _, rate := range top.Rates {
		usage := byService[rate.Service]
		if rate.Organisation == totalOrganisation {
			usage.Total = rate.Rate
		} else {
			usage.Top = append(usage.Top, organisation.Rate{
				Organisation: rate.Organisation,
				Rate:         rate.Rate,
			})
		}
		byService[rate.Service] = usage
	}
	for service, usage := range byService {
		p.services.applyRemoteUsage(service, top.Host, usage)
	}
}

// publish publishes this host's leaving marks of upstreams, document revisions and
// largest organisations by gossip until ctx is done.
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
		if tick%ticksPerUsage == 0 {
			p.gossip.Publish(p.services.topOrganisations(p.self))
		}
	})
}
