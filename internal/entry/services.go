package entry

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/organisation"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// Limits are what bounds the work of one service on one host.
type Limits struct {
	Limiter   *organisation.Limiter
	Budget    *pipeline.Budget
	Estimates *pipeline.Estimates
}

// NewLimits returns limits that have learned nothing yet.
func NewLimits(now func() time.Time) Limits {
	return Limits{
		Limiter: organisation.New(organisation.Config{
			Now: now,
		}),
		Budget:    pipeline.NewBudget(now),
		Estimates: pipeline.NewEstimates(now),
	}
}

// service is a row of the table of services.
type service struct {
	Limits
	document *document.Service
}

// services is the table of services that this host has served.
type services struct {
	create func() Limits
	mu     sync.Mutex
	rows   map[ident.ServiceName]*service
}

func newServices(create func() Limits) *services {
	return &services{
		create: create,
		rows:   make(map[ident.ServiceName]*service),
	}
}

// of returns the row of a service and gives it the shares of a new document.
func (s *services) of(current *document.Service) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[current.Name]
	if !ok {
		row = &service{
			Limits: s.create(),
		}
		s.rows[current.Name] = row
	}
	if row.document != current {
		row.document = current
		row.Limiter.SetShares(current.Shares)
	}
	return row
}

// top returns the largest organisations of all services and the totals they belong to.
func (s *services) top(host ident.HostID) peer.TopOrganisations {
	top := peer.TopOrganisations{
		Host: host,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	each := peer.MaxOrganisations/max(1, len(s.rows)) - 1
	for name, row := range s.rows {
		used := row.Limiter.Top(max(1, each))
		top.Rates = append(top.Rates, peer.OrganisationRate{
			Service:      name,
			Organisation: totalID,
			Rate:         used.Total,
		})
		for _, rate := range used.Top {
			top.Rates = append(top.Rates, peer.OrganisationRate{
				Service:      name,
				Organisation: rate.Organisation,
				Rate:         rate.Rate,
			})
		}
	}
	return top
}

// remote corrects the shares of a service by the use at another host.
func (s *services) remote(name ident.ServiceName, host ident.HostID, used organisation.Usage) {
	s.mu.Lock()
	row, ok := s.rows[name]
	s.mu.Unlock()
	if ok {
		row.Limiter.Remote(host, used)
	}
}
