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
	// resendTime is when a lost packet is sent again.
	resendTime = 200 * time.Millisecond
	// patiencePart is the part of the time left that a caller waits before it comes
	// back.
	patiencePart = 3
	// maxSends bounds the engines that are asked for one attempt.
	maxSends = 4
	// readTime is when a caller gives up a host that has not read its request.
	readTime = time.Second
	// retryTime is when a caller may come back after a refusal that names no delay.
	retryTime = time.Second
)

// request is one request of a caller with all its attempts.
type request struct {
	*run
	kind    int
	sent    time.Duration // by the caller, first
	retries int
	pieces  []int
	prompt  wire.Prompt
	events  int
	seen    int           // events that the caller has
	arrived time.Duration // of the latest event
	pause   time.Duration // longest between events
	first   time.Duration // time to the first event; 0 before it
	late    bool
	over    bool
	spent   time.Duration // by stages for attempts that have ended
	current *attempt
}

// attempt is what a host does for a request that has arrived once.
type attempt struct {
	*request
	host        *host
	id          ident.RequestID
	job         batch.Job
	coordinator *coordinator
	spent       time.Duration // by stages
	sends       []ident.UpstreamID
	ran         int
	running     *engine.Request
	at          *engine.Engine
	ended       func() // tells the chooser of the end at the engine; nil if there is none
	began       bool   // the host has read it
	over        bool
}

func (q *request) spec() deployment.Kind { return q.deployment.Kinds[q.kind] }

// ask sends a new request.
func (r *run) ask(kind int) {
	k := r.deployment.Kinds[kind]
	q := &request{
		run:     r,
		kind:    kind,
		sent:    r.clock.Elapsed(),
		retries: k.Retries,
		events:  r.whole(k.Events),
	}
	for _, s := range k.Stages {
		pieces := 0
		if s.Share >= 1 || r.random.Float64() < s.Share {
			pieces = r.whole(s.Pieces)
		}
		q.pieces = append(q.pieces, pieces)
	}
	q.prompt = r.prompt(k, q.events)
	for _, result := range []*Result{&r.report.Kinds[kind], &r.second(q.sent).Result} {
		result.Asked++
		result.Owed += k.Worth
	}
	r.clock.After(k.Deadline, q.expire)
	q.try()
}

// prompt draws the parts of a prompt; each shared part belongs to one of its things.
func (r *run) prompt(k deployment.Kind, events int) wire.Prompt {
	prompt := wire.Prompt{}
	stride := 1
	for _, e := range r.deployment.Engines {
		if e.Name == k.Engines {
			stride = e.Stride
		}
	}
	for i, tokens := range k.Shared {
		prompt.Parts = append(prompt.Parts, wire.Part{
			ID:     wire.PartID(fmt.Sprintf("%s/%d/%d", k.Name, i, r.random.IntN(k.Things[i]))),
			Tokens: tokens,
		})
		prompt.Input += tokens
	}
	own := r.whole(k.Input)
	r.attempted++
	prompt.Parts = append(prompt.Parts, wire.Part{
		ID:     wire.PartID(fmt.Sprintf("own/%d", r.attempted)),
		Tokens: own,
	})
	prompt.Input += own
	// The first event has one token, the others have the engine's number.
	prompt.Output = (events-1)*stride + 1
	return prompt
}

// try sends the request to a host.
func (q *request) try() {
	if q.over {
		return
	}
	q.attempted++
	a := &attempt{
		request: q,
		host:    q.hosts[q.random.IntN(len(q.hosts))],
		id:      ident.RequestID(fmt.Sprint(q.attempted)),
	}
	q.current = a
	q.attempts[a.id] = a
	a.host.after(q.deployment.Callers, a.begin)
	q.clock.After(min(readTime, q.left()/patiencePart), func() {
		if !a.began {
			a.close()
			q.back(0, false)
		}
	})
}

// left returns how long the caller still waits.
func (q *request) left() time.Duration {
	return q.spec().Deadline - (q.clock.Elapsed() - q.sent)
}

