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

// ErrUnreachable means that a call to another host failed: the host did not accept a
// job, was lost while it had the job, or did not send its entries.
const ErrUnreachable = errors.ConstError("host did not respond")

const (
	// maxRemoteAttempts is the number of other hosts that are tried before this host
	// coordinates the job itself.
	maxRemoteAttempts = 2
	// maxAvoided is the number of unresponsive hosts that are skipped.
	maxAvoided = 3
	// avoidPeriod is how long a host that has not responded is skipped: about as long
	// as the membership takes to suspect it.
	avoidPeriod = time.Second
	// maxReports limits the reports that are buffered for a coordinator until the next
	// job is sent to it.
	maxReports = 256
	// checkInterval is how often a waiting host checks whether the coordinator is alive.
	checkInterval = 400 * time.Millisecond
)

// Ticket represents a job that a coordinator has accepted.
type Ticket interface {
	// Wait blocks until the job ends. It returns the results of the job, an error
	// of package batch, or ErrUnreachable if the coordinator is lost.
	Wait() (coordinator.Prepared, error)
	// Cancel ends the job; Wait then returns.
	Cancel()
}

// Remote submits jobs to the coordinators of other hosts.
type Remote interface {
	// Submit sends a job to the coordinator of a cell. Errors are those of package
	// batch and ErrUnreachable. The job is cancelled when the context is done.
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

// Stager runs the stages of requests at the coordinators of their cells. It is safe
// for concurrent use.
type Stager struct {
	config Config

	mu      sync.Mutex
	avoid   map[ident.HostID]time.Time            // time until which a host is skipped
	reports map[ident.HostID][]coordinator.Report // reports not yet sent, by coordinator
}

// New returns a stager.
func New(config Config) *Stager {
	return &Stager{
		config:  config,
		avoid:   make(map[ident.HostID]time.Time),
		reports: make(map[ident.HostID][]coordinator.Report),
	}
}

// Report buffers a report for the coordinator that placed the request; it is sent
// with the next job. Reports beyond the limit of the buffer are dropped.
func (s *Stager) Report(to ident.HostID, report coordinator.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports[to]) < maxReports {
		s.reports[to] = append(s.reports[to], report)
	}
}

// takeReports returns the buffered reports for a coordinator. It drops those for
// other hosts, which no longer coordinate the cell.
func (s *Stager) takeReports(to ident.HostID) []coordinator.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.reports[to]
	clear(s.reports)
	return reports
}

// Prepare runs the stages of a job. It returns errors of package batch,
// coordinator.ErrStopped, or the error of the context.
func (s *Stager) Prepare(ctx context.Context, job coordinator.Job) (coordinator.Prepared, error) {
	id := Of(s.config.Domain, s.config.Table(), s.config.Fleet())
	attempts, avoided := 0, 0
	for _, row := range s.config.Leaders.Candidates(id.Duty(), s.config.Hosts()) {
		if row.Host == s.config.Self || attempts == maxRemoteAttempts || avoided == maxAvoided {
			break
		}
		if s.avoids(row.Host) {
			avoided++
			continue
		}
		attempts++
		prepared, err := s.prepareRemote(ctx, row, id, job)
		if !errors.Is(err, ErrUnreachable) {
			prepared.Coordinator = row.Host
			return prepared, err
		}
		if ctx.Err() != nil {
			return coordinator.Prepared{}, ctx.Err()
		}
		s.config.Log.Info().Err(err).Str("request", string(job.Request)).Str("coordinator", string(row.Host)).Msg("cell: coordinator did not respond")
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

// avoids reports whether a host is skipped because it recently did not respond.
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

// recordAttempt records whether a host has responded.
func (s *Stager) recordAttempt(host ident.HostID, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		delete(s.avoid, host)
		return
	}
	s.avoid[host] = s.config.Now().Add(avoidPeriod)
}

// result is the outcome of a job.
type result struct {
	prepared coordinator.Prepared
	err      error
}

// prepareRemote runs a job at another host. It returns ErrUnreachable if the host does
// not accept the job, loses it, or is no longer alive.
func (s *Stager) prepareRemote(ctx context.Context, row peer.Row, id ID, job coordinator.Job) (coordinator.Prepared, error) {
	job.Reports = s.takeReports(row.Host)
	ticket, err := s.config.Remote.Submit(ctx, row.Address, id, job)
	if ctx.Err() == nil {
		s.recordAttempt(row.Host, !errors.Is(err, ErrUnreachable))
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
			// A host that is leaving still finishes the jobs that it has accepted.
			if current, ok := s.config.Hosts().Row(row.Host); ok && (current.State == peer.Alive || current.State == peer.Leaving) {
				continue
			}
			ticket.Cancel()
			<-done
			return coordinator.Prepared{}, errors.Annotatef(ErrUnreachable, "%s is no longer alive", row.Host)
		}
	}
}
