package host

import (
	"context"
	"sync"

	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
)

// coordinators are those that this host has had to run so far, by cell.
type coordinators struct {
	create func(id cell.ID) *coordinator.Coordinator
	ends   chan error

	mu      sync.Mutex
	ctx     context.Context // of all coordinators
	stop    context.CancelFunc
	byCell  map[cell.ID]*coordinator.Coordinator
	running int
}

func newCoordinators(create func(id cell.ID) *coordinator.Coordinator) *coordinators {
	ctx, stop := context.WithCancel(context.Background())
	return &coordinators{
		create: create,
		ends:   make(chan error),
		ctx:    ctx,
		stop:   stop,
		byCell: make(map[cell.ID]*coordinator.Coordinator),
	}
}

// get returns the coordinator of a cell, and starts it if it does not run yet.
func (c *coordinators) get(id cell.ID) *coordinator.Coordinator {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.byCell[id]; ok {
		return known
	}
	created := c.create(id)
	c.byCell[id] = created
	c.running++
	go func(ctx context.Context) {
		c.ends <- created.Run(ctx)
	}(c.ctx)
	return created
}

// run waits until ctx ends and all coordinators have stopped. A coordinator that
// is asked for later stops at once.
func (c *coordinators) run(ctx context.Context) error {
	<-ctx.Done()
	c.stop()
	for {
		c.mu.Lock()
		running := c.running
		c.running = 0
		c.mu.Unlock()
		if running == 0 {
			return nil
		}
		for range running {
			if err := <-c.ends; err != nil {
				return err
			}
		}
	}
}