// begin runs the stages as a host that has just received the request does.
func (a *attempt) begin() {
	if a.over {
		return
	}
	a.began = true
	k := a.spec()
	now := a.clock.Now()
	a.attempted++
	a.job = batch.Job{
		ID:        batch.JobID(a.attempted),
		Request:   a.id,
		Domain:    ident.FailureDomain(fmt.Sprint(a.host.domain)),
		Rank:      batch.Rank(k.Rank),
		Key:       string(a.id),
		Objective: now.Add(k.Objective - batch.FirstEventTime),
		Deadline:  now.Add(a.left() - batch.FirstEventTime),
	}
	a.job.Domain = a.chooser().Domain(a.query(""), a.snapshot)
	work := 0
	for i, s := range k.Stages {
		work += a.pieces[i]
		a.job.Stages = append(a.job.Stages, batch.Stage{
			Service: ident.ServiceName(s.Pool),
			Kind:    batch.Kind(fmt.Sprintf("%s/%d", k.Name, i)),
			After:   s.After,
			Pieces:  a.pieces[i],
			Bytes:   s.Bytes,
		})
	}
	if work == 0 {
		a.generate("")
		return
	}
	a.working[a.request] = true
	a.coordinator = a.coordinators[a.host.index()%len(a.coordinators)]
	a.clock.After(a.way(a.host.domain, 0), func() { a.coordinator.submit(a) })
}

func (h *host) index() int { return slices.Index(h.hosts, h) }

// chooser returns the one that places the request.
func (a *attempt) chooser() *placement.Chooser {
	if a.deployment.Policy.Placement == deployment.ByCoordinator {
		return a.placer
	}
	return a.host.chooser
}

