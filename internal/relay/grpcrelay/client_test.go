package grpcrelay

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/peer/grpcpeer"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// slowServer accepts jobs after a time.
type slowServer struct {
	UnimplementedRelayServer
	delay time.Duration
}

// Prepare implements RelayServer.
func (s *slowServer) Prepare(stream grpc.BidiStreamingServer[Job, JobReply]) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	select {
	case <-time.After(s.delay):
	case <-stream.Context().Done():
	}
	return stream.Send(&JobReply{
		Kind: &JobReply_Accepted{
			Accepted: &Accepted{},
		},
	})
}

// Guards against a host that reaches a restarted coordinator only when the backoff of its
// earlier attempts ends, and against a job that waits longer than it may.
func TestSubmit(t *testing.T) {
	c := qt.New(t)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	connections := grpcpeer.NewClient("self", timeline.NewClock(time.Now), time.Now)
	defer connections.Close()
	client := NewClient(connections.Connection, time.Now)
	submit := func(within time.Duration) error {
		_, err := client.Submit(t.Context(), ident.Address(address), "", coordinator.Job{}, within)
		return err
	}
	for range 10 { // the backoff would be a second then
		c.Check(submit(time.Second), qt.ErrorIs, cell.ErrUnreachable)
	}
	listener, err = new(net.ListenConfig).Listen(t.Context(), "tcp4", address)
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer()
	slow := &slowServer{}
	RegisterRelayServer(server, slow)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	defer func() {
		server.Stop()
		c.Check(<-ended, qt.IsNil)
	}()
	restarted := time.Now()
	for err = submit(time.Second); err != nil; err = submit(time.Second) {
		c.Assert(time.Since(restarted) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("not connected: %v", err))
	}
	slow.delay = time.Minute
	started := time.Now()
	c.Check(submit(200*time.Millisecond), qt.ErrorIs, cell.ErrSilent)
	c.Check(time.Since(started) < 500*time.Millisecond, qt.IsTrue)
}
