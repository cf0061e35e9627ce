package cell_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// members is the membership as one host sees it.
type members struct {
	table *peer.Table
}

func newMembers(others ...peer.Row) *members {
	m := &members{
		table: peer.NewTable(peer.Row{
			Host:     "self",
			Address:  "self",
			Capacity: 0.4,
		}),
	}
	m.table.Merge(time.Now(), others)
	return m
}

func row(host ident.HostID) peer.Row {
	return peer.Row{
		Host:        host,
		Address:     ident.Address(host),
		Incarnation: 1,
		Capacity:    0.8,
		State:       peer.Alive,
	}
}

func (m *members) leave(host ident.HostID) {
	m.table.Merge(time.Now(), []peer.Row{{
		Host:        host,
		Incarnation: 1,
		State:       peer.Leaving,
	}})
}

// suspect records enough failures of a host to make it a suspect.
func (m *members) suspect(host ident.HostID) {
	gossip := peer.NewGossip(peer.Config{
		Table: m.table,
	})
	for range peer.FailureThreshold {
		gossip.Failed(time.Now(), host)
	}
}

func names(rows []peer.Row) []ident.HostID {
	var list []ident.HostID
	for _, row := range rows {
		list = append(list, row.Host)
	}
	return list
}

// Guards against cells that are too large for one host to coordinate.
func TestOf(t *testing.T) {
	table := routes.New(1, routes.Limits{}, nil, []*routes.Service{
		{
			Name:  "stage",
			Batch: &routes.Batch{},
		},
		{
			Name: "plain",
		},
	}, nil)
	snapshot := func(service ident.ServiceName, n int) *fleet.Snapshot {
		d := fleet.New()
		for i := range n {
			d.Put(fleet.Registration{
				Upstream: fleet.Upstream{
					ID:      ident.UpstreamID(fmt.Sprint(i)),
					Service: service,
					State:   fleet.Ready,
				},
			})
		}
		return d.Snapshot()
	}
	tests := map[string]struct {
		service ident.ServiceName
		n       int
		want    cell.ID
	}{
		"few upstreams":           {service: "stage", n: 14, want: ""},
		"many upstreams":          {service: "stage", n: 200, want: "here"},
		"many of another service": {service: "plain", n: 200, want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, cell.Of("here", table, snapshot(test.service, test.n)), qt.Equals, test.want)
		})
	}
}

// remote is a Remote with scripted results by host.
type remote struct {
	submit map[ident.Address]error
	wait   map[ident.Address]func() (coordinator.Prepared, error)
	probe  error
	asked  []ident.Address

	reports []coordinator.Report // of the last job
}

// work returns a job with a stage that has an objective.
func work(objective time.Duration) coordinator.Job {
	w := job()
	w.Objective = time.Now().Add(objective)
	w.Stages = []batch.Stage{{Service: "stage", Pieces: 1}}
	return w
}

// job returns a job without stages and with a deadline that is far ahead.
func job() coordinator.Job {
	return coordinator.Job{
		Job: batch.Job{
			Deadline: time.Now().Add(time.Minute),
		},
	}
}

type ticket struct {
	wait   func() (coordinator.Prepared, error)
	cancel chan struct{}
}

func (r *remote) Submit(_ context.Context, to ident.Address, _ cell.ID, job coordinator.Job, _ time.Duration) (cell.Ticket, error) {
	r.asked = append(r.asked, to)
	r.reports = job.Reports
	if err := r.submit[to]; err != nil {
		return nil, err
	}
	return &ticket{
		wait:   r.wait[to],
		cancel: make(chan struct{}),
	}, nil
}

func (t *ticket) Wait() (coordinator.Prepared, error) {
	if t.wait == nil {
		<-t.cancel
		return coordinator.Prepared{}, cell.ErrUnreachable
	}
	return t.wait()
}

func (t *ticket) Cancel() { close(t.cancel) }

