package host

import (
	"context"
	"sync"

	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
)

// coordinators starts the coordinators of cells on demand and keeps them running until
// the host stops.
type coordinators struct {
	create  func(id cell.ID) *coordinator.Coordinator
	runErrs chan error

	mu      sync.Mutex
	ctx     context.Context // passed to every coordinator
	stop    context.CancelFunc
	byCell  map[cell.ID]*coordinator.Coordinator
	running int // number of coordinators that run does not wait for yet
}

func newCoordinators(create func(id cell.ID) *coordinator.Coordinator) *coordinators {
	ctx, stop := context.WithCancel(context.Background())
	return &coordinators{
		create:  create,
		runErrs: make(chan error),
		ctx:     ctx,
		stop:    stop,
		byCell:  make(map[cell.ID]*coordinator.Coordinator),
	}
}

// get returns the coordinator of a cell, and starts it if it is not running.
func (c *coordinators) get(id cell.ID) *coordinator.Coordinator {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.byCell[id]; ok {
		return existing
	}
	created := c.create(id)
	c.byCell[id] = created
	c.running++
	go func(ctx context.Context) {
		c.runErrs <- created.Run(ctx)
	}(c.ctx)
	return created
}

// run waits until ctx ends, then stops all coordinators and waits for them. A
// coordinator that is requested later stops at once.
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
			if err := <-c.runErrs; err != nil {
				return err
			}
		}
	}
}
