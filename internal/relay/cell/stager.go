package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/peer"
)

const (
	// ErrUnreachable means that a call to another host failed: the host refused or closed
	// the connection, was lost while it had the job, or did not send its entries.
	ErrUnreachable = errors.ConstError("host did not respond")
	// ErrSilent means that another host has not accepted a job in time.
	ErrSilent = errors.ConstError("host did not respond in time")
	// ErrUnsent means that another host has not received a job. It comes with ErrUnreachable or
	// ErrSilent.
	ErrUnsent = errors.ConstError("job was not sent")
	// ErrNoCoordinator means that no host has accepted a job in time. The job has not run.
	ErrNoCoordinator = errors.ConstError("no coordinator has accepted the stages in time")
)

const (
	// maxReports limits the reports that are buffered for a coordinator until the next
	// job is sent to it.
	maxReports = 256
	// checkInterval is how often a waiting host checks whether the coordinator is alive.
	checkInterval = 100 * time.Millisecond
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
	// Submit sends a job to the coordinator of a cell, which has to accept it within a
	// time. Errors are those of package batch, ErrUnreachable and ErrSilent, both of which
	// may come with ErrUnsent. The job is cancelled when the context is done.
	Submit(ctx context.Context, to ident.Address, id ID, job coordinator.Job, within time.Duration) (Ticket, error)
}

// Config holds the dependencies of a Stager.
type Config struct {
	Self      ident.HostID
	Domain    ident.FailureDomain
	Started   time.Time // when this host started
	Hosts     func() *peer.View
	Leaders   *duty.Leaders
	Responses *duty.Responses
	Table     func() *routes.Table
	Fleet     func() *fleet.Snapshot
	Local     func(id ID) *coordinator.Coordinator
	Remote    Remote
	Probe     func(ctx context.Context, to peer.Row) error // sends a message to another host and waits for the reply
	Now       func() time.Time
	Random    func() float64 // returns numbers from 0 to 1
	Log       zerolog.Logger
}

// Stager runs the stages of requests at the coordinators of their cells. It is safe
// for concurrent use.
type Stager struct {
	config  Config
	refused atomic.Uint64

	mu      sync.Mutex
	silence silence
	alone   localReason                           // why this host coordinates beside the others; empty if it does not
	reports map[ident.HostID][]coordinator.Report // reports not yet sent, by coordinator
}

// New returns a stager.
func New(config Config) *Stager {
	return &Stager{
		config:  config,
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
// coordinator.ErrStopped, ErrNoCoordinator, or the error of the context.
func (s *Stager) Prepare(ctx context.Context, job coordinator.Job) (coordinator.Prepared, error) {
	table := s.config.Table()
	id := Of(s.config.Domain, table, s.config.Fleet())
	waiting := pending{
		latest:   job.Objective.Add(-batch.UnloadedTime(table, job.Stages)),
		deadline: job.Deadline,
		hasWork:  job.HasWork(),
		losses:   make(map[ident.HostID]int),
	}
	contested := false // a host that has received the job may propose an upstream
	for {
		switch next := s.situation(id, waiting).decide().(type) {
		case submission:
			prepared, err := s.prepareRemote(ctx, next, id, job)
			prepared.Contested = contested
			if !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrSilent) {
				s.setAlone(id, "")
				prepared.Coordinator = next.to.Host
				return prepared, err
			}
			if ctx.Err() != nil {
				return coordinator.Prepared{}, ctx.Err()
			}
			contested = contested || !errors.Is(err, ErrUnsent)
			waiting.losses[next.to.Host]++
			if waiting.losses[next.to.Host] > 1 {
				continue // one line for each host and job is enough
			}
			s.config.Log.Info().Err(err).Str("request", string(job.Request)).Str("coordinator", string(next.to.Host)).Dur("within", next.within).Msg("cell: coordinator did not respond")
		case pause:
			select {
			case <-time.After(next.length):
			case <-ctx.Done():
				return coordinator.Prepared{}, ctx.Err()
			}
		case local:
			s.setAlone(id, next.reason)
			prepared, err := s.prepareLocal(ctx, id, job)
			prepared.Contested = contested
			return prepared, err
		case refusal:
			s.refused.Add(1)
			return coordinator.Prepared{}, ErrNoCoordinator
		}
	}
}

// Refused returns the number of jobs that have been refused because no host has accepted
// them.
func (s *Stager) Refused() uint64 {
	return s.refused.Load()
}

// Alone reports whether this host schedules its jobs alone.
func (s *Stager) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alone != ""
}

// situation returns what this host knows that matters for a job.
func (s *Stager) situation(id ID, job pending) *situation {
	candidates := s.config.Leaders.Candidates(id.Duty(), s.config.Hosts())
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &situation{
		now:        now,
		started:    s.config.Started,
		self:       s.config.Self,
		candidates: candidates,
		confirmed:  s.config.Leaders.Confirmed(id.Duty()),
		joined:     s.config.Responses.Any(),
		evidence:   s.config.Responses.Evidence,
		silence:    s.silence.length(now),
		jitter:     s.config.Random(),
		job:        job,
	}
}

