package hostlist_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
)

// BenchmarkFetch measures one fetch of the host list, the bytes of its body and
// the memory that decoding it allocates.
func BenchmarkFetch(b *testing.B) {
	for _, size := range []struct{ upstreams, entries int }{{9, 9}, {120, 36}, {1000, 120}, {3700, 360}} {
		b.Run(fmt.Sprintf("%d upstreams, %d entry hosts", size.upstreams, size.entries), func(b *testing.B) {
			var list hostlist.List
			for i := range size.upstreams {
				list.Hosts = append(list.Hosts, hostlist.Host{
					Name:        fmt.Sprintf("nutmeg-pool-engines-%d", i),
					Kind:        hostlist.UpstreamHost,
					State:       hostlist.Live,
					Incarnation: 1_800_000_000_000,
					Domain:      ident.FailureDomain(fmt.Sprintf("superior-hall-%d", i%19)),
					Region:      ident.Region(fmt.Sprintf("great-lakes-%d", i%7)),
					Service:     "nutmeg-pool",
					Pool:        "engines",
					Address:     ident.Address(fmt.Sprintf("127.10.%d.%d:9000", 2+i/250, i%250+1)),
				})
			}
			for i := range size.entries {
				list.Hosts = append(list.Hosts, hostlist.Host{
					Name:        fmt.Sprintf("franchise-%d", i),
					Kind:        hostlist.EntryHost,
					State:       hostlist.Live,
					Incarnation: 1_800_000_000_000,
					Domain:      ident.FailureDomain(fmt.Sprintf("superior-hall-%d", i%19)),
					Region:      ident.Region(fmt.Sprintf("great-lakes-%d", i%7)),
					Peer:        ident.Address(fmt.Sprintf("127.10.100.%d:8082", i)),
					Operator:    ident.Address(fmt.Sprintf("127.10.100.%d:8081", i)),
				})
			}
			body, err := json.Marshal(list)
			qt.Assert(b, err, qt.IsNil)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(body)
			}))
			defer server.Close()
			client := hostlist.New(ident.Address(strings.TrimPrefix(server.URL, "http://")), server.Client())
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Fetch(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "body-B/op")
		})
	}
}
