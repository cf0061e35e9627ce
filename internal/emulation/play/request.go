package play

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/emulation/deployment"
	"github.com/nutmegshift/nutmegshift/internal/emulation/engine"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// retransmitDelay is the time after which a lost packet is retransmitted.
	retransmitDelay = 200 * time.Millisecond
	// waitDivisor bounds a caller's wait for a host, or before a retry, to this fraction
	// of the time left until the deadline.
	waitDivisor = 3
	// maxEngines bounds the engines that are tried in an attempt.
	maxEngines = 4
	// readTimeout is the time after which a caller ends an attempt at a host that has not
	// read its request.
	readTimeout = time.Second
	// defaultRetryAfter is the time after which a caller retries if the refusal gives no
	// time.
	defaultRetryAfter = time.Second
)

// request is a request of a caller with all its attempts.
type request struct {
	*simulation
	kind           int
	sent           time.Duration // time of the run at which the caller sent it first
	retriesLeft    int
	pieces         []int // of each stage
	prompt         wire.Prompt
	events         int           // of the complete response
	eventsSeen     int           // events forwarded to the caller
	lastEvent      time.Duration // time of the run at which the caller receives the latest event
	maxPause       time.Duration // longest pause between events
	firstEventTime time.Duration // from sent to the first event; 0 before it
	late           bool
	ended          bool
	stageTime      time.Duration // time of upstreams spent in ended attempts
	current        *attempt
}

// attempt is an attempt of a request at a host.
type attempt struct {
	*request
	host          *host
	id            ident.RequestID
	job           batch.Job
	coordinator   *coordinator
	stageTime     time.Duration      // time of upstreams spent in stages
	tried         []ident.UpstreamID // engines
	submissions   int                // accepted by engines
	engineRequest *engine.Request
	engine        *engine.Engine
	reportDone    func() // reports the outcome at the engine to the chooser; nil if the request is at no engine
	received      bool   // the host has read the request
	ended         bool
}

func (q *request) kindSpec() deployment.Kind { return q.deployment.Kinds[q.kind] }

// newRequest draws a new request of a kind and sends it.
func (r *simulation) newRequest(kind int) {
	k := r.deployment.Kinds[kind]
	q := &request{
		simulation:  r,
		kind:        kind,
		sent:        r.clock.Elapsed(),
		retriesLeft: k.Retries,
		events:      r.drawCount(k.Events),
	}
	for _, s := range k.Stages {
		pieces := 0
		if s.Share >= 1 || r.random.Float64() < s.Share {
			pieces = r.drawCount(s.Pieces)
		}
		q.pieces = append(q.pieces, pieces)
	}
	q.prompt = r.drawPrompt(k, q.events)
	for _, result := range []*Result{&r.report.Kinds[kind], &r.second(q.sent).Result} {
		result.Requests++
		result.MaxWorth += k.Worth
	}
	r.clock.After(k.Deadline, q.expire)
	q.startAttempt()
}

// drawPrompt draws a prompt: a variant of each shared part, and a part that is not
// shared.
func (r *simulation) drawPrompt(k deployment.Kind, events int) wire.Prompt {
	prompt := wire.Prompt{}
	eventTokens := 1
	for _, e := range r.deployment.Engines {
		if e.Name == k.Engines {
			eventTokens = e.EventTokens
		}
	}
	for i, tokens := range k.Shared {
		prompt.Parts = append(prompt.Parts, wire.Part{
			ID:     wire.PartID(fmt.Sprintf("%s/%d/%d", k.Name, i, r.random.IntN(k.SharedVariants[i]))),
			Tokens: tokens,
		})
		prompt.Input += tokens
	}
	own := r.drawCount(k.Input)
	r.lastID++
	prompt.Parts = append(prompt.Parts, wire.Part{
		ID:     wire.PartID(fmt.Sprintf("own/%d", r.lastID)),
		Tokens: own,
	})
	prompt.Input += own
	// The first event has one token, the others have Engines.EventTokens.
	prompt.Output = (events-1)*eventTokens + 1
	return prompt
}

