package orderhttp

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// loadKey identifies a load; an engine loads a model once at a time.
type loadKey struct {
	engine ident.UpstreamID
	model  ident.ModelName
}

// load is one load in progress.
type load struct {
	cancel context.CancelFunc
	ended  chan struct{} // closed once err is set
	err    error
}

// loads is the table of loads in progress.
type loads struct {
	mu   sync.Mutex
	rows map[loadKey]*load
}

func newLoads() *loads {
	return &loads{
		rows: make(map[loadKey]*load),
	}
}

// begin returns the load in progress or starts it. The load outlives ctx and
// ends after limit.
func (l *loads) begin(ctx context.Context, limit time.Duration, engine ident.UpstreamID, model ident.ModelName, do func(context.Context) error) *load {
	key := loadKey{
		engine: engine,
		model:  model,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if row, found := l.rows[key]; found {
		return row
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	row := &load{
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	l.rows[key] = row
	go func(ctx context.Context) {
		defer close(row.ended)
		defer cancel()
		row.err = do(ctx)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.rows[key] == row {
			delete(l.rows, key)
		}
	}(ctx)
	return row
}

// of returns the models that an engine is loading, in alphabetical order.
func (l *loads) of(engine ident.UpstreamID) []ident.ModelName {
	l.mu.Lock()
	defer l.mu.Unlock()
	var models []ident.ModelName
	for key := range l.rows {
		if key.engine == engine {
			models = append(models, key.model)
		}
	}
	slices.Sort(models)
	return models
}

// cancel ends a load, if it is in progress, and waits for its end.
func (l *loads) cancel(engine ident.UpstreamID, model ident.ModelName) {
	l.mu.Lock()
	row, found := l.rows[loadKey{
		engine: engine,
		model:  model,
	}]
	l.mu.Unlock()
	if found {
		row.cancel()
		<-row.ended
	}
}

// close ends all loads and waits for their ends.
func (l *loads) close() {
	l.mu.Lock()
	rows := make([]*load, 0, len(l.rows))
	for _, row := range l.rows {
		rows = append(rows, row)
	}
	l.mu.Unlock()
	for _, row := range rows {
		row.cancel()
	}
	for _, row := range rows {
		<-row.ended
	}
}
