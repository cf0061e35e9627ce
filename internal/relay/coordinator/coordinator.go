package coordinator

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// A batch that takes this many times as long as expected is given up.
	patienceFactor = 4
	minPatience    = 1500 * time.Millisecond
	// releaseTimeout bounds a call that drops results; they lapse anyway.
	releaseTimeout = time.Second
	commandQueue   = 256
	answerBytes    = 1 << 20 // longest answer of a batch
	maxLogged      = 16      // requests that a log line names
)

// ErrStopped means that the coordinator does not run.
const ErrStopped = errors.ConstError("coordinator is stopped")

// Job is the work of all stages of a request, and what it needs afterwards.
type Job struct {
	batch.Job
	Target  placement.Query // the upstream that it needs; no service if the host chooses it
	Reports []Report        // of requests before it
}

// Report tells how an upstream handled a request that the coordinator placed.
type Report struct {
	Request ident.RequestID
	Ending  placement.Ending
	Pace    time.Duration // 0 if it is not known
}

// Prepared are the results of a request's stages, and where it should run.
type Prepared struct {
	Inputs      []wire.Handle
	Domain      ident.FailureDomain // that holds most of their bytes; empty if there are none
	Bytes       int64               // that it holds
	Upstream    ident.UpstreamID    // that should run the request; empty if the host chooses it
	Cache       ident.UpstreamID    // from which that one should fetch the prompt; empty if there is none
	Release     func()              // drops the results, once the upstream has read them; it may be called more than once
	Coordinator ident.HostID        // that ran the stages
}

// Config holds the dependencies of a Coordinator.
type Config struct {
	Codec    wire.Codec
	Client   *upstreamhttp.Client
	Table    func() *routes.Table
	Fleet    func() *fleet.Snapshot
	Includes func(upstream fleet.Upstream) bool // whether an upstream is the coordinator's
	Chooser  *placement.Chooser
	Meter    *meter.Meter
	Now      func() time.Time
	Log      zerolog.Logger
}

// command is run by the goroutine that owns the scheduler.
type command func(now time.Time)

// ended is the end of a call to an upstream.
type ended struct {
	id      batch.CallID // 0 for a release
	outcome batch.Outcome
}

// Coordinator runs the stages of requests.
type Coordinator struct {
	config    Config
	last      atomic.Uint64 // batch.JobID
	commands  chan command
	stopped   chan struct{}
	ends      chan ended
	scheduler *batch.Scheduler
	waiting   map[batch.JobID]chan batch.Done
	table     *routes.Table
	snapshot  *fleet.Snapshot
	running   int
	placed    *placements
}

// New returns a coordinator; Run starts it.
func New(config Config) *Coordinator {
	return &Coordinator{
		config:    config,
		commands:  make(chan command, commandQueue),
		stopped:   make(chan struct{}),
		ends:      make(chan ended),
		scheduler: batch.New(batch.DefaultPolicy()),
		waiting:   make(map[batch.JobID]chan batch.Done),
		placed:    newPlacements(config.Chooser),
	}
}

// Run serves until the context ends and all calls have returned.
func (c *Coordinator) Run(ctx context.Context) error {
	defer close(c.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			for ; c.running > 0; c.running-- {
				<-c.ends
			}
			return nil
		case do := <-c.commands:
			c.configure()
			do(c.config.Now())
		case end := <-c.ends:
			c.running--
			if end.id != 0 {
				c.scheduler.FinishCall(c.config.Now(), end.id, end.outcome)
			}
		case <-timer.C:
		}
		timer.Reset(c.act(ctx))
	}
}

// configure gives the scheduler the services and upstreams in force.
func (c *Coordinator) configure() {
	table, snapshot := c.config.Table(), c.config.Fleet()
	if table == nil || table == c.table && snapshot == c.snapshot {
		return
	}
	c.table, c.snapshot = table, snapshot
	c.scheduler.Configure(table.Services(), func(name ident.ServiceName) []fleet.Upstream {
		return c.upstreams(snapshot, name)
	})
}

