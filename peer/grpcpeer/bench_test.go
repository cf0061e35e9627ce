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

// BenchmarkConnect measures an exchange over a new connection. With 360 hosts most
// exchanges are of this kind, because idle connections are closed after 30 s.
func BenchmarkConnect(b *testing.B) {
	h := &handler{
		registry: document.NewRegistry(),
	}
	server := serve(b, h, time.Now)
	proxy := listen(b)
	defer func() { _ = proxy.Close() }()
	var wireBytes atomic.Int64
	go func() {
		for {
			inbound, err := proxy.Accept()
			if err != nil {
				return
			}
			outbound, err := dial(server.address)
			if err != nil {
				return
			}
			go copyCounting(outbound, inbound, &wireBytes)
			go copyCounting(inbound, outbound, &wireBytes)
		}
	}()
	message := peer.Message{
		From: row("erie-hall-001"),
	}
	b.ReportAllocs()
	for b.Loop() {
		_, err := server.client.Exchange(context.Background(), ident.Address(proxy.Addr().String()), message)
		qt.Assert(b, err, qt.IsNil)
		server.client.Retain(nil)
	}
	b.ReportMetric(float64(wireBytes.Load())/float64(b.N), "wire-B/exchange")
}

// BenchmarkConnections reports the memory of one open connection, including both
// ends.
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
			addresses := make([]ident.Address, peers)
			for i := range addresses {
				addresses[i] = serve(b, h, time.Now).address
			}
			var listening runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&listening)
			for _, to := range addresses {
				exchange(to)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			inUse := func(s runtime.MemStats) float64 { return float64(s.HeapAlloc + s.StackInuse) }
			b.ReportMetric((inUse(after)-inUse(listening))/float64(peers), "B/connection")
		})
	}
}