// startAttempt sends the request to a random host.
func (q *request) startAttempt() {
	if q.ended {
		return
	}
	q.lastID++
	a := &attempt{
		request: q,
		host:    q.hosts[q.random.IntN(len(q.hosts))],
		id:      ident.RequestID(fmt.Sprint(q.lastID)),
	}
	q.current = a
	q.attempts[a.id] = a
	a.host.after(q.deployment.CallerLatency, a.startStages)
	q.clock.After(min(readTimeout, q.timeLeft()/waitDivisor), func() {
		if !a.received {
			a.finish()
			q.retryOrEnd(0, false)
		}
	})
}

// timeLeft returns the time until the caller's deadline.
func (q *request) timeLeft() time.Duration {
	return q.kindSpec().Deadline - (q.clock.Elapsed() - q.sent)
}

// startStages submits the stages of the request to a coordinator, as a host does that
// has received a request. Without stages, it sends the request to an engine.
func (a *attempt) startStages() {
	if a.ended {
		return
	}
	a.received = true
	k := a.kindSpec()
	now := a.clock.Now()
	a.lastID++
	a.job = batch.Job{
		ID:        batch.JobID(a.lastID),
		Request:   a.id,
		Domain:    ident.FailureDomain(fmt.Sprint(a.host.domain)),
		Rank:      batch.Rank(k.Rank),
		Key:       string(a.id),
		Objective: now.Add(k.Objective - batch.FirstEventTime),
		Deadline:  now.Add(a.timeLeft() - batch.FirstEventTime),
	}
	a.job.Domain = a.chooser().Domain(a.query(""), a.snapshot)
	pieces := 0
	for i, s := range k.Stages {
		pieces += a.pieces[i]
		a.job.Stages = append(a.job.Stages, batch.Stage{
			Service: ident.ServiceName(s.Pool),
			Kind:    batch.Kind(fmt.Sprintf("%s/%d", k.Name, i)),
			After:   s.After,
			Pieces:  a.pieces[i],
			Bytes:   s.Bytes,
		})
	}
	if pieces == 0 {
		a.generate("")
		return
	}
	a.inStages[a.request] = true
	a.coordinator = a.coordinators[a.host.index()%len(a.coordinators)]
	a.clock.After(a.latency(a.host.domain, 0), func() { a.coordinator.submit(a) })
}

func (h *host) index() int { return slices.Index(h.hosts, h) }

// chooser returns the chooser that places the request.
func (a *attempt) chooser() *placement.Chooser {
	if a.deployment.Policy.Placement == deployment.ByCoordinator {
		return a.coordinatorChooser
	}
	return a.host.chooser
}

// query describes the request for placement; an empty domain means that of the host.
func (a *attempt) query(domain ident.FailureDomain) placement.Query {
	if domain == "" {
		domain = ident.FailureDomain(fmt.Sprint(a.host.domain))
	}
	query := placement.Query{
		Service: ident.ServiceName(a.kindSpec().Engines),
		Domain:  domain,
		Prompt:  a.prompt,
		Exclude: make(map[ident.UpstreamID]bool),
	}
	for _, id := range a.tried {
		query.Exclude[id] = true
	}
	upstreams := len(a.snapshot.Ready(query.Service))
	switch a.deployment.Policy.Affinity {
	case deployment.Bounded:
		query.Shared = a.host.popularity.Affinity(a.clock.Now(), a.prompt, upstreams)
	case deployment.Strict:
		query.Shared = a.host.popularity.Affinity(a.clock.Now(), a.prompt, 1)
	case deployment.Balanced:
	}
	return query
}

