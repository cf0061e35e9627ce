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

// Puller gets documents from a peer.
type Puller interface {
	// Documents returns the named documents, or all if names is empty, whose
	// revisions at the peer are higher than those in known. It may omit some.
	Documents(ctx context.Context, peer ident.HostID, names []ident.ServiceName, known map[ident.ServiceName]ident.Revision) ([]Versioned, error)
}

// SyncerConfig holds the dependencies of a Syncer.
type SyncerConfig struct {
	Store    kv.Store
	Peers    Puller
	Registry *Registry
	Spreader *Spreader
	Around   func() Surroundings // returns the current argument of Spreader.Tick
	Now      func() time.Time
	Log      zerolog.Logger
}

// Syncer performs the actions of a Spreader.
type Syncer struct {
	config      SyncerConfig
	mu          sync.Mutex // guards the fields below
	broken      map[ident.ServiceName]error
	listFailing bool // the last listing failed
}

// NewSyncer returns a syncer; Run starts it.
func NewSyncer(config SyncerConfig) *Syncer {
	return &Syncer{
		config: config,
		broken: make(map[ident.ServiceName]error),
	}
}

// Broken returns the services whose stored document this host cannot put into
// effect, each with the reason. An operator must repair each of them. It is safe
// for concurrent use.
func (s *Syncer) Broken() map[ident.ServiceName]error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.broken)
}

// Run performs the actions of the Spreader until the context ends. It returns when
// all its calls have ended; the error is always nil.
func (s *Syncer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callDone := make(chan struct{})
	activeCalls := 0
	startCall := func(ctx context.Context, run func(context.Context)) {
		activeCalls++
		go func(ctx context.Context) {
			run(ctx)
			callDone <- struct{}{}
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
				startCall(ctx, s.list)
			case Watch:
				watchCtx, cancelWatch := context.WithCancel(ctx)
				unwatch = cancelWatch
				startCall(watchCtx, func(ctx context.Context) { s.watch(ctx, action.After) })
			case Unwatch:
				unwatch()
			case Pull:
				startCall(ctx, func(ctx context.Context) { s.pull(ctx, action) })
			}
		}
		select {
		case <-callDone:
			activeCalls--
			continue
		case <-ticker.C:
			continue
		case <-ctx.Done():
		}
		for ; activeCalls > 0; activeCalls-- {
			<-callDone
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
		s.updateBroken(loaded)
	}
	s.config.Spreader.Listed(s.config.Now(), loaded, err)
}

// logListing logs the first failed listing of an outage and its end. Further
// failures are logged at debug level only, because an outage may last for hours
// with a listing attempt each second.
func (s *Syncer) logListing(err error) {
	s.mu.Lock()
	wasFailing := s.listFailing
	s.listFailing = err != nil
	s.mu.Unlock()
	switch {
	case err != nil && wasFailing:
		s.config.Log.Debug().Err(err).Msg("document: listing failed")
	case err != nil:
		s.config.Log.Warn().Err(err).Msg("document: listing failed")
	case wasFailing:
		s.config.Log.Info().Msg("document: listing succeeded after earlier failures")
	}
}

// updateBroken records and logs the stored documents that cannot take effect.
func (s *Syncer) updateBroken(loaded Loaded) {
	broken := make(map[ident.ServiceName]error)
	maps.Copy(broken, loaded.Broken)
	set := s.config.Registry.Snapshot()
	for _, v := range loaded.Documents {
		// A lower revision than in the registry is not an error: the change may have
		// taken effect while the listing ran. Another change at the same revision
		// means that the store has lost data.
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

// watch offers changes to the registry until the context ends or a watch call fails.
func (s *Syncer) watch(ctx context.Context, after kv.Cursor) {
	for {
		changes, err := s.nextChanges(ctx, after)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.config.Log.Warn().Err(err).Msg("document: watch of the store failed; listing again before the next watch")
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

func (s *Syncer) nextChanges(ctx context.Context, after kv.Cursor) (kv.Changes, error) {
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
	wasEmpty := s.config.Registry.Digest() == 0
	s.config.Spreader.Pulled(s.config.Now(), documents, err)
	if wasEmpty && s.config.Registry.Digest() != 0 {
		s.config.Log.Warn().Str("peer", string(pull.Peer)).Int("documents", len(documents)).
			Msg("document: store has not responded; started with documents of a peer")
	}
}