// Guards against a request that fails although another host can coordinate it, and
// against a request that is sent to further hosts after one has refused it.
func TestPrepare(t *testing.T) {
	done := func() (coordinator.Prepared, error) {
		return coordinator.Prepared{
			Domain: "done",
		}, nil
	}
	fails := func() (coordinator.Prepared, error) {
		return coordinator.Prepared{}, batch.ErrFailed
	}
	lost := func() (coordinator.Prepared, error) {
		return coordinator.Prepared{}, cell.ErrUnreachable
	}
	slow := func() (coordinator.Prepared, error) {
		time.Sleep(time.Second) // longer than several checks of the coordinator
		return done()
	}
	tests := map[string]struct {
		submit []error                                // errors of Submit, in the order of the hosts
		wait   []func() (coordinator.Prepared, error) // results of Wait, in the order of the hosts
		leaves bool                                   // the first host leaves while it has the job
		dies   bool                                   // the first host stops responding while it has the job
		probe  error                                  // of the first host
		asked  int                                    // hosts that get the job
		err    error
		local  bool // this host coordinates the job

		contested bool // two hosts may have proposed an upstream
	}{
		"done by the first":     {submit: []error{nil, nil}, wait: []func() (coordinator.Prepared, error){done, done}, asked: 1},
		"first does not answer": {submit: []error{cell.ErrUnreachable, nil}, wait: []func() (coordinator.Prepared, error){nil, done}, asked: 2, contested: true},
		"first is not reached":  {submit: []error{errors.WithType(cell.ErrUnreachable, cell.ErrUnsent), nil}, wait: []func() (coordinator.Prepared, error){nil, done}, asked: 2},
		"first loses it":        {submit: []error{nil, nil}, wait: []func() (coordinator.Prepared, error){lost, done}, asked: 2, contested: true},
		"first leaves":          {submit: []error{nil, nil}, wait: []func() (coordinator.Prepared, error){slow, done}, leaves: true, asked: 1},
		"first dies":            {submit: []error{nil, nil}, wait: []func() (coordinator.Prepared, error){nil, done}, dies: true, probe: cell.ErrUnreachable, asked: 2, contested: true},
		"first is only busy":    {submit: []error{nil, nil}, wait: []func() (coordinator.Prepared, error){slow, done}, dies: true, asked: 1},
		"first is silent":       {submit: []error{cell.ErrSilent, nil}, wait: []func() (coordinator.Prepared, error){nil, done}, asked: 2, contested: true},
		"first refuses":         {submit: []error{batch.ErrOverload, nil}, wait: []func() (coordinator.Prepared, error){nil, done}, asked: 1, err: batch.ErrOverload},
		"first fails":           {submit: []error{nil, nil}, wait: []func() (coordinator.Prepared, error){fails, done}, asked: 1, err: batch.ErrFailed},
		"none answers":          {submit: []error{cell.ErrUnreachable, cell.ErrUnreachable}, wait: []func() (coordinator.Prepared, error){nil, nil}, asked: 2, local: true, contested: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			m := newMembers(row("a"), row("b"))
			responses := duty.NewResponses(time.Now)
			leaders := duty.New(func(duty.Name) bool { return true }, responses)
			order := names(leaders.Candidates(cell.ID("").Duty(), m.table.Snapshot()))
			r := &remote{
				submit: make(map[ident.Address]error),
				wait:   make(map[ident.Address]func() (coordinator.Prepared, error)),
			}
			for i, err := range test.submit {
				r.submit[ident.Address(order[i])] = err
				r.wait[ident.Address(order[i])] = test.wait[i]
			}
			stager := newStager(c, m, leaders, responses, r, time.Now)
			r.probe = test.probe
			if test.leaves {
				time.AfterFunc(50*time.Millisecond, func() { m.leave(order[0]) })
			}
			if test.dies {
				time.AfterFunc(50*time.Millisecond, func() { m.suspect(order[0]) })
			}
			prepared, err := stager.Prepare(t.Context(), job())
			c.Check(r.asked, qt.HasLen, test.asked)
			if test.err != nil {
				c.Check(errors.Is(err, test.err), qt.IsTrue)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(prepared.Domain == "done", qt.Equals, !test.local)
			c.Check(prepared.Contested, qt.Equals, test.contested)
		})
	}
}

// newStager returns the stager of a host with a coordinator for the cell of all upstreams.
func newStager(c *qt.C, m *members, leaders *duty.Leaders, responses *duty.Responses, remote *remote, now func() time.Time) *cell.Stager {
	local := coordinator.New(coordinator.Config{
		Held:     func(ident.ServiceName) []fleet.Release { return nil },
		Table:    func() *routes.Table { return routes.New(1, routes.Limits{}, nil, nil, nil) },
		Fleet:    fleet.New().Snapshot,
		Includes: cell.ID("").Includes,
		Meter:    meter.New(),
		OnPlace:  func(coordinator.Job, fleet.Upstream) {},
		Chooser:  placement.New(time.Now, rand.Float64),
		Now:      time.Now,
		Log:      zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- local.Run(ctx) }(ctx)
	c.Cleanup(func() {
		cancel()
		c.Check(<-ended, qt.IsNil)
	})
	return cell.New(cell.Config{
		Self:      "self",
		Started:   now().Add(-time.Minute),
		Hosts:     m.table.Snapshot,
		Leaders:   leaders,
		Responses: responses,
		Table:     func() *routes.Table { return routes.New(1, routes.Limits{}, nil, nil, nil) },
		Fleet:     fleet.New().Snapshot,
		Local:     func(cell.ID) *coordinator.Coordinator { return local },
		Remote:    remote,
		Probe:     func(context.Context, peer.Row) error { return remote.probe },
		Now:       now,
		Random:    func() float64 { return 0 },
		Log:       zerolog.Nop(),
	})
}

// Guards against requests that each wait for the same stalled coordinators, and
// against a coordinator that is skipped for good.
func TestSkipsUnresponsiveHosts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	m := newMembers(row("a"), row("b"), row("c"), row("d"))
	responses := duty.NewResponses(func() time.Time { return now })
	leaders := duty.New(func(duty.Name) bool { return true }, responses)
	var order []ident.Address
	for _, host := range names(leaders.Candidates(cell.ID("").Duty(), m.table.Snapshot())) {
		order = append(order, ident.Address(host))
	}
	r := &remote{
		submit: make(map[ident.Address]error),
		wait:   make(map[ident.Address]func() (coordinator.Prepared, error)),
	}
	for _, address := range order {
		r.submit[address] = cell.ErrUnreachable
		r.wait[address] = func() (coordinator.Prepared, error) { return coordinator.Prepared{}, nil }
	}
	stager := newStager(c, m, leaders, responses, r, func() time.Time { return now })
	asked := func() []ident.Address {
		r.asked = nil
		_, err := stager.Prepare(t.Context(), job())
		c.Assert(err, qt.IsNil)
		return r.asked
	}
	c.Check(asked(), qt.DeepEquals, order[:2])
	c.Check(asked(), qt.DeepEquals, order[2:4], qt.Commentf("the first two have not responded"))
	c.Check(asked(), qt.HasLen, 0, qt.Commentf("no host responds"))
	now = now.Add(2 * time.Second)
	for _, address := range order[1:] {
		r.submit[address] = nil
	}
	c.Check(asked(), qt.DeepEquals, order[:2], qt.Commentf("tried again after the loss period"))
	c.Check(asked(), qt.DeepEquals, order[1:2])
	r.submit[order[0]] = nil
	now = now.Add(2 * time.Second)
	c.Check(asked(), qt.DeepEquals, order[:1])
	c.Check(asked(), qt.DeepEquals, order[:1], qt.Commentf("the first host has responded"))
}

