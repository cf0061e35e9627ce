package orderhttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/orderhttp"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkActual measures the bytes that reading the state of one engine
// transfers, without TCP overhead.
func BenchmarkActual(b *testing.B) {
	server := httptest.NewServer(upstreams.NewEngine(upstreams.EngineConfig{
		Models: []ident.ModelName{"rind-7b"},
		Role:   "decode",
	}).Handler())
	defer server.Close()
	var bytes atomic.Int64
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			return countingConn{
				Conn:  conn,
				bytes: &bytes,
			}, err
		},
	}
	defer transport.CloseIdleConnections()
	client := orderhttp.New(orderhttp.Config{
		Client: &http.Client{
			Transport: transport,
		},
		Address: func(ident.UpstreamID) (ident.Address, bool) {
			return ident.Address(strings.TrimPrefix(server.URL, "http://")), true
		},
		AcceptAfter: timeout,
		LoadTimeout: timeout,
	})
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Actual(b.Context(), engine); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
}
