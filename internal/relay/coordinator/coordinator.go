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
	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
)

const (
	// batchTimeoutFactor is the timeout of a batch as a multiple of its expected duration.
	batchTimeoutFactor = 4
	minBatchTimeout    = 1500 * time.Millisecond
	// releaseTimeout limits a call that drops results. If it fails, the results expire.
	releaseTimeout = time.Second
	// maxPlanInterval is the longest time between two plans while jobs wait, since an
	// upstream may have joined.
	maxPlanInterval = 200 * time.Millisecond
	// slackAwareSpread is the factor between objectives from which scheduling is
	// slack-aware: one limit on the delay for all kinds then refuses those with long
	// objectives although they could wait.
	slackAwareSpread  = 3
	commandQueueSize  = 256
	maxResponseBytes  = 1 << 20 // maximum size of the response to a call
	maxLoggedRequests = 16      // maximum number of request ids in a log line
)

// ErrStopped means that the coordinator no longer runs.
const ErrStopped = errors.ConstError("coordinator is stopped")

// Job holds the stages of a request and the query for the upstream that runs the
// request afterwards.
type Job struct {
	batch.Job
	Target  placement.Query // without a service if the host chooses the upstream
	Reports []Report        // on earlier requests
}

// Report is the outcome of a request that the coordinator placed.
type Report struct {
	Request ident.RequestID
	Ending  placement.Ending
	Pace    time.Duration // see placement.Chooser.Done; 0 if unknown
	Pause   time.Duration // how long the upstream wants no requests from the host; 0 if not stated
}

// Prepared holds the results of a request's stages and the upstream that should run the
// request.
type Prepared struct {
	Inputs      []wire.Handle
	Domain      ident.FailureDomain // failure domain that holds most of the inputs; empty if there are none
	Bytes       int64               // size of the inputs in Domain
	Upstream    ident.UpstreamID    // upstream that should run the request; empty if the host chooses it
	Cache       ident.UpstreamID    // upstream from which Upstream should fetch the prompt; empty if there is none
	Release     func()              // drops the inputs once the upstream has read them; may be nil, and may be called more than once
	Coordinator ident.HostID        // host that ran the stages
	Contested   bool                // another host may have proposed an upstream too
}

// Config holds the dependencies of a Coordinator.
type Config struct {
	Codec    wire.Codec
	Batches  *upstreamhttp.Client // sends batches
	Releases *upstreamhttp.Client // sends releases, whose responses are all alike
	Table    func() *routes.Table
	Fleet    func() *fleet.Snapshot
	Held     func(service ident.ServiceName) []fleet.Release // returns the releases that must not begin streams yet
	Includes func(upstream fleet.Upstream) bool              // reports whether an upstream belongs to the coordinator
	Chooser  *placement.Chooser
	Pauses   *fleet.Pauses
	OnPlace  func(job Job, upstream fleet.Upstream) // called when an upstream is proposed for a job
	Memory   *memory.Budget                         // of the bodies of responses
	Meter    *meter.Meter
	Now      func() time.Time
	Log      zerolog.Logger
}

// command is run by the goroutine that owns the scheduler.
type command func(now time.Time)

// callEnd is the outcome of a call to an upstream.
type callEnd struct {
	id      batch.CallID // 0 unless the call has items
	outcome batch.Outcome
	report  *loadreport.Report // nil if the response has none
}

// Coordinator runs the stages of requests; it is safe for concurrent use.
type Coordinator struct {
	config      Config
	lastJob     atomic.Uint64 // batch.JobID
	commands    chan command
	stopped     chan struct{}
	ends        chan callEnd
	scheduler   *batch.Scheduler
	waiters     map[batch.JobID]chan batch.Done
	table       *routes.Table
	snapshot    *fleet.Snapshot
	activeCalls int
	sawRefusal  bool // an upstream with a load report has refused a call
	checked     bool // the upstreams of stages have been checked
	placements  *placements
	shares      *shareReports
}

