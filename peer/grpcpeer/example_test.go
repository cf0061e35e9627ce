package grpcpeer_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/peer/grpcpeer"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// echoHandler replies to gossip messages and claims with their content.
type echoHandler struct{}

func (echoHandler) Exchange(message peer.Message) peer.Message { return message }

func (echoHandler) Claim(_ context.Context, from ident.HostID, claims []grpcpeer.ClaimItem) ([][]byte, error) {
	return [][]byte{[]byte(fmt.Sprintf("%s claims with %s", from, claims[0].Payload))}, nil
}

func (echoHandler) Documents([]ident.ServiceName, map[ident.ServiceName]ident.Revision, int) []document.Versioned {
	return nil
}

func (echoHandler) Strike(context.Context, ident.HostID, []byte) error { return nil }

// A host forwards a claim to another host.
func Example() {
	ctx, stop := context.WithCancel(context.Background())
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	clock := timeline.NewClock(time.Now)
	done := make(chan error, 1)
	go func(ctx context.Context) {
		done <- grpcpeer.NewServer(echoHandler{}, clock, time.Now).Serve(ctx, listener)
	}(ctx)
	client := grpcpeer.NewClient("host-1", clock, time.Now)
	decisions, err := client.Claim(ctx, ident.Address(listener.Addr().String()), []grpcpeer.ClaimItem{
		{
			Attempt: "attempt-1",
			Payload: []byte("a payload"),
		},
	})
	fmt.Printf("%s %v\n", decisions[0], err)
	client.Close()
	stop()
	fmt.Println(<-done)
	// Output:
	// host-1 claims with a payload <nil>
	// <nil>
}