// upstreams returns the upstreams of a service that belong to this coordinator.
func (c *Coordinator) upstreams(snapshot *fleet.Snapshot, name ident.ServiceName) []fleet.Upstream {
	var list []fleet.Upstream
	for _, upstream := range snapshot.Ready(name) {
		if c.config.Includes(upstream) {
			list = append(list, upstream)
		}
	}
	return list
}

// act carries out what the scheduler decides and returns when to ask it again.
func (c *Coordinator) act(ctx context.Context) time.Duration {
	now := c.config.Now()
	actions := c.scheduler.Plan(now)
	for _, done := range actions.Done {
		if waiting, ok := c.waiting[done.Job]; ok {
			delete(c.waiting, done.Job)
			waiting <- done
		}
	}
	for _, request := range actions.Evicted {
		c.config.Log.Info().Str("request", string(request)).Msg("stage: results were not read for long, dropped for those of others")
	}
	for _, call := range actions.Calls {
		c.running++
		go func(ctx context.Context) {
			outcome, result := c.call(ctx, call)
			c.config.Meter.Batch(call.Upstream.Service, result, len(call.Items), c.config.Now().Sub(now))
			c.ends <- ended{
				id:      call.ID,
				outcome: outcome,
			}
		}(ctx)
	}
	for _, release := range actions.Releases {
		c.running++
		go func(ctx context.Context) {
			c.release(ctx, release)
			c.ends <- ended{}
		}(ctx)
	}
	if actions.Wake.IsZero() {
		return time.Hour
	}
	return max(time.Millisecond, actions.Wake.Sub(now))
}

// Ticket stands for a job that has been accepted.
type Ticket struct {
	coordinator *Coordinator
	job         Job
	done        chan batch.Done
}

// Submit hands in a job; its id is set here. Errors are those of package batch
// and ErrStopped; then nothing is kept of the job.
func (c *Coordinator) Submit(job Job) (*Ticket, error) {
	c.placed.report(job.Reports)
	job.ID = batch.JobID(c.last.Add(1))
	if job.Target.Service != "" {
		job.Domain = c.config.Chooser.Domain(job.Target, c.config.Fleet())
	}
	ticket := &Ticket{
		coordinator: c,
		job:         job,
		done:        make(chan batch.Done, 1),
	}
	if !job.HasWork() {
		ticket.done <- batch.Done{}
		return ticket, nil
	}
	accepted := make(chan error, 1)
	submit := func(now time.Time) {
		err := c.scheduler.Submit(now, job.Job)
		if err == nil {
			c.waiting[job.ID] = ticket.done
		}
		accepted <- err
	}
	if !c.do(submit) {
		return nil, ErrStopped
	}
	select {
	case err := <-accepted:
		return ticket, err
	case <-c.stopped:
		return nil, ErrStopped
	}
}

// Wait waits for the results of the job. The end of the context cancels it.
// Errors are those of package batch, ErrStopped and that of the context.
func (t *Ticket) Wait(ctx context.Context) (Prepared, error) {
	select {
	case end := <-t.done:
		if end.Err != nil {
			return Prepared{}, end.Err
		}
		return t.place(end), nil
	case <-ctx.Done():
		t.Cancel()
		return Prepared{}, ctx.Err()
	case <-t.coordinator.stopped:
		return Prepared{}, ErrStopped
	}
}

// place chooses the upstream for the request of a job that is done.
func (t *Ticket) place(end batch.Done) Prepared {
	prepared := Prepared{
		Inputs:  end.Inputs,
		Domain:  end.Domain,
		Bytes:   end.Bytes,
		Release: t.release,
	}
	query := t.job.Target
	if query.Service == "" {
		return prepared
	}
	if end.Domain != "" {
		query.Domain, query.Bytes = end.Domain, end.Bytes
	}
	placed, ok := t.coordinator.placed.place(t.coordinator.config.Now(), t.job, query, t.coordinator.config.Fleet())
	if ok {
		prepared.Upstream, prepared.Cache = placed.ID, placed.Cache.ID
	}
	return prepared
}

