package coordinator_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/standin/tcp"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
	"github.com/nutmegshift/nutmegshift/kv"
)

// codec is a wire.Codec of JSON messages for the calls of stages.
type codec struct {
	wire.Codec
}

func (codec) CallHeader(ident.UpstreamID) http.Header { return http.Header{} }

func (codec) Reply(status int, header http.Header) wire.Reply {
	reply := wire.Reply{NotRun: status == 503}
	if header.Get("Load") != "" {
		reply.Load = &wire.Load{Slots: 1, Pace: 1}
	}
	return reply
}

func (codec) Batch(items []wire.Item) (wire.Message, error) { return message("/run", items) }
func (codec) Release(handles []wire.Handle) (wire.Message, error) {
	return message("/release", handles)
}

func (codec) Results(body []byte) (results []wire.ItemResult, err error) {
	err = json.Unmarshal(body, &results)
	return results, err
}

func message(path string, content any) (wire.Message, error) {
	body, err := json.Marshal(content)
	return wire.Message{
		Method: http.MethodPost,
		Path:   path,
		Body:   body,
	}, err
}

// stageUpstream is an upstream that runs the pieces of a stage.
type stageUpstream struct {
	id      ident.UpstreamID
	address ident.Address
	batches atomic.Int64
	onBatch func() // called for each batch
}

func (u *stageUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var items []wire.Item
	body, err := io.ReadAll(r.Body)
	if err != nil || r.URL.Path != "/run" || json.Unmarshal(body, &items) != nil {
		return
	}
	number := u.batches.Add(1)
	u.onBatch()
	var results []wire.ItemResult
	for i := range items {
		results = append(results, wire.ItemResult{
			Status: wire.ItemDone,
			Handle: wire.Handle(fmt.Sprintf("%s/%d/%d", u.id, number, i)),
		})
	}
	_ = json.NewEncoder(w).Encode(results)
}

// register puts the registration of an upstream into a directory.
func (u *stageUpstream) register(directory *fleet.Directory, state fleet.State, version kv.Version) {
	directory.Put(fleet.Registration{
		Upstream: fleet.Upstream{
			ID:      u.id,
			Service: "stage",
			Address: u.address,
			Slots:   1,
			State:   state,
		},
		Version: version,
	})
}

// batchTime is how long a repeatingUpstream takes for a batch. It is longer than the pause
// after a batch without a usable response.
const batchTime = 600 * time.Millisecond

// repeatingUpstream is an upstream of a stage that writes its response to a release once
// more when the next batch arrives on the connection, and responds to that later.
type repeatingUpstream struct {
	connections atomic.Int64
	released    chan struct{}        // receives an element for each release
	received    chan ident.RequestID // receives the request of each batch
}

func (u *repeatingUpstream) handle(conn *net.TCPConn) {
	const released = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	u.connections.Add(1)
	reader := bufio.NewReader(conn)
	repeats := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/release" {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, released)
			repeats = true
			u.released <- struct{}{}
			continue
		}
		var items []wire.Item
		if json.NewDecoder(request.Body).Decode(&items) != nil {
			return
		}
		if repeats {
			_, _ = io.WriteString(conn, released)
			repeats = false
		}
		u.received <- items[0].Request
		time.Sleep(batchTime)
		var results []wire.ItemResult
		for _, item := range items {
			results = append(results, wire.ItemResult{
				Status: wire.ItemDone,
				Handle: wire.Handle(fmt.Sprintf("%s/%d", item.Request, item.Piece)),
			})
		}
		body, _ := json.Marshal(results)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// Guards against a request that gets the results of another one, because a connection was
