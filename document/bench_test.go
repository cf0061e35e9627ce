package document_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

const pipelines = 9

// listed are the numbers of organisations that a document lists. With names of
// this length 64 KiB hold fewer than 3,900.
var listed = []int{5, 100, 1000, 2500}

// shared returns the text of a document that lists organisations.
func shared(organisations, weight int) []byte {
	var b strings.Builder
	b.WriteString("[service]\nteam = fair-assist\nkind = pipeline\ndeadline = 12s\nweight = 0.9\ncrossing = 0.1\nmodel = dossier-8b\ntokens = 512\n\n[shares]\n")
	for i := range organisations {
		fmt.Fprintf(&b, "organisation-%04d = %d\n", i, 1+(i+weight)%9)
	}
	b.WriteString("others = 1\n\n[stage generate]\nkind = generate\npool = nutmeg-pool/engines\ntimeout = 10s\ncost = 4\n\n" +
		"[route chat]\nmethod = POST\npath = /v1/chat/completions\nrepeatable = true\norganisation = header:X-Organisation\nbody = 256KiB\n")
	return []byte(b.String())
}

// stored returns a store with a document for each pipeline, each with a full history.
func stored(b *testing.B, organisations int) *memkv.Store {
	store := memkv.New(time.Now)
	for p := range pipelines {
		for r := range document.KeptRevisions + 1 {
			_, err := document.Apply(context.Background(), store, document.Change{
				Service: ident.ServiceName(fmt.Sprintf("pipeline-%d", p)),
				ID:      ident.ChangeID(fmt.Sprint(p, "-", r)),
				Base:    ident.Revision(r),
				Team:    "fair-assist",
				Author:  "capacity",
				Time:    time.Unix(1_800_000_000, 0),
				Text:    shared(organisations, r),
			})
			qt.Assert(b, err, qt.IsNil)
		}
	}
	return store
}

// BenchmarkListing measures the listing that each host makes every minute, and
// its bytes in the store's values.
func BenchmarkListing(b *testing.B) {
	for _, organisations := range listed {
		b.Run(fmt.Sprintf("%d organisations", organisations), func(b *testing.B) {
			store := stored(b, organisations)
			page, err := store.List(context.Background(), document.Prefix, "", 0)
			qt.Assert(b, err, qt.IsNil)
			bytes := 0
			for _, entry := range page.Entries {
				bytes += len(entry.Value)
			}
			before := store.Counts().Reads
			loads := 0
			b.ReportAllocs()
			for b.Loop() {
				loads++
				loaded, err := document.Load(context.Background(), store)
				qt.Assert(b, err, qt.IsNil)
				qt.Assert(b, loaded.Documents, qt.HasLen, pipelines)
			}
			b.ReportMetric(float64(bytes), "value-B/op")
			b.ReportMetric(float64(len(shared(organisations, 0))), "text-B/document")
			b.ReportMetric(float64(store.Counts().Reads-before)/float64(loads), "reads/op")
		})
	}
}

// BenchmarkRegistry measures the parse and the offer of one change, and reports
// the heap of a registry with one document for each pipeline.
func BenchmarkRegistry(b *testing.B) {
	for _, organisations := range listed {
		b.Run(fmt.Sprintf("%d organisations", organisations), func(b *testing.B) {
			store := stored(b, organisations)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.GC() // empties the pools of the store's writers
			runtime.ReadMemStats(&before)
			registry := document.NewRegistry()
			loaded, err := document.Load(context.Background(), store)
			qt.Assert(b, err, qt.IsNil)
			for _, v := range loaded.Documents {
				registry.Offer(v)
			}
			loaded = document.Loaded{}
			runtime.GC()
			runtime.GC() // empties the pools of the store's writers
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(store)
			text := shared(organisations, 1)
			b.ReportAllocs()
			revision := ident.Revision(100)
			for b.Loop() {
				revision++
				service, err := document.Parse("pipeline-0", text)
				qt.Assert(b, err, qt.IsNil)
				registry.Offer(document.Versioned{
					Service:  service,
					Revision: revision,
					Text:     text,
				})
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-B")
		})
	}
}

// BenchmarkTextLimit reports the largest number of organisations that a document can list.
func BenchmarkTextLimit(b *testing.B) {
	most := 0
	for n := 100; len(shared(n, 0)) <= document.MaxTextBytes; n += 10 {
		most = n
	}
	b.ReportMetric(float64(most), "organisations")
}