// Guards against a host that schedules beside other live hosts because its first
// candidates do not respond, and against requests that wait although they are late.
func TestPrepareWithoutCoordinator(t *testing.T) {
	c := qt.New(t)
	m := newMembers(row("a"), row("b"), row("c"), row("d"), row("e"))
	responses := duty.NewResponses(time.Now)
	leaders := duty.New(func(duty.Name) bool { return true }, responses)
	r := &remote{
		submit: make(map[ident.Address]error),
	}
	for _, address := range []ident.Address{"a", "b", "c", "d", "e"} {
		r.submit[address] = cell.ErrUnreachable
	}
	stager := newStager(c, m, leaders, responses, r, time.Now)
	started := time.Now()
	for _, slack := range []time.Duration{240 * time.Millisecond, 0} {
		started := time.Now()
		_, err := stager.Prepare(t.Context(), work(slack))
		c.Check(err, qt.ErrorIs, cell.ErrNoCoordinator)
		c.Check(time.Since(started) >= slack, qt.IsTrue)
		c.Check(time.Since(started) < slack+200*time.Millisecond, qt.IsTrue)
	}
	err := error(cell.ErrNoCoordinator)
	for errors.Is(err, cell.ErrNoCoordinator) {
		_, err = stager.Prepare(t.Context(), work(240*time.Millisecond))
	}
	c.Check(err, qt.ErrorIs, batch.ErrNoUpstream, qt.Commentf("this host is partitioned and schedules itself"))
	c.Check(time.Since(started) >= 2*time.Second, qt.IsTrue)
	c.Check(stager.Alone(), qt.IsTrue)
	_, err = newStager(c, newMembers(), leaders, responses, r, time.Now).Prepare(t.Context(), work(0))
	c.Check(err, qt.ErrorIs, batch.ErrNoUpstream, qt.Commentf("this host knows no other and schedules itself"))
}

// Guards against a coordinator that is not told how the requests that it has placed
// ended, and against reports that accumulate or go to another coordinator.
func TestReports(t *testing.T) {
	c := qt.New(t)
	m := newMembers(row("a"), row("b"))
	responses := duty.NewResponses(time.Now)
	leaders := duty.New(func(duty.Name) bool { return true }, responses)
	order := names(leaders.Candidates(cell.ID("").Duty(), m.table.Snapshot()))
	r := &remote{
		submit: make(map[ident.Address]error),
		wait:   make(map[ident.Address]func() (coordinator.Prepared, error)),
	}
	for _, host := range order {
		r.wait[ident.Address(host)] = func() (coordinator.Prepared, error) { return coordinator.Prepared{}, nil }
	}
	stager := newStager(c, m, leaders, responses, r, time.Now)
	prepare := func() []coordinator.Report {
		r.reports = nil
		_, err := stager.Prepare(t.Context(), job())
		c.Assert(err, qt.IsNil)
		return r.reports
	}
	report := coordinator.Report{
		Request: "r1",
		Ending:  placement.Served,
		Pace:    20 * time.Millisecond,
	}
	c.Check(prepare(), qt.HasLen, 0)
	stager.Report(order[0], report)
	c.Check(prepare(), qt.DeepEquals, []coordinator.Report{report})
	c.Check(prepare(), qt.HasLen, 0, qt.Commentf("the report was already sent"))
	stager.Report(order[1], report)
	c.Check(prepare(), qt.HasLen, 0, qt.Commentf("another host has placed the request"))
	for range 10000 {
		stager.Report(order[0], report)
	}
	c.Check(len(prepare()) <= 256, qt.IsTrue)
}