// New returns a coordinator; Run starts it.
func New(config Config) *Coordinator {
	return &Coordinator{
		config:     config,
		commands:   make(chan command, commandQueueSize),
		stopped:    make(chan struct{}),
		ends:       make(chan callEnd),
		scheduler:  batch.New(batch.DefaultPolicy()),
		waiters:    make(map[batch.JobID]chan batch.Done),
		placements: newPlacements(config.Chooser),
		shares:     newShareReports(config.Meter, config.Log),
	}
}

// Run executes commands and plans until the context is done and all calls have
// returned. It must be called once.
func (c *Coordinator) Run(ctx context.Context) error {
	defer close(c.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			for ; c.activeCalls > 0; c.activeCalls-- {
				<-c.ends
			}
			return nil
		case cmd := <-c.commands:
			c.configure()
			cmd(c.config.Now())
		case end := <-c.ends:
			c.activeCalls--
			c.endCall(end)
		case <-timer.C:
		}
		timer.Reset(c.runPlan(ctx))
	}
}

// configure passes the current services and upstreams to the scheduler if they have
// changed.
func (c *Coordinator) configure() {
	table, snapshot := c.config.Table(), c.config.Fleet()
	if table == nil || table == c.table && snapshot == c.snapshot {
		return
	}
	if table != c.table {
		c.setSlackAware(table)
	}
	c.table, c.snapshot = table, snapshot
	c.scheduler.Configure(table.Services(), func(name ident.ServiceName) []fleet.Upstream {
		return c.upstreams(snapshot, name)
	})
}