// query says which engine the request needs.
func (a *attempt) query(domain ident.FailureDomain) placement.Query {
	if domain == "" {
		domain = ident.FailureDomain(fmt.Sprint(a.host.domain))
	}
	query := placement.Query{
		Service: ident.ServiceName(a.spec().Engines),
		Domain:  domain,
		Prompt:  a.prompt,
		Exclude: make(map[ident.UpstreamID]bool),
	}
	for _, id := range a.sends {
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

// generate sends the request to an engine.
func (a *attempt) generate(domain ident.FailureDomain) {
	delete(a.working, a.request)
	if a.over {
		return
	}
	if len(a.sends) >= maxSends {
		a.refused(errors.New("all engines are full"))
		return
	}
	query := a.query(domain)
	if a.deployment.Policy.Affinity == deployment.Strict {
		a.insist(query)
	}
	to, ok := a.chooser().Choose(query, a.snapshot)
	if !ok {
		a.refused(errors.New("no engine is left"))
		return
	}
	a.sends = append(a.sends, to.ID)
	way := a.way(a.host.domain, a.domains[to.ID])
	a.clock.After(way, func() { a.enter(to, domain, way) })
}

// insist excludes all engines but the preferred one, if that has not been asked.
func (a *attempt) insist(query placement.Query) {
	preferred, ok := placement.Preferred(query, a.snapshot)
	if !ok || query.Exclude[preferred.ID] {
		return
	}
	for _, other := range a.snapshot.Ready(query.Service) {
		query.Exclude[other.ID] = other.ID != preferred.ID
	}
}

// enter submits the request at an engine.
func (a *attempt) enter(to *placement.Placed, domain ident.FailureDomain, way time.Duration) {
	if a.over {
		a.chooser().Done(to, placement.Abandoned, 0)
		return
	}
	began := a.clock.Elapsed()
	from := a.seen
	r := &engine.Request{
		Prompt: a.prompt,
		Output: a.prompt.Output,
		Made:   from * max(1, a.prompt.Output/max(1, a.events)),
		Rank:   a.spec().Rank,
	}
	r.From = a.engines[to.Cache.ID]
	count := 0
	r.Event = func(last bool) {
		count++
		number := from + count
		a.host.after(way+a.lost(), func() { a.event(r, number, last) })
		if count == 1 {
			began = a.clock.Elapsed()
			a.host.after(way, func() { a.chooser().MarkPromptRead(to) })
			a.ended = func() { a.chooser().Done(to, placement.Served, 0) }
		}
		if last && count > 1 {
			pace := (a.clock.Elapsed() - began) / time.Duration(count-1)
			a.ended = func() { a.chooser().Done(to, placement.Served, pace) }
		}
	}
	r.Broken = func() {
		a.host.after(way, func() { a.broken(to, domain, count > 0) })
	}
	a.ended = func() { a.chooser().Done(to, placement.Abandoned, 0) }
	a.running = r
	a.at = a.engines[to.ID]
	if !a.at.Submit(r) {
		a.running = nil
		a.ended = nil
		a.host.after(way, func() {
			a.chooser().Done(to, placement.Full, 0)
			a.generate(domain)
		})
		return
	}
	a.ran++
}

// lost returns the delay of a packet that is perhaps lost.
func (r *run) lost() time.Duration {
	if r.deployment.Loss > 0 && r.random.Float64() < r.deployment.Loss {
		return resendTime
	}
	return 0
}

// event passes an event on to the caller.
func (a *attempt) event(r *engine.Request, number int, last bool) {
	if a.over || a.running != r {
		return
	}
	a.release()
	made := a.clock.Elapsed()
	arrives := max(a.arrived, made+a.deployment.Callers+a.lost())
	q := a.request
	k := a.spec()
	if arrives-made > a.deployment.Delay {
		q.late = true
	}
	if q.first == 0 {
		q.first = arrives - q.sent
		q.late = q.late || q.first > k.Objective
		a.report.Kinds[q.kind].Firsts = append(a.report.Kinds[q.kind].Firsts, q.first)
	} else {
		q.pause = max(q.pause, arrives-q.arrived)
		q.late = q.late || q.pause > k.Pause
	}
	q.arrived = arrives
	q.seen = number
	if last {
		a.close()
		a.clock.After(arrives-made, q.served)
	}
}

// broken takes the crash of the engine that ran the request.
func (a *attempt) broken(to *placement.Placed, domain ident.FailureDomain, started bool) {
	if a.over {
		return
	}
	a.chooser().Done(to, placement.Failed, 0)
	a.running = nil
	a.ended = nil
	if !a.spec().Resumes || a.ran > 1 {
		a.fail()
		return
	}
	if started {
		a.begin() // the results of the stages are released by now
		return
	}
	a.generate(domain)
}

// release drops the results of the stages.
func (a *attempt) release() {
	if c := a.coordinator; c != nil {
		a.coordinator = nil
		a.clock.After(a.way(a.host.domain, 0), func() { c.cancel(a) })
	}
}

// close ends the attempt.
func (a *attempt) close() {
	if a.over {
		return
	}
	a.over = true
	delete(a.working, a.request)
	a.request.spent += a.spent
	a.release()
	if a.running != nil {
		a.at.Cancel(a.running)
	}
	if a.ended != nil {
		a.ended()
	}
}

// refused tells the caller that the request did not run.
func (a *attempt) refused(err error) {
	if a.over {
		return
	}
	after := retryTime
	var overload *batch.Overload
	if errors.As(err, &overload) {
		after = overload.RetryAfter()
		after += time.Duration(a.random.Int64N(int64(after / 2)))
	}
	if fixed := a.deployment.Policy.Return; fixed > 0 {
		after = fixed
	}
	again := 0
	if a.retries < a.spec().Retries {
		again = 1
	}
	a.second(a.clock.Elapsed()).Refused[again]++
	a.close()
	a.clock.After(a.deployment.Callers, func() { a.back(after, true) })
}

// fail tells the caller that the request may have run.
func (a *attempt) fail() {
	a.close()
	a.clock.After(a.deployment.Callers, func() { a.back(0, false) })
}

// back lets the caller try again, if it may.
func (q *request) back(after time.Duration, refused bool) {
	if q.over {
		return
	}
	if q.retries == 0 || !refused && !q.spec().Resumes {
		q.end(refused)
		return
	}
	q.retries--
	q.clock.After(min(after, q.left()/patiencePart), q.try)
}

// expire ends a request at its deadline.
func (q *request) expire() {
	if q.over {
		return
	}
	q.current.close()
	q.end(false)
}

// served counts a complete answer.
func (q *request) served() {
	if q.over {
		return
	}
	q.over = true
	k := q.spec()
	q.report.Kinds[q.kind].Pauses = append(q.report.Kinds[q.kind].Pauses, q.pause)
	for _, result := range q.counts() {
		if q.late {
			result.Late++
			result.Earned += k.Late
		} else {
			result.OnTime++
			result.Earned += k.Worth
		}
	}
}

// end counts a request without a complete answer.
func (q *request) end(refused bool) {
	q.over = true
	q.report.Wasted += q.spent
	for _, result := range q.counts() {
		if refused {
			result.Refused++
		} else {
			result.Failed++
		}
	}
}

func (q *request) counts() []*Result {
	return []*Result{&q.report.Kinds[q.kind], &q.second(q.sent).Result}
}