// used again on which a response was still due.
func TestRepeatedResponseToRelease(t *testing.T) {
	c := qt.New(t)
	u := &repeatingUpstream{
		released: make(chan struct{}, 10),
		received: make(chan ident.RequestID, 10),
	}
	directory := fleet.New()
	(&stageUpstream{
		id:      "a",
		address: tcp.Serve(t, u.handle).Address(),
	}).register(directory, fleet.Ready, 1)
	started := start(c, directory)
	submit := func(request ident.RequestID, objective time.Duration) *coordinatorTicket {
		return submitJob(c, started, request, 1, objective)
	}
	check := func(ticket *coordinatorTicket) {
		prepared, err := ticket.Wait(t.Context())
		c.Assert(err, qt.IsNil)
		c.Check(prepared.Inputs, qt.DeepEquals, []wire.Handle{wire.Handle(ticket.request + "/0")})
		prepared.Release()
		<-u.released
	}
	for round := range 3 {
		first := submit(ident.RequestID(fmt.Sprintf("first-%d", round)), 10*time.Second)
		<-u.received
		check(first)
		time.Sleep(100 * time.Millisecond) // lets the connection become idle
		second := submit(ident.RequestID(fmt.Sprintf("second-%d", round)), 10*time.Second)
		<-u.received
		// The third request is more urgent than the second one, so it goes out first if
		// the batch of the second one has to be sent again.
		third := submit(ident.RequestID(fmt.Sprintf("third-%d", round)), 5*time.Second)
		check(third)
		check(second)
		for len(u.received) > 0 {
			<-u.received
		}
	}
}

// coordinatorTicket is a ticket with the request that it is for.
type coordinatorTicket struct {
	*coordinator.Ticket
	request ident.RequestID
}

// submitJob submits a job of one stage.
func submitJob(c *qt.C, to *coordinator.Coordinator, request ident.RequestID, pieces int, objective time.Duration) *coordinatorTicket {
	ticket, err := to.Submit(coordinator.Job{
		Job: batch.Job{
			Request: request,
			Stages: []batch.Stage{{
				Service: "stage",
				Kind:    "kind",
				Pieces:  pieces,
			}},
			Objective: time.Now().Add(objective),
			Deadline:  time.Now().Add(objective),
		},
	})
	c.Assert(err, qt.IsNil)
	return &coordinatorTicket{
		Ticket:  ticket,
		request: request,
	}
}

// start starts a coordinator of the upstreams in a directory, which have no health path.
func start(c *qt.C, directory *fleet.Directory) *coordinator.Coordinator {
	return startWith(c, directory, "", meter.New())
}

