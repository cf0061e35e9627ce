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

// runningUpstream is a stand-in upstream with the settings that it was built from.
type runningUpstream struct {
	settings standin.Upstream
	standin  upstreams.Upstream
}

// fleet holds the stand-in upstreams of one run.
type fleet struct {
	upstreams []runningUpstream
	serveErrs []chan error
	cancel    context.CancelFunc
}

// startFleet starts a stand-in upstream for each of the settings.
func startFleet(ctx context.Context, settings []standin.Upstream) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{
		cancel: cancel,
	}
	for _, s := range settings {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", string(s.Address))
		if err != nil {
			_ = f.close()
			return nil, errors.Annotatef(err, "listen as %s", s.Name)
		}
		u := runningUpstream{
			settings: s,
			standin:  s.Build(),
		}
		serveErr := make(chan error, 1)
		go func(ctx context.Context) { serveErr <- u.standin.Serve(ctx, listener) }(ctx)
		f.upstreams = append(f.upstreams, u)
		f.serveErrs = append(f.serveErrs, serveErr)
	}
	return f, nil
}

// close stops the upstreams, waits until they have stopped and returns the first
// error.
func (f *fleet) close() error {
	f.cancel()
	var firstErr error
	for _, serveErr := range f.serveErrs {
		if err := <-serveErr; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// members returns the upstreams as entries of the host list.
func (f *fleet) members() []upstream.Member {
	members := make([]upstream.Member, 0, len(f.upstreams))
	for _, u := range f.upstreams {
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
	for _, u := range f.upstreams {
		domains[u.settings.Address] = u.settings.Domain
	}
	return domains
}

// inject applies fault injections, which are in order of time, until ctx is done.
func (f *fleet) inject(ctx context.Context, injections []faultInjection) {
	start := time.Now()
	for _, injection := range injections {
		if sleep(ctx, time.Until(start.Add(injection.at))) != nil {
			return
		}
		for i, u := range f.upstreams {
			if injection.matches(i, u.settings) {
				u.standin.SetFaults(injection.faults)
			}
		}
	}
}
