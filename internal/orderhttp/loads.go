package orderhttp

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// loadKey identifies a load. There is at most one load of a model on an engine.
type loadKey struct {
	engine ident.UpstreamID
	model  ident.ModelName
}

// load is one load in progress.
type load struct {
	cancel context.CancelFunc
	done   chan struct{} // closed once err is set
	err    error
}

// loads is the table of loads in progress.
type loads struct {
	mu         sync.Mutex
	inProgress map[loadKey]*load
}

func newLoads() *loads {
	return &loads{
		inProgress: make(map[loadKey]*load),
	}
}

// start returns the load in progress, or starts one with do. The load is not
// cancelled with ctx, only by the timeout or by cancel.
func (l *loads) start(ctx context.Context, timeout time.Duration, engine ident.UpstreamID, model ident.ModelName, do func(context.Context) error) *load {
	key := loadKey{
		engine: engine,
		model:  model,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, found := l.inProgress[key]; found {
		return entry
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	entry := &load{
		cancel: cancel,
		done:   make(chan struct{}),
	}
	l.inProgress[key] = entry
	go func(ctx context.Context) {
		defer close(entry.done)
		defer cancel()
		entry.err = do(ctx)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.inProgress[key] == entry {
			delete(l.inProgress, key)
		}
	}(ctx)
	return entry
}

// models returns the models that an engine is loading, in alphabetical order.
func (l *loads) models(engine ident.UpstreamID) []ident.ModelName {
	l.mu.Lock()
	defer l.mu.Unlock()
	var models []ident.ModelName
	for key := range l.inProgress {
		if key.engine == engine {
			models = append(models, key.model)
		}
	}
	slices.Sort(models)
	return models
}

// cancel cancels a load, if it is in progress, and waits until it has ended.
func (l *loads) cancel(engine ident.UpstreamID, model ident.ModelName) {
	l.mu.Lock()
	entry, found := l.inProgress[loadKey{
		engine: engine,
		model:  model,
	}]
	l.mu.Unlock()
	if found {
		entry.cancel()
		<-entry.done
	}
}

// cancelAll cancels all loads and waits until they have ended.
func (l *loads) cancelAll() {
	l.mu.Lock()
	entries := make([]*load, 0, len(l.inProgress))
	for _, entry := range l.inProgress {
		entries = append(entries, entry)
	}
	l.mu.Unlock()
	for _, entry := range entries {
		entry.cancel()
	}
	for _, entry := range entries {
		<-entry.done
	}
}
