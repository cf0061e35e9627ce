package batch_test

import (
	"fmt"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// harness is a scheduler whose upstreams are played by the test.
type harness struct {
	*batch.Scheduler
	now        time.Time
	lastJob    batch.JobID                // ID of the latest job
	calls      []batch.Call               // in progress
	ends       map[batch.CallID]time.Time // expected ends of calls
	done       map[batch.JobID]batch.Done
	failed     int                  // jobs that ended with an error
	held       map[wire.Handle]bool // results that are not released
	lastResult int                  // number of the latest result
}

func limits(capacity int64) routes.Batch {
	return routes.Batch{
		Slots:     1,
		Queue:     2,
		Items:     8,
		CallTime:  ms(200),
		ItemTime:  ms(20),
		Capacity:  capacity,
		Retention: 4 * time.Second,
	}
}

// newHarness returns a scheduler with services that have the given numbers of
// upstreams.
func newHarness(services map[ident.ServiceName]int, capacity int64) *harness {
	h := &harness{
		Scheduler: batch.New(batch.DefaultPolicy()),
		now:       start,
		ends:      make(map[batch.CallID]time.Time),
		done:      make(map[batch.JobID]batch.Done),
		held:      make(map[wire.Handle]bool),
	}
	h.configure(services, capacity)
	return h
}

func (h *harness) configure(services map[ident.ServiceName]int, capacity int64) {
	known := make(map[ident.ServiceName]*routes.Service)
	for name := range services {
		l := limits(capacity)
		known[name] = &routes.Service{
			Name:  name,
			Batch: &l,
		}
	}
	h.Configure(known, func(name ident.ServiceName) []fleet.Upstream {
		var list []fleet.Upstream
		for i := range services[name] {
			list = append(list, fleet.Upstream{
				ID:      ident.UpstreamID(fmt.Sprintf("%s%d", name, i)),
				Service: name,
				Address: ident.Address(fmt.Sprintf("%s%d", name, i)),
				Domain:  ident.FailureDomain(fmt.Sprint(i)),
			})
		}
		return list
	})
}

// job returns a job with one stage.
func job(service ident.ServiceName, pieces int, objective time.Duration) batch.Job {
	return batch.Job{
		Key:       "key",
		Objective: start.Add(objective),
		Deadline:  start.Add(objective + 10*time.Second),
		Stages: []batch.Stage{{
			Service: service,
			Kind:    "k",
			Pieces:  pieces,
			Bytes:   100,
		}},
	}
}

func (h *harness) submit(j batch.Job) (batch.JobID, error) {
	h.lastJob++
	j.ID = h.lastJob
	j.Request = ident.RequestID(fmt.Sprint(h.lastJob))
	return h.lastJob, h.Submit(h.now, j)
}

// plan gets the actions of the scheduler and applies them. It panics if a result is
// released that is not held.
func (h *harness) plan() batch.Actions {
	actions := h.Plan(h.now)
	h.calls = append(h.calls, actions.Calls...)
	for _, call := range actions.Calls {
		h.ends[call.ID] = h.now.Add(call.Expected)
	}
	for _, done := range actions.Done {
		h.done[done.Job] = done
		if done.Err != nil {
			h.failed++
		}
	}
	for _, release := range actions.Releases {
		for _, handle := range release.Handles {
			if !h.held[handle] {
				panic(fmt.Sprintf("result %s is released twice or was never created", handle))
			}
			delete(h.held, handle)
		}
	}
	return actions
}

// complete finishes the call at index i with all items done.
func (h *harness) complete(i int) {
	h.finish(i, func(wire.Item) wire.ItemStatus { return wire.ItemDone })
}

// finish finishes the call at index i with the given status for each item.
func (h *harness) finish(i int, status func(wire.Item) wire.ItemStatus) {
	call := h.take(i)
	completed := batch.Completed{}
	for _, item := range call.Items {
		result := wire.ItemResult{
			Status: status(item),
		}
		if result.Status == wire.ItemDone {
			h.lastResult++
			result.Handle = wire.Handle(fmt.Sprintf("%s/%d", call.Upstream.Address, h.lastResult))
			h.held[result.Handle] = true
		}
		completed.Results = append(completed.Results, result)
	}
	h.FinishCall(h.now, call.ID, completed)
}

// take removes and returns the call at index i.
func (h *harness) take(i int) batch.Call {
	call := h.calls[i]
	h.calls = append(h.calls[:i], h.calls[i+1:]...)
	return call
}

// requests returns the items of a call as request.stage.piece.
func requests(call batch.Call) []string {
	var list []string
	for _, item := range call.Items {
		list = append(list, fmt.Sprintf("%s.%d.%d", item.Request, item.Stage, item.Piece))
	}
	return list
}