// setSlackAware enables slack-aware scheduling if the objectives in a table differ enough.
func (c *Coordinator) setSlackAware(table *routes.Table) {
	spread := table.ObjectiveSpread()
	enabled := spread >= slackAwareSpread
	if enabled != c.scheduler.SlackAware() {
		c.config.Log.Info().Bool("enabled", enabled).Float64("spread", spread).Msg("stage: slack-aware scheduling changed by the objectives of the table")
	}
	c.scheduler.SetSlackAware(enabled)
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

// runPlan executes the plan of the scheduler for the present services and upstreams, and
// returns the time until the next plan.
func (c *Coordinator) runPlan(ctx context.Context) time.Duration {
	c.configure()
	c.checkHealth(ctx)
	now := c.config.Now()
	actions := c.scheduler.Plan(now)
	for _, done := range actions.Done {
		if waiter, ok := c.waiters[done.Job]; ok {
			delete(c.waiters, done.Job)
			waiter <- done
		}
	}
	for _, request := range actions.Evicted {
		c.config.Log.Info().Str("request", string(request)).Msg("stage: evicted results that stayed unread for too long, to free capacity for other requests")
	}
	for _, p := range actions.Predictions {
		c.config.Meter.Prediction(p.OnTime, p.Met, p.Late)
	}
	for _, call := range actions.Calls {
		c.activeCalls++
		go func(ctx context.Context) {
			end, result := c.call(ctx, call)
			took := c.config.Now().Sub(now)
			c.config.Meter.Batch(call.Upstream.Service, result, len(call.Items), took)
			if result == meter.Served {
				c.config.Meter.Forecast(call.Upstream.Service, call.Forecast.Reported != 0, call.Expected, took)
				c.logForecast(c.config.Log.Debug(), call).Int("items", len(call.Items)).Dur("took", took).Msg("stage: batch has run")
			}
			c.ends <- end
		}(ctx)
	}
	for _, release := range actions.Releases {
		c.activeCalls++
		go func(ctx context.Context) {
			c.ends <- callEnd{
				report: c.release(ctx, release),
			}
		}(ctx)
	}
	next := time.Hour
	if len(c.waiters) > 0 {
		next = maxPlanInterval
	}
	if !actions.Wake.IsZero() {
		next = min(next, max(time.Millisecond, actions.Wake.Sub(now)))
	}
	return min(next, c.shares.report(now, c.scheduler))
}

// Ticket represents a job that the coordinator has accepted.
type Ticket struct {
	coordinator *Coordinator
	job         Job
	done        chan batch.Done
}

// Submit submits a job and assigns its ID. It returns ErrStopped or an error of package
// batch if the job is not accepted.
func (c *Coordinator) Submit(job Job) (*Ticket, error) {
	c.placements.report(job.Reports)
	job.ID = batch.JobID(c.lastJob.Add(1))
	if job.Target.Service != "" {
		job.Target.Cold = c.coldRate(job.Target.Service)
		job.Target.Held = c.held(job.Target)
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
		job.Weight = c.weight(job.Organisation)
		err := c.scheduler.Submit(now, job.Job)
		if err == nil {
			c.waiters[job.ID] = ticket.done
		} else {
			c.shares.countRefusal(err)
		}
		accepted <- err
	}
	if !c.enqueue(submit) {
		return nil, ErrStopped
	}
	select {
	case err := <-accepted:
		return ticket, err
	case <-c.stopped:
		return nil, ErrStopped
	}
}

// held returns the releases that a request may not begin at. One that takes up a stream goes to
// the release of that.
func (c *Coordinator) held(query placement.Query) []fleet.Release {
	if query.Release != "" {
		return nil
	}
	return c.config.Held(query.Service)
}

// coldRate returns the limit of requests to cold upstreams of a service.
func (c *Coordinator) coldRate(name ident.ServiceName) placement.ColdRate {
	table := c.config.Table()
	if table == nil {
		return 0
	}
	service := table.Service(name)
	if service == nil {
		return 0
	}
	return placement.CoordinatorColdRate(service.ColdRate)
}

// Wait waits for the results of the job, and cancels the job when the context is done.
// It returns an error of package batch, ErrStopped or the error of the context.
func (t *Ticket) Wait(ctx context.Context) (Prepared, error) {
	select {
	case end := <-t.done:
		switch {
		case ctx.Err() != nil:
			t.Cancel() // the host that forwards the request has asked another coordinator
			return Prepared{}, ctx.Err()
		case end.Err != nil:
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

// place returns the results of a finished job and chooses the upstream for its request.
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
	query.Held = t.coordinator.held(query)
	placed, ok := t.coordinator.placements.place(t.coordinator.config.Now(), t.job, query, t.coordinator.config.Fleet())
	if ok {
		prepared.Upstream, prepared.Cache = placed.ID, placed.Cache.ID
		t.coordinator.config.OnPlace(t.job, placed.Upstream)
	}
	return prepared
}

// release records that the upstream has read the prompt, and drops the results.
func (t *Ticket) release() {
	t.coordinator.placements.markPromptRead(t.job.Request)
	t.Cancel()
}

// Cancel cancels the job and drops its results; it may be called more than once.
func (t *Ticket) Cancel() {
	if !t.job.HasWork() {
		return
	}
	t.coordinator.enqueue(func(time.Time) {
		delete(t.coordinator.waiters, t.job.ID)
		t.coordinator.scheduler.Cancel(t.job.ID)
	})
}

// enqueue sends a command to Run; it returns false if Run has returned.
func (c *Coordinator) enqueue(cmd command) bool {
	select {
	case c.commands <- cmd:
		return true
	case <-c.stopped:
		return false
	}
}

// call sends one batch to an upstream and waits for its results.
func (c *Coordinator) call(ctx context.Context, call batch.Call) (callEnd, meter.Result) {
	end := callEnd{
		id:      call.ID,
		outcome: batch.Lost{},
	}
	timeout := max(minBatchTimeout, batchTimeoutFactor*call.Expected)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	message, err := c.config.Codec.Batch(call.Items)
	if err != nil {
		c.config.Log.Error().Err(err).Msg("stage: encoding the batch failed")
		return end, meter.Failed
	}
	response, err := c.config.Batches.Send(ctx, newRequest(c.config.Codec, call.Upstream, message))
	if err != nil {
		c.logCall(call).Err(err).Msg("stage: batch failed")
		if errors.Is(err, upstreamhttp.ErrOversized) {
			c.config.Meter.Oversized(call.Upstream.Service)
		}
		if errors.Is(err, upstreamhttp.ErrBusy) || errors.Is(err, upstreamhttp.ErrPaused) {
			end.outcome = c.refused(call)
			return end, meter.Refused
		}
		return end, meter.Failed
	}
	defer response.Close()
	end.report = newReport(call.Upstream, response, loadreport.Completed, c.config.Now())
	lease := c.config.Memory.Lease(memory.Holder(call.Upstream.ID))
	defer lease.Release()
	body, err := response.ReadAll(ctx, lease, maxResponseBytes)
	if response.Reply.NotRun {
		c.logCall(call).Int("status", response.Status).Dur("pause", response.Reply.Pause).Msg("stage: upstream refused")
		end.outcome = c.refused(call)
		return end, meter.Refused
	}
	var results []wire.ItemResult
	if err == nil {
		results, err = c.config.Codec.Results(body)
	}
	if errors.Is(err, upstreamhttp.ErrOversized) {
		c.config.Meter.Oversized(call.Upstream.Service)
	}
	if err != nil || response.Status/100 != 2 || len(results) != len(call.Items) {
		c.logCall(call).Err(err).Int("status", response.Status).Msg("stage: batch failed")
		return end, meter.Failed
	}
	response.Accept()
	end.outcome = batch.Completed{
		Results: results,
	}
	return end, meter.Served
}

// refused returns the outcome of a call that did not run, with the time for which its
// upstream wants no other.
func (c *Coordinator) refused(call batch.Call) batch.Refused {
	return batch.Refused{
		Pause: c.config.Pauses.Remaining(call.Upstream),
	}
}

// logCall starts a log line about a call, with the ids of its requests.
func (c *Coordinator) logCall(call batch.Call) *zerolog.Event {
	var requests []string
	for _, item := range call.Items {
		if id := string(item.Request); !slices.Contains(requests, id) && len(requests) < maxLoggedRequests {
			requests = append(requests, id)
		}
	}
	return c.logForecast(c.config.Log.Info(), call).
		Int("items", len(call.Items)).
		Strs("requests", requests)
}

// release drops results at the upstream that holds them, and returns the load report of the
// response. If the upstream wants no requests, it first waits for the end of that time.
// Results in a failure domain that is evacuated are left to expire, since nothing may be
// sent there.
func (c *Coordinator) release(ctx context.Context, release batch.Release) *loadreport.Report {
	if pause := c.config.Pauses.Remaining(release.Upstream); pause > 0 {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
	}
	if current, ok := c.config.Fleet().Upstream(release.Upstream.ID); ok && current.State == fleet.Evacuated {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	message, err := c.config.Codec.Release(release.Handles)
	if err != nil {
		c.config.Log.Error().Err(err).Msg("stage: encoding the release failed")
		return nil
	}
	request := newRequest(c.config.Codec, release.Upstream, message)
	request.Distinct = false
	sent := c.config.Now()
	response, err := c.config.Releases.Send(ctx, request)
	var report *loadreport.Report
	if err == nil {
		report = newReport(release.Upstream, response, loadreport.Release, sent)
		err = c.discardBody(ctx, release.Upstream, response)
		if response.Status/100 == 2 {
			response.Accept()
		}
		response.Close()
	}
	if err != nil {
		c.config.Log.Debug().Err(err).Str("upstream", string(release.Upstream.ID)).Int("results", len(release.Handles)).Msg("stage: release failed, results are left to expire")
	}
	return report
}

// discardBody reads a response of which only the header matters to its end.
func (c *Coordinator) discardBody(ctx context.Context, from fleet.Upstream, response *upstreamhttp.Response) error {
	lease := c.config.Memory.Lease(memory.Holder(from.ID))
	defer lease.Release()
	_, err := response.ReadAll(ctx, lease, maxResponseBytes)
	return err
}

// newRequest returns the request of a call. Responses to batches are distinct, since
// results have handles of their own.
func newRequest(codec wire.Codec, to fleet.Upstream, message wire.Message) upstreamhttp.Request {
	return upstreamhttp.Request{
		Upstream: to,
		Distinct: true,
		Method:   message.Method,
		Target:   message.Path,
		Host:     string(to.Address),
		Header:   codec.CallHeader(to.ID),
		Body:     message.Body,
	}
}