// startWith starts a coordinator of upstreams that may have a health path, with a table of
// the given routes.
func startWith(c *qt.C, directory *fleet.Directory, healthPath string, counts *meter.Meter, staged ...*routes.Route) *coordinator.Coordinator {
	service := &routes.Service{
		Name:       "stage",
		HealthPath: healthPath,
		Batch: &routes.Batch{
			Slots:     1,
			Queue:     2,
			Items:     1,
			CallTime:  10 * time.Millisecond,
			Capacity:  1 << 20,
			Retention: 10 * time.Second,
		},
	}
	table := routes.New(1, routes.Limits{}, staged, []*routes.Service{service}, nil)
	pauses := fleet.NewPauses(time.Now, rand.Float64)
	newClient := func() *upstreamhttp.Client {
		return upstreamhttp.New(upstreamhttp.Config{
			Codec:   codec{},
			Dial:    upstreamhttp.Dial,
			Now:     time.Now,
			Opened:  func() {},
			Admit:   pauses.Remaining,
			Observe: func(fleet.Upstream, wire.Reply) {},
		})
	}
	batches, releases := newClient(), newClient()
	started := coordinator.New(coordinator.Config{
		Held:     func(ident.ServiceName) []fleet.Release { return nil },
		Codec:    codec{},
		Batches:  batches,
		Releases: releases,
		Table:    func() *routes.Table { return table },
		Fleet:    directory.Snapshot,
		Includes: cell.ID("").Includes,
		OnPlace:  func(coordinator.Job, fleet.Upstream) {},
		Chooser:  placement.New(time.Now, rand.Float64),
		Pauses:   pauses,
		Memory:   memory.New(1 << 20),
		Meter:    counts,
		Now:      time.Now,
		Log:      zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- started.Run(ctx) }(ctx)
	c.Cleanup(func() {
		cancel()
		c.Check(<-ended, qt.IsNil)
		batches.Close()
		releases.Close()
	})
	return started
}

// Guards against batches that go to an upstream that drains, or not to one that has
// joined, because no job has arrived since.
func TestRegistrationsWhileNoJobArrives(t *testing.T) {
	c := qt.New(t)
	directory := fleet.New()
	upstreams := make([]*stageUpstream, 3)
	servers := make([]*httptest.Server, len(upstreams))
	for i := range upstreams {
		u := &stageUpstream{
			id:      ident.UpstreamID(fmt.Sprint(i)),
			onBatch: func() {},
		}
		servers[i] = httptest.NewUnstartedServer(u)
		c.Cleanup(servers[i].Close)
		u.address = ident.Address(servers[i].Listener.Addr().String())
		upstreams[i] = u
	}
	draining, staying, joining := upstreams[0], upstreams[1], upstreams[2]
	draining.onBatch = func() {
		draining.register(directory, fleet.Draining, 2)
		joining.register(directory, fleet.Ready, 2)
	}
	for _, server := range servers {
		server.Start()
	}
	draining.register(directory, fleet.Ready, 1)
	staying.register(directory, fleet.Ready, 1)
	const pieces = 30
	ticket := submitJob(c, start(c, directory), "a", pieces, 10*time.Second)
	prepared, err := ticket.Wait(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(prepared.Inputs, qt.HasLen, pieces)
	// Its other batches may have been on their way.
	c.Check(draining.batches.Load() <= 3, qt.IsTrue, qt.Commentf("%d batches", draining.batches.Load()))
	c.Check(joining.batches.Load() > 0, qt.IsTrue)
}

// Guards against slack-aware scheduling that is not enabled by the objectives of the table,
// or is enabled where they hardly differ.
func TestSlackAware(t *testing.T) {
	tests := map[string]struct {
		longest time.Duration // the shortest objective is a second
		want    bool
	}{
		"similar":   {longest: 2900 * time.Millisecond},
		"different": {longest: 3 * time.Second, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			upstream := &stageUpstream{
				id:      "0",
				onBatch: func() {},
			}
			server := httptest.NewServer(upstream)
			c.Cleanup(server.Close)
			upstream.address = ident.Address(server.Listener.Addr().String())
			directory := fleet.New()
			upstream.register(directory, fleet.Ready, 1)
			var staged []*routes.Route
			for _, objective := range []time.Duration{time.Second, test.longest} {
				staged = append(staged, &routes.Route{
					Stages:    make([]routes.Stage, 1),
					Objective: objective,
				})
			}
			metrics := meter.New()
			_, err := submitJob(c, startWith(c, directory, "", metrics, staged...), "a", 1, time.Second).Wait(t.Context())
			c.Assert(err, qt.IsNil)
			var text strings.Builder
			for range 100 { // the ticket is served before the prediction is counted
				text.Reset()
				metrics.Write(&text)
				if strings.Contains(text.String(), "relay_stages_predictions_total") {
					break
				}
				time.Sleep(time.Millisecond)
			}
			c.Check(strings.Contains(text.String(), "relay_stages_predictions_total"), qt.Equals, test.want)
		})
	}
}

// Guards against a proposal that a coordinator notes for a request whose host has asked another
// one, since it was busy or stood still: the stream begins at the release that the other proposes.
func TestNoProposalForCancelledRequest(t *testing.T) {
	c := qt.New(t)
	started := start(c, fleet.New())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 16 { // a select chooses one of two at random
		ticket, err := started.Submit(coordinator.Job{
			Job: batch.Job{
				Request: "r",
			},
		})
		c.Assert(err, qt.IsNil)
		_, err = ticket.Wait(ctx)
		c.Check(err, qt.ErrorIs, context.Canceled)
	}
}
