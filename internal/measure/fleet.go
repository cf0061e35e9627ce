package measure

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// unit is one stand-in upstream with its settings.
type unit struct {
	settings standin.Upstream
	standin  upstreams.Upstream
}

// fleet is the stand-in upstreams of one run.
type fleet struct {
	units []unit
	ended []chan error
	stop  context.CancelFunc
}

// startFleet serves the upstreams of the service.
func startFleet(ctx context.Context, settings []standin.Upstream) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{
		stop: cancel,
	}
	for _, s := range settings {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", string(s.Address))
		if err != nil {
			_ = f.close()
			return nil, errors.Annotatef(err, "listen as %s", s.Name)
		}
		u := unit{
			settings: s,
			standin:  s.Build(),
		}
		ended := make(chan error, 1)
		go func(ctx context.Context) { ended <- u.standin.Serve(ctx, listener) }(ctx)
		f.units = append(f.units, u)
		f.ended = append(f.ended, ended)
	}
	return f, nil
}

// close stops the upstreams and waits for them.
func (f *fleet) close() error {
	f.stop()
	var first error
	for _, ended := range f.ended {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// members is the host list.
func (f *fleet) members() []upstream.Member {
	members := make([]upstream.Member, 0, len(f.units))
	for _, u := range f.units {
		members = append(members, upstream.Member{
			Pool: document.PoolRef{
				Service: u.settings.Service,
				Pool:    u.settings.Pool,
			},
			Upstream:    u.settings.Name,
			Incarnation: 1,
			Address:     u.settings.Address,
			Domain:      u.settings.Domain,
			Region:      u.settings.Region,
		})
	}
	return members
}

func (f *fleet) domains() map[ident.Address]ident.FailureDomain {
	domains := make(map[ident.Address]ident.FailureDomain)
	for _, u := range f.units {
		domains[u.settings.Address] = u.settings.Domain
	}
	return domains
}

// inject sets the faults of a scenario at their times until ctx ends.
func (f *fleet) inject(ctx context.Context, faults []fault) {
	start := time.Now()
	for _, change := range faults {
		if pause(ctx, time.Until(start.Add(change.at))) != nil {
			return
		}
		for i, u := range f.units {
			if change.hits(i, u.settings) {
				u.standin.SetFaults(change.faults)
			}
		}
	}
}
