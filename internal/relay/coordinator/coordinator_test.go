package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
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
	"github.com/nutmegshift/nutmegshift/internal/relay/memory"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/kv"
)

// codec is a wire.Codec of JSON messages for the calls of stages.
type codec struct {
	wire.Codec
}

func (codec) CallHeader(ident.UpstreamID) http.Header       { return http.Header{} }
func (codec) Reply(status int, _ http.Header) wire.Reply    { return wire.Reply{NotRun: status == 503} }
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

// start starts a coordinator of the upstreams in a directory.
func start(c *qt.C, directory *fleet.Directory) *coordinator.Coordinator {
	service := &routes.Service{
		Name: "stage",
		Batch: &routes.Batch{
			Slots:     1,
			Queue:     2,
			Items:     1,
			CallTime:  10 * time.Millisecond,
			Capacity:  1 << 20,
			Retention: 10 * time.Second,
		},
	}
	table := routes.New(1, routes.Limits{}, nil, []*routes.Service{service}, nil)
	pauses := fleet.NewPauses(time.Now)
	client := upstreamhttp.New(upstreamhttp.Config{
		Codec:   codec{},
		Dial:    upstreamhttp.Dial,
		Now:     time.Now,
		Opened:  func() {},
		Paused:  pauses.Remaining,
		Observe: func(fleet.Upstream, wire.Reply) {},
	})
	started := coordinator.New(coordinator.Config{
		Codec:    codec{},
		Client:   client,
		Table:    func() *routes.Table { return table },
		Fleet:    directory.Snapshot,
		Includes: cell.ID("").Includes,
		Chooser:  placement.New(time.Now, rand.Float64),
		Pauses:   pauses,
		Memory:   memory.New(1 << 20),
		Meter:    meter.New(),
		Now:      time.Now,
		Log:      zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- started.Run(ctx) }(ctx)
	c.Cleanup(func() {
		cancel()
		c.Check(<-ended, qt.IsNil)
		client.Close()
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
	ticket, err := start(c, directory).Submit(coordinator.Job{
		Job: batch.Job{
			Request: "a",
			Stages: []batch.Stage{{
				Service: "stage",
				Kind:    "kind",
				Pieces:  pieces,
			}},
			Objective: time.Now().Add(10 * time.Second),
			Deadline:  time.Now().Add(10 * time.Second),
		},
	})
	c.Assert(err, qt.IsNil)
	prepared, err := ticket.Wait(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(prepared.Inputs, qt.HasLen, pieces)
	// Its other batches may have been on their way.
	c.Check(draining.batches.Load() <= 3, qt.IsTrue, qt.Commentf("%d batches", draining.batches.Load()))
	c.Check(joining.batches.Load() > 0, qt.IsTrue)
}