// generate chooses an engine and sends the request to it.
func (a *attempt) generate(domain ident.FailureDomain) {
	delete(a.inStages, a.request)
	if a.ended {
		return
	}
	if len(a.tried) >= maxEngines {
		a.refuse(errors.New("all engines are full"))
		return
	}
	query := a.query(domain)
	if a.deployment.Policy.Affinity == deployment.Strict {
		a.requirePreferred(query)
	}
	placed, ok := a.chooser().Choose(query, a.snapshot)
	if !ok {
		a.refuse(errors.New("no engine is available"))
		return
	}
	a.tried = append(a.tried, placed.ID)
	latency := a.latency(a.host.domain, a.domains[placed.ID])
	a.clock.After(latency, func() { a.submit(placed, domain, latency) })
}

// requirePreferred excludes all engines except the preferred one, unless that has been
// tried.
func (a *attempt) requirePreferred(query placement.Query) {
	preferred, ok := placement.Preferred(query, a.snapshot)
	if !ok || query.Exclude[preferred.ID] {
		return
	}
	for _, other := range a.snapshot.Ready(query.Service) {
		query.Exclude[other.ID] = other.ID != preferred.ID
	}
}

// submit submits the request to an engine. If the engine refuses, the host tries
// another one.
func (a *attempt) submit(placed *placement.Placed, domain ident.FailureDomain, latency time.Duration) {
	if a.ended {
		a.chooser().Done(placed, placement.Abandoned, 0)
		return
	}
	started := a.clock.Elapsed()
	offset := a.eventsSeen
	r := &engine.Request{
		Prompt:       a.prompt,
		OutputTokens: a.prompt.Output,
		Generated:    offset * max(1, a.prompt.Output/max(1, a.events)),
		Rank:         a.kindSpec().Rank,
	}
	r.CacheSource = a.engines[placed.Cache.ID]
	count := 0
	r.OnEvent = func(last bool) {
		count++
		number := offset + count
		a.host.after(latency+a.lossDelay(), func() { a.forwardEvent(r, number, last) })
		if count == 1 {
			started = a.clock.Elapsed()
			a.host.after(latency, func() { a.chooser().MarkPromptRead(placed) })
			a.reportDone = func() { a.chooser().Done(placed, placement.Served, 0) }
		}
		if last && count > 1 {
			pace := (a.clock.Elapsed() - started) / time.Duration(count-1)
			a.reportDone = func() { a.chooser().Done(placed, placement.Served, pace) }
		}
	}
	r.OnCrash = func() {
		a.host.after(latency, func() { a.engineCrashed(placed, domain, count > 0) })
	}
	a.reportDone = func() { a.chooser().Done(placed, placement.Abandoned, 0) }
	a.engineRequest = r
	a.engine = a.engines[placed.ID]
	if !a.engine.Submit(r) {
		a.engineRequest = nil
		a.reportDone = nil
		a.host.after(latency, func() {
			a.chooser().Done(placed, placement.Full, 0)
			a.generate(domain)
		})
		return
	}
	a.submissions++
}

// lossDelay draws whether a packet is lost and returns the delay that this causes.
func (r *simulation) lossDelay() time.Duration {
	if r.deployment.LossRate > 0 && r.random.Float64() < r.deployment.LossRate {
		return retransmitDelay
	}
	return 0
}

// forwardEvent forwards an event to the caller, in order.
func (a *attempt) forwardEvent(r *engine.Request, number int, last bool) {
	if a.ended || a.engineRequest != r {
		return
	}
	a.releaseResults()
	sent := a.clock.Elapsed()
	arrives := max(a.lastEvent, sent+a.deployment.CallerLatency+a.lossDelay())
	q := a.request
	k := a.kindSpec()
	if arrives-sent > a.deployment.MaxEventDelay {
		q.late = true
	}
	if q.firstEventTime == 0 {
		q.firstEventTime = arrives - q.sent
		q.late = q.late || q.firstEventTime > k.Objective
		a.report.Kinds[q.kind].FirstEventTimes = append(a.report.Kinds[q.kind].FirstEventTimes, q.firstEventTime)
	} else {
		q.maxPause = max(q.maxPause, arrives-q.lastEvent)
		q.late = q.late || q.maxPause > k.MaxPause
	}
	q.lastEvent = arrives
	q.eventsSeen = number
	if last {
		a.finish()
		a.clock.After(arrives-sent, q.complete)
	}
}

