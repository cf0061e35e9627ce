package document

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	syncTick    = 100 * time.Millisecond
	listTimeout = 10 * time.Second
	pullTimeout = 2 * time.Second
	// watchTimeout exceeds the 30 s after which the store ends an idle watch call.
	watchTimeout = 45 * time.Second
)

// Puller gets documents from a peer. The result may lack some of the names.
type Puller interface {
	Documents(ctx context.Context, peer ident.HostID, names []ident.ServiceName, known map[ident.ServiceName]ident.Revision) ([]Versioned, error)
}

// SyncerConfig is what a Syncer depends on.
type SyncerConfig struct {
	Store    kv.Store
	Peers    Puller
	Registry *Registry
	Spreader *Spreader
	Around   func() Surroundings
	Now      func() time.Time
	Log      zerolog.Logger
}

// Syncer performs the actions of a Spreader.
type Syncer struct {
	config  SyncerConfig
	mu      sync.Mutex // guards the fields below
	broken  map[ident.ServiceName]error
	failing bool // the last listing failed
}

// NewSyncer returns a syncer; Run starts it.
func NewSyncer(config SyncerConfig) *Syncer {
	return &Syncer{
		config: config,
		broken: make(map[ident.ServiceName]error),
	}
}

// Broken returns the services whose stored document this host cannot put into
// effect, with the reason. An operator has to act on each of them.
func (s *Syncer) Broken() map[ident.ServiceName]error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.broken)
}

// Run performs actions until the context ends and all calls have returned.
func (s *Syncer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	running := 0
	call := func(ctx context.Context, do func(context.Context)) {
		running++
		go func(ctx context.Context) {
			do(ctx)
			ended <- struct{}{}
		}(ctx)
	}
	ticker := time.NewTicker(syncTick)
	defer ticker.Stop()
	unwatch := func() {}
	defer func() { unwatch() }()
	for {
		for _, action := range s.config.Spreader.Tick(s.config.Now(), s.config.Around()) {
			switch action := action.(type) {
			case List:
				call(ctx, s.list)
			case Watch:
				watching, end := context.WithCancel(ctx)
				unwatch = end
				call(watching, func(ctx context.Context) { s.watch(ctx, action.After) })
			case Unwatch:
				unwatch()
			case Pull:
				call(ctx, func(ctx context.Context) { s.pull(ctx, action) })
			}
		}
		select {
		case <-ended:
			running--
			continue
		case <-ticker.C:
			continue
		case <-ctx.Done():
		}
		for ; running > 0; running-- {
			<-ended
		}
		return nil
	}
}

func (s *Syncer) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	loaded, err := Load(ctx, s.config.Store)
	s.logListing(err)
	if err == nil {
		s.compare(loaded)
	}
	s.config.Spreader.Listed(s.config.Now(), loaded, err)
}

// logListing logs the first failure and the end of an outage; an outage may last
// for hours and a listing is tried each second.
func (s *Syncer) logListing(err error) {
	s.mu.Lock()
	was := s.failing
	s.failing = err != nil
	s.mu.Unlock()
	switch {
	case err != nil && was:
		s.config.Log.Debug().Err(err).Msg("document: listing failed")
	case err != nil:
		s.config.Log.Warn().Err(err).Msg("document: listing failed")
	case was:
		s.config.Log.Info().Msg("document: listing works again")
	}
}

// compare records and logs the stored documents that cannot take effect.
func (s *Syncer) compare(loaded Loaded) {
	broken := make(map[ident.ServiceName]error)
	maps.Copy(broken, loaded.Broken)
	set := s.config.Registry.Snapshot()
	for _, v := range loaded.Documents {
		// A revision below the held one may only be a listing that ran while the
		// change took effect. Another change at the same revision is a store that
		// has lost data.
		if held, ok := set.Document(v.Service.Name); ok && v.Revision == held.Revision && v.Change != held.Change {
			broken[v.Service.Name] = errors.Errorf("store has change %q at revision %d, this host has change %q", v.Change, v.Revision, held.Change)
		}
	}
	for name, err := range broken {
		s.config.Log.Error().Err(err).Str("service", string(name)).Msg("document: stored document cannot take effect")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = broken
}

func (s *Syncer) watch(ctx context.Context, after kv.Cursor) {
	for {
		changes, err := s.wait(ctx, after)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.config.Log.Warn().Err(err).Msg("document: watch failed")
			s.config.Spreader.WatchEnded(s.config.Now())
			return
		}
		for _, change := range changes.Changes {
			if !change.Deleted {
				s.offer(change.Entry)
			}
		}
		after = changes.Cursor
	}
}

func (s *Syncer) wait(ctx context.Context, after kv.Cursor) (kv.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return s.config.Store.Watch(ctx, Prefix, after)
}

func (s *Syncer) offer(entry kv.Entry) {
	var loaded Loaded
	loaded.add(entry)
	for _, v := range loaded.Documents {
		s.config.Registry.Offer(v)
		s.mu.Lock()
		delete(s.broken, v.Service.Name)
		s.mu.Unlock()
	}
	for name, err := range loaded.Broken {
		s.config.Log.Error().Err(err).Str("service", string(name)).Msg("document: stored document cannot take effect")
		s.mu.Lock()
		s.broken[name] = err
		s.mu.Unlock()
	}
}

func (s *Syncer) pull(ctx context.Context, pull Pull) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	documents, err := s.config.Peers.Documents(ctx, pull.Peer, pull.Names, pull.Known)
	if err != nil {
		s.config.Log.Warn().Err(err).Str("peer", string(pull.Peer)).Msg("document: pull from peer failed")
	}
	starting := s.config.Registry.Digest() == 0
	s.config.Spreader.Pulled(s.config.Now(), documents, err)
	if starting && s.config.Registry.Digest() != 0 {
		s.config.Log.Warn().Str("peer", string(pull.Peer)).Int("documents", len(documents)).
			Msg("document: store has not answered, started with documents of a peer")
	}
}