// setAlone records why this host coordinates a job itself, and logs when it begins or
// ceases to do so beside other hosts.
func (s *Stager) setAlone(id ID, reason localReason) {
	switch reason {
	case reasonNoWork:
		return // says nothing about the other hosts
	case reasonCandidate:
		reason = ""
	case reasonAlone, reasonPartitioned:
	}
	s.mu.Lock()
	before := s.alone
	s.alone = reason
	s.mu.Unlock()
	switch reason {
	case before:
	case "":
		s.config.Log.Info().Str("cell", string(id)).Msg("cell: this host no longer schedules alone")
	default:
		s.config.Log.Warn().Str("cell", string(id)).Str("reason", string(reason)).Msg("cell: this host schedules alone")
	}
}

// prepareLocal runs a job at the coordinator of this host.
func (s *Stager) prepareLocal(ctx context.Context, id ID, job coordinator.Job) (coordinator.Prepared, error) {
	job.Reports = s.takeReports(s.config.Self)
	ticket, err := s.config.Local(id).Submit(job)
	if err != nil {
		return coordinator.Prepared{}, err
	}
	prepared, err := ticket.Wait(ctx)
	prepared.Coordinator = s.config.Self
	return prepared, err
}

// recordResult records whether a host has responded to a job.
func (s *Stager) recordResult(host ident.HostID, err error) {
	now := s.config.Now()
	unreachable := errors.Is(err, ErrUnreachable)
	if !unreachable && !errors.Is(err, ErrSilent) {
		s.config.Responses.Answered(host)
		s.mu.Lock()
		s.silence.end()
		s.mu.Unlock()
		return
	}
	if !unreachable && now.Sub(s.config.Responses.Evidence(host).Answered) < duty.RecentPeriod {
		return // it responds to other jobs
	}
	s.config.Responses.Lost(host)
	s.mu.Lock()
	s.silence.extend(now)
	s.mu.Unlock()
}

// result is the outcome of a job.
type result struct {
	prepared coordinator.Prepared
	err      error
}

// prepareRemote runs a job at another host. It returns ErrUnreachable or ErrSilent if the
// host does not accept the job, loses it, or is no longer alive.
func (s *Stager) prepareRemote(ctx context.Context, next submission, id ID, job coordinator.Job) (coordinator.Prepared, error) {
	host := next.to.Host
	job.Reports = s.takeReports(host)
	ticket, err := s.config.Remote.Submit(ctx, next.to.Address, id, job, next.within)
	if ctx.Err() == nil {
		s.recordResult(host, err)
	}
	if err != nil {
		return coordinator.Prepared{}, err
	}
	prepared, err := s.await(ctx, next.to, ticket)
	if ctx.Err() == nil {
		s.recordResult(host, err)
	}
	return prepared, err
}

// await waits for the result of a job that another host has accepted. It returns
// ErrUnreachable if the host loses the job or is no longer alive.
func (s *Stager) await(ctx context.Context, row peer.Row, ticket Ticket) (coordinator.Prepared, error) {
	done := make(chan result, 1)
	go func(context.Context) {
		prepared, err := ticket.Wait()
		done <- result{
			prepared: prepared,
			err:      err,
		}
	}(ctx)
	var probed chan error // nil if no probe is in progress
	probeCtx, stopProbe := context.WithCancel(ctx)
	defer func() {
		stopProbe()
		if probed != nil {
			s.recordProbe(probeCtx, row.Host, <-probed)
		}
	}()
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
		case err := <-probed:
			probed = nil
			s.recordProbe(probeCtx, row.Host, err)
		case <-check.C:
			current, known := s.config.Hosts().Row(row.Host)
			standing := s.config.Responses.Standing(row.Host)
			if !keepsJob(current, known, standing) {
				ticket.Cancel()
				<-done
				return coordinator.Prepared{}, errors.Annotatef(ErrUnreachable, "%s is no longer alive", row.Host)
			}
			if probed == nil && current.State == peer.Suspect && standing == duty.Quiet {
				probed = make(chan error, 1)
				go func(ctx context.Context) { probed <- s.probe(ctx, current) }(probeCtx)
			}
		}
	}
}

// probe returns an error if a host does not reply to a message in time.
func (s *Stager) probe(ctx context.Context, to peer.Row) error {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	return s.config.Probe(ctx, to)
}

// recordProbe records whether a host has replied to a probe.
func (s *Stager) recordProbe(ctx context.Context, host ident.HostID, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil:
		s.config.Responses.Lost(host)
	default:
		s.config.Responses.Heard(host)
	}
}