// engineCrashed handles the crash of the engine that ran the request. The host resumes
// a request at another engine once, if its kind allows that.
func (a *attempt) engineCrashed(placed *placement.Placed, domain ident.FailureDomain, started bool) {
	if a.ended {
		return
	}
	a.chooser().Done(placed, placement.Failed, 0)
	a.engineRequest = nil
	a.reportDone = nil
	if !a.kindSpec().Resumes || a.submissions > 1 {
		a.fail()
		return
	}
	if started {
		a.startStages() // the results of the stages are released at the first event
		return
	}
	a.generate(domain)
}

// releaseResults releases the results of the stages.
func (a *attempt) releaseResults() {
	if c := a.coordinator; c != nil {
		a.coordinator = nil
		a.clock.After(a.latency(a.host.domain, 0), func() { c.cancel(a) })
	}
}

// finish ends the attempt; it does nothing if the attempt has ended.
func (a *attempt) finish() {
	if a.ended {
		return
	}
	a.ended = true
	delete(a.inStages, a.request)
	a.request.stageTime += a.stageTime
	a.releaseResults()
	if a.engineRequest != nil {
		a.engine.Cancel(a.engineRequest)
	}
	if a.reportDone != nil {
		a.reportDone()
	}
}

// refuse ends the attempt and tells the caller that the request did not run.
func (a *attempt) refuse(err error) {
	if a.ended {
		return
	}
	after := defaultRetryAfter
	var overload *batch.Overload
	if errors.As(err, &overload) {
		after = overload.RetryAfter()
		after += time.Duration(a.random.Int64N(int64(after / 2)))
	}
	if fixed := a.deployment.Policy.RetryAfter; fixed > 0 {
		after = fixed
	}
	retried := 0
	if a.retriesLeft < a.kindSpec().Retries {
		retried = 1
	}
	a.second(a.clock.Elapsed()).Refusals[retried]++
	a.finish()
	a.clock.After(a.deployment.CallerLatency, func() { a.retryOrEnd(after, true) })
}

// fail ends the attempt and tells the caller that the request may have run.
func (a *attempt) fail() {
	a.finish()
	a.clock.After(a.deployment.CallerLatency, func() { a.retryOrEnd(0, false) })
}

// retryOrEnd retries the request if retries are left and a retry is safe: either it was
// refused, or its kind may run twice. Otherwise it ends the request.
func (q *request) retryOrEnd(after time.Duration, refused bool) {
	if q.ended {
		return
	}
	if q.retriesLeft == 0 || !refused && !q.kindSpec().Resumes {
		q.endIncomplete(refused)
		return
	}
	q.retriesLeft--
	q.clock.After(min(after, q.timeLeft()/waitDivisor), q.startAttempt)
}

// expire ends a request at its deadline.
func (q *request) expire() {
	if q.ended {
		return
	}
	q.current.finish()
	q.endIncomplete(false)
}

// complete counts a complete response.
func (q *request) complete() {
	if q.ended {
		return
	}
	q.ended = true
	k := q.kindSpec()
	q.report.Kinds[q.kind].Pauses = append(q.report.Kinds[q.kind].Pauses, q.maxPause)
	for _, result := range q.counters() {
		if q.late {
			result.Late++
			result.EarnedWorth += k.LateWorth
		} else {
			result.OnTime++
			result.EarnedWorth += k.Worth
		}
	}
}

// endIncomplete counts a request without a complete response.
func (q *request) endIncomplete(refused bool) {
	q.ended = true
	q.report.WastedStageTime += q.stageTime
	for _, result := range q.counters() {
		if refused {
			result.Refused++
		} else {
			result.Failed++
		}
	}
}

// counters returns the results that count the request: those of its kind and of the
// second in which it was sent.
func (q *request) counters() []*Result {
	return []*Result{&q.report.Kinds[q.kind], &q.second(q.sent).Result}
}
