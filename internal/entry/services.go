package entry

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/organisation"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// service is what this host has learned about the load of one service.
type service struct {
	document  *document.Service
	limiter   *organisation.Limiter
	budget    *pipeline.Budget
	estimates *pipeline.Estimates
}

// services is the table of services that this host has served.
type services struct {
	now  func() time.Time
	mu   sync.Mutex
	rows map[ident.ServiceName]*service
}

func newServices(now func() time.Time) *services {
	return &services{
		now:  now,
		rows: make(map[ident.ServiceName]*service),
	}
}

// of returns the row of a service and gives it the shares of a new document.
func (s *services) of(current *document.Service) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[current.Name]
	if !ok {
		row = &service{
			limiter: organisation.New(organisation.Config{
				Now:    s.now,
				Shares: current.Shares,
			}),
			budget:    pipeline.NewBudget(s.now),
			estimates: pipeline.NewEstimates(s.now),
		}
		s.rows[current.Name] = row
	}
	if row.document != current {
		row.document = current
		row.limiter.SetShares(current.Shares)
	}
	return row
}
