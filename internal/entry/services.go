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

// Limits bound the work of one service on one host.
type Limits struct {
	Limiter   *organisation.Limiter
	Budget    *pipeline.Budget
	Estimates *pipeline.Estimates
}

// NewLimits returns limits in their initial state, without measurements.
func NewLimits(now func() time.Time) Limits {
	return Limits{
		Limiter: organisation.New(organisation.Config{
			Now: now,
		}),
		Budget:    pipeline.NewBudget(now),
		Estimates: pipeline.NewEstimates(now),
	}
}

// service holds the limits of one service and the document that they follow.
type service struct {
	Limits
	document *document.Service
}

// services is the table of services that this host has served. It is safe for
// concurrent use.
type services struct {
	newLimits func() Limits
	mu        sync.Mutex
	rows      map[ident.ServiceName]*service
}

func newServices(newLimits func() Limits) *services {
	return &services{
		newLimits: newLimits,
		rows:      make(map[ident.ServiceName]*service),
	}
}

// get returns the row of a service, which it creates on first use, and sets the
// shares if the document has changed.
func (s *services) get(current *document.Service) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[current.Name]
	if !ok {
		row = &service{
			Limits: s.newLimits(),
		}
		s.rows[current.Name] = row
	}
	if row.document != current {
		row.document = current
		row.Limiter.SetShares(current.Shares)
	}
	return row
}

// topOrganisations returns the admission rates of the largest organisations of
// all services, and the total rate of each service.
func (s *services) topOrganisations(host ident.HostID) peer.TopOrganisations {
	top := peer.TopOrganisations{
		Host: host,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	perService := peer.MaxOrganisations/max(1, len(s.rows)) - 1
	for name, row := range s.rows {
		usage := row.Limiter.Top(max(1, perService))
		top.Rates = append(top.Rates, peer.OrganisationRate{
			Service:      name,
			Organisation: totalOrganisation,
			Rate:         usage.Total,
		})
		for _, rate := range usage.Top {
			top.Rates = append(top.Rates, peer.OrganisationRate{
				Service:      name,
				Organisation: rate.Organisation,
				Rate:         rate.Rate,
			})
		}
	}
	return top
}

// applyRemoteUsage corrects the shares of a service by the usage at another host.
func (s *services) applyRemoteUsage(name ident.ServiceName, host ident.HostID, usage organisation.Usage) {
	s.mu.Lock()
	row, ok := s.rows[name]
	s.mu.Unlock()
	if ok {
		row.Limiter.Remote(host, usage)
	}
}
