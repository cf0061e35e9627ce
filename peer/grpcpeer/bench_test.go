package grpcpeer_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// BenchmarkConnect measures an exchange over a new connection, which is the
// usual case with 360 hosts, because idle connections are closed after 30 s.
func BenchmarkConnect(b *testing.B) {
	h := &handler{
		registry: document.NewRegistry(),
	}
	server := serve(b, h, time.Now)
	relay := listen(b)
	defer func() { _ = relay.Close() }()
	var count atomic.Int64
	go func() {
		for {
			near, err := relay.Accept()
			if err != nil {
				return
			}
			far, err := dial(server.address)
			if err != nil {
				return
			}
			go forward(far, near, &count)
			go forward(near, far, &count)
		}
	}()
	message := peer.Message{
		From: row("erie-hall-001"),
	}
	b.ReportAllocs()
	for b.Loop() {
		_, err := server.client.Exchange(context.Background(), ident.Address(relay.Addr().String()), message)
		qt.Assert(b, err, qt.IsNil)
		server.client.Retain(nil)
	}
	b.ReportMetric(float64(count.Load())/float64(b.N), "wire-B/exchange")
}

// BenchmarkConnections reports the memory of one open connection, both ends
// together.
func BenchmarkConnections(b *testing.B) {
	for _, peers := range []int{9, 36, 120, 360} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			h := &handler{
				registry: document.NewRegistry(),
			}
			server := serve(b, h, time.Now)
			other := serve(b, h, time.Now)
			exchange := func(to ident.Address) {
				_, err := other.client.Exchange(context.Background(), to, peer.Message{
					From: row("erie-hall-001"),
				})
				qt.Assert(b, err, qt.IsNil)
			}
			exchange(server.address)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			relays := make([]ident.Address, peers)
			for i := range relays {
				relays[i] = serve(b, h, time.Now).address
			}
			var listening runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&listening)
			for _, to := range relays {
				exchange(to)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := func(s runtime.MemStats) float64 { return float64(s.HeapAlloc + s.StackInuse) }
			b.ReportMetric((held(after)-held(listening))/float64(peers), "B/connection")
		})
	}
}
