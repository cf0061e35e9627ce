package cell

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/peer"
)

// ErrUnreachable means that a host did not take a job or lost it.
const ErrUnreachable = errors.ConstError("coordinator did not answer")

const (
	// maxHosts is how many other hosts are asked before this host coordinates by itself.
	maxHosts = 2
	// maxAvoided is how many hosts that have not answered are passed over.
	maxAvoided = 3
	// avoidTime is how long a host that has not answered is passed over: about as
	// long as the membership takes to suspect it.
	avoidTime = time.Second
	// maxReports bounds the reports that wait for a job to go with.
	maxReports = 256
	// checkInterval is how often a host that waits looks whether its coordinator is alive.
	checkInterval = 400 * time.Millisecond
)

// Ticket stands for a job that a coordinator has accepted.
type Ticket interface {
	// Wait returns the results of the job, an error of package batch, or
	// ErrUnreachable if the coordinator is lost.
	Wait() (coordinator.Prepared, error)
	// Cancel ends the job.
	Cancel()
}

// Remote hands jobs to the coordinators of other hosts.
type Remote interface {
	// Submit returns an error of package batch, or ErrUnreachable. The job ends
	// with the context.
	Submit(ctx context.Context, to ident.Address, id ID, job coordinator.Job) (Ticket, error)
}

// Config holds the dependencies of a Stager.
type Config struct {
	Self    ident.HostID
	Domain  ident.FailureDomain
	Hosts   func() *peer.View
	Leaders *duty.Leaders
	Table   func() *routes.Table
	Fleet   func() *fleet.Snapshot
	Local   func(id ID) *coordinator.Coordinator
	Remote  Remote
	Now     func() time.Time
	Log     zerolog.Logger
}

// Stager runs the stages of requests at the coordinators of their cells.
type Stager struct {
	config Config

	mu      sync.Mutex
	avoid   map[ident.HostID]time.Time            // until when hosts are passed over
	reports map[ident.HostID][]coordinator.Report // that coordinators have not got yet
}

// New returns a stager.
func New(config Config) *Stager {
	return &Stager{
		config:  config,
		avoid:   make(map[ident.HostID]time.Time),
		reports: make(map[ident.HostID][]coordinator.Report),
	}
}

// Report keeps a report for the coordinator that placed the request, which gets it
// with the next job.
func (s *Stager) Report(to ident.HostID, report coordinator.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports[to]) < maxReports {
		s.reports[to] = append(s.reports[to], report)
	}
}

// takeReports returns the reports for a coordinator. Those for others are dropped:
// the duty has moved on.
func (s *Stager) takeReports(to ident.HostID) []coordinator.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.reports[to]
	clear(s.reports)
	return reports
}

// Prepare runs the stages of a job. Errors are those of package batch,
// coordinator.ErrStopped and that of the context.
func (s *Stager) Prepare(ctx context.Context, job coordinator.Job) (coordinator.Prepared, error) {
	id := Of(s.config.Domain, s.config.Table(), s.config.Fleet())
	asked, avoided := 0, 0
	for _, row := range s.config.Leaders.Order(id.Duty(), s.config.Hosts()) {
		if row.Host == s.config.Self || asked == maxHosts || avoided == maxAvoided {
			break
		}
		if s.avoids(row.Host) {
			avoided++
			continue
		}
		asked++
		prepared, err := s.remote(ctx, row, id, job)
		if !errors.Is(err, ErrUnreachable) {
			prepared.Coordinator = row.Host
			return prepared, err
		}
		if ctx.Err() != nil {
			return coordinator.Prepared{}, ctx.Err()
		}
		s.config.Log.Info().Err(err).Str("request", string(job.Request)).Str("coordinator", string(row.Host)).Msg("cell: coordinator does not answer")
	}
	job.Reports = s.takeReports(s.config.Self)
	ticket, err := s.config.Local(id).Submit(job)
	if err != nil {
		return coordinator.Prepared{}, err
	}
	prepared, err := ticket.Wait(ctx)
	prepared.Coordinator = s.config.Self
	return prepared, err
}

// avoids reports whether a host has not answered a short time ago.
func (s *Stager) avoids(host ident.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.avoid[host]
	if ok && !s.config.Now().Before(until) {
		delete(s.avoid, host)
		ok = false
	}
	return ok
}

// answered notes whether a host has answered.
func (s *Stager) answered(host ident.HostID, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		delete(s.avoid, host)
		return
	}
	s.avoid[host] = s.config.Now().Add(avoidTime)
}

// result is the end of a job.
type result struct {
	prepared coordinator.Prepared
	err      error
}

// remote runs a job at another host, for as long as that is alive.
func (s *Stager) remote(ctx context.Context, row peer.Row, id ID, job coordinator.Job) (coordinator.Prepared, error) {
	job.Reports = s.takeReports(row.Host)
	ticket, err := s.config.Remote.Submit(ctx, row.Address, id, job)
	if ctx.Err() == nil {
		s.answered(row.Host, !errors.Is(err, ErrUnreachable))
	}
	if err != nil {
		return coordinator.Prepared{}, err
	}
	done := make(chan result, 1)
	go func(context.Context) {
		prepared, err := ticket.Wait()
		done <- result{
			prepared: prepared,
			err:      err,
		}
	}(ctx)
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case r := <-done:
			return r.prepared, r.err
		case <-ctx.Done():
			ticket.Cancel()
			<-done
			return coordinator.Prepared{}, ctx.Err()
		case <-check.C:
			// A host that leaves ends what it has accepted.
			if now, ok := s.config.Hosts().Row(row.Host); ok && (now.State == peer.Alive || now.State == peer.Leaving) {
				continue
			}
			ticket.Cancel()
			<-done
			return coordinator.Prepared{}, errors.Annotatef(ErrUnreachable, "%s is no longer alive", row.Host)
		}
	}
}