// release drops the results when the upstream has read them.
func (t *Ticket) release() {
	t.coordinator.placed.began(t.job.Request)
	t.Cancel()
}

// Cancel ends the job and drops its results; it may be called more than once.
func (t *Ticket) Cancel() {
	if !t.job.HasWork() {
		return
	}
	t.coordinator.do(func(time.Time) {
		delete(t.coordinator.waiting, t.job.ID)
		t.coordinator.scheduler.Cancel(t.job.ID)
	})
}

// do hands a command to Run; it returns false if that has ended.
func (c *Coordinator) do(do command) bool {
	select {
	case c.commands <- do:
		return true
	case <-c.stopped:
		return false
	}
}

// call sends one batch.
func (c *Coordinator) call(ctx context.Context, call batch.Call) (batch.Outcome, meter.Result) {
	patience := max(minPatience, patienceFactor*call.Expected)
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	message, err := c.config.Codec.Batch(call.Items)
	if err != nil {
		c.config.Log.Error().Err(err).Msg("stage: batch not encoded")
		return batch.Lost{}, meter.Failed
	}
	answer, err := c.send(ctx, call.Upstream, message)
	if err != nil {
		c.note(call).Err(err).Msg("stage: batch failed")
		if errors.Is(err, upstreamhttp.ErrBusy) {
			return batch.Refused{}, meter.Refused
		}
		return batch.Lost{}, meter.Failed
	}
	defer answer.Close()
	body, err := answer.ReadAll(answerBytes)
	if answer.Reply.NotRun {
		c.note(call).Int("status", answer.Status).Msg("stage: upstream refused")
		return batch.Refused{}, meter.Refused
	}
	var results []wire.ItemResult
	if err == nil {
		results, err = c.config.Codec.Results(body)
	}
	if err != nil || answer.Status/100 != 2 || len(results) != len(call.Items) {
		c.note(call).Err(err).Int("status", answer.Status).Msg("stage: batch failed")
		return batch.Lost{}, meter.Failed
	}
	return batch.Completed{
		Results: results,
	}, meter.Served
}

// note begins a log line about a call, with the requests that it concerns.
func (c *Coordinator) note(call batch.Call) *zerolog.Event {
	var requests []string
	for _, item := range call.Items {
		if id := string(item.Request); !slices.Contains(requests, id) && len(requests) < maxLogged {
			requests = append(requests, id)
		}
	}
	return c.config.Log.Info().
		Str("upstream", string(call.Upstream.ID)).
		Int("items", len(call.Items)).
		Dur("expected", call.Expected).
		Strs("requests", requests)
}

// release drops results at the upstream that holds them.
func (c *Coordinator) release(ctx context.Context, release batch.Release) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	message, err := c.config.Codec.Release(release.Handles)
	if err != nil {
		c.config.Log.Error().Err(err).Msg("stage: release not encoded")
		return
	}
	answer, err := c.send(ctx, fleet.Upstream{
		Address: release.Address,
	}, message)
	if err == nil {
		_, err = answer.ReadAll(answerBytes)
		answer.Close()
	}
	if err != nil {
		c.config.Log.Debug().Err(err).Str("address", string(release.Address)).Int("results", len(release.Handles)).Msg("stage: results are left to lapse")
	}
}

func (c *Coordinator) send(ctx context.Context, to fleet.Upstream, message wire.Message) (*upstreamhttp.Response, error) {
	return c.config.Client.Send(ctx, upstreamhttp.Request{
		Address: to.Address,
		Method:  message.Method,
		Target:  message.Path,
		Host:    string(to.Address),
		Header:  c.config.Codec.CallHeader(to.ID),
		Body:    message.Body,
	})
}
