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

// world is a scheduler with upstreams that a test answers for.
type world struct {
	*batch.Scheduler
	now   time.Time
	last  batch.JobID
	calls []batch.Call // in progress
	done  map[batch.JobID]batch.Done
	held  map[wire.Handle]bool // results that are not released
	next  int
}

func limits(room int64) routes.Batch {
	return routes.Batch{
		Slots:    1,
		Queue:    2,
		Items:    8,
		CallTime: ms(200),
		ItemTime: ms(20),
		Room:     room,
		Retain:   4 * time.Second,
	}
}

// newWorld returns a scheduler of services with a number of upstreams each.
func newWorld(services map[ident.ServiceName]int, room int64) *world {
	w := &world{
		Scheduler: batch.New(batch.DefaultPolicy()),
		now:       start,
		done:      make(map[batch.JobID]batch.Done),
		held:      make(map[wire.Handle]bool),
	}
	w.configure(services, room)
	return w
}

func (w *world) configure(services map[ident.ServiceName]int, room int64) {
	known := make(map[ident.ServiceName]*routes.Service)
	for name := range services {
		l := limits(room)
		known[name] = &routes.Service{
			Name:  name,
			Batch: &l,
		}
	}
	w.Configure(known, func(name ident.ServiceName) []fleet.Upstream {
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

// job returns a job of one stage.
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

func (w *world) submit(j batch.Job) (batch.JobID, error) {
	w.last++
	j.ID = w.last
	j.Request = ident.RequestID(fmt.Sprint(w.last))
	return w.last, w.Submit(w.now, j)
}

// act takes what the scheduler decides.
func (w *world) act() batch.Actions {
	actions := w.Next(w.now)
	w.calls = append(w.calls, actions.Calls...)
	for _, done := range actions.Done {
		w.done[done.Job] = done
	}
	for _, release := range actions.Releases {
		for _, handle := range release.Handles {
			if !w.held[handle] {
				panic(fmt.Sprintf("result %s is released twice or was never made", handle))
			}
			delete(w.held, handle)
		}
	}
	return actions
}

// complete answers the i-th call in progress with success.
func (w *world) complete(i int) {
	w.finish(i, func(wire.Item) wire.ItemStatus { return wire.ItemDone })
}

func (w *world) finish(i int, status func(wire.Item) wire.ItemStatus) {
	call := w.take(i)
	completed := batch.Completed{}
	for _, item := range call.Items {
		result := wire.ItemResult{
			Status: status(item),
		}
		if result.Status == wire.ItemDone {
			w.next++
			result.Handle = wire.Handle(fmt.Sprintf("%s/%d", call.Upstream.Address, w.next))
			w.held[result.Handle] = true
		}
		completed.Results = append(completed.Results, result)
	}
	w.Finish(w.now, call.ID, completed)
}

func (w *world) take(i int) batch.Call {
	call := w.calls[i]
	w.calls = append(w.calls[:i], w.calls[i+1:]...)
	return call
}

func requests(call batch.Call) []string {
	var list []string
	for _, item := range call.Items {
		list = append(list, fmt.Sprintf("%s.%d.%d", item.Request, item.Stage, item.Piece))
	}
	return list
}
